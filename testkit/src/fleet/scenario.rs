//! Parser for scenario files, which describe a plan as S-expressions.
//!
//! A scenario overrides values of the [default plan](default_plan). A scenario with an unknown or malformed
//! form is rejected with the line and column of that form.

mod classes;
mod default_plan;
mod faults;
mod parameters;
mod syntax;

use lexpr::datum::{Datum, Ref};
use lexpr::Parser;
use pipittack_core::api::{Consistency, SettingsError};

use super::plan::{Plan, ScheduledFault};
use super::server_model::ServerModelSettings;
pub use default_plan::default_plan;
use syntax::{parse_number, split_form, unexpected, Form, SyntaxError};

/// Error of parsing a scenario.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ScenarioError {
    /// The text is malformed, or a form is unknown.
    #[error(transparent)]
    Syntax(#[from] SyntaxError),
    /// The routing engine would reject the settings of the plan.
    #[error("invalid settings: {0}")]
    Settings(#[from] SettingsError),
}

/// Target utilizations, from which the request rate and the work to apply a commit are derived.
struct Utilization {
    /// Share of the capacity of all servers that the requests take. May exceed 1.
    load: f64,
    /// Share of the time in which a replica applies commits.
    apply: f64,
}

/// Parses a scenario into a plan, and validates the plan's settings.
pub fn parse(text: &str) -> Result<Plan, ScenarioError> {
    let mut plan = default_plan();
    let mut utilization = Utilization { load: 0.55, apply: 0.5 };
    let mut parser = Parser::from_str(text);
    while let Some(datum) = next_datum(&mut parser)? {
        parse_top_level_form(datum.as_ref(), &mut plan, &mut utilization)?;
    }
    compute_derived_values(&mut plan, &utilization);
    plan.settings.validate()?;
    Ok(plan)
}

fn next_datum(parser: &mut Parser<lexpr::parse::StrRead<'_>>) -> Result<Option<Datum>, SyntaxError> {
    parser.next_datum().map_err(|error| {
        let location = error.location();
        SyntaxError::NotAnExpression {
            line: location.as_ref().map_or(1, |at| at.line()),
            column: location.as_ref().map_or(1, |at| at.column() + 1),
            description: error.to_string(),
        }
    })
}

/// Overrides the number of proxies, the number of servers or the seed; `None` keeps the value of the plan.
/// The number of servers is rounded down to complete replica sets. The request rate and the work to apply a
/// commit are scaled so that the utilizations stay the same.
pub fn resize(plan: &mut Plan, proxy_count: Option<usize>, server_count: Option<usize>, seed: Option<u64>) {
    let load = plan.requests_per_s / max_requests_per_s(plan);
    let apply = plan.replication.apply_work_s * writes_per_set(plan);
    plan.proxy_count = proxy_count.unwrap_or(plan.proxy_count).max(1);
    if let Some(server_count) = server_count {
        plan.replica_set_count = (server_count / plan.members_per_set).max(1);
    }
    plan.seed = seed.unwrap_or(plan.seed);
    compute_derived_values(plan, &Utilization { load, apply });
}

fn total_share(plan: &Plan) -> f64 {
    plan.workload.class_loads.iter().map(|load| load.share).sum()
}

/// Returns the rate, in requests per second, at which all servers together can execute requests.
fn max_requests_per_s(plan: &Plan) -> f64 {
    let cores = (plan.replica_set_count * plan.members_per_set * plan.server.cores) as f64;
    cores * plan.server.speed / plan.server.mean_work_s
}

/// Returns the mean rate of writes per replica set, in writes per second.
fn writes_per_set(plan: &Plan) -> f64 {
    let classes = plan.workload.class_loads.iter().zip(&plan.settings.classes);
    let writes = classes.filter(|(_, class)| class.consistency == Consistency::Write);
    let share: f64 = writes.map(|(load, _)| load.share).sum();
    plan.requests_per_s * share / total_share(plan) / plan.replica_set_count as f64
}

/// Computes the values of a plan that depend on its other values and on the utilizations.
fn compute_derived_values(plan: &mut Plan, utilization: &Utilization) {
    let total_work: f64 = plan.workload.class_loads.iter().map(|load| load.share * load.work_s).sum();
    let rules = &plan.settings.rules;
    plan.server = ServerModelSettings {
        mean_work_s: total_work / total_share(plan),
        initial_capacity_share: rules.initial_capacity_share,
        warm_up_s: rules.warm_up.as_secs_f64(),
        overload_factor: rules.overload_factor,
        overload_duration_s: rules.overload_duration.as_secs_f64(),
        ..plan.server
    };
    plan.settings.instance_count = plan.proxy_count as u32;
    plan.requests_per_s = utilization.load * max_requests_per_s(plan);
    let apply_work_s = utilization.apply / writes_per_set(plan).max(1e-9);
    plan.replication.apply_work_s = apply_work_s.min(1.0);
}

fn parse_top_level_form(
    datum: Ref<'_>,
    plan: &mut Plan,
    utilization: &mut Utilization,
) -> Result<(), SyntaxError> {
    let form = split_form(datum, "(NAME ...)")?;
    match form.name {
        "classes" => {
            plan.settings.classes.clear();
            plan.workload.class_loads.clear();
            for item in form.items {
                let (class, load) = classes::parse_class(item)?;
                plan.settings.classes.push(class);
                plan.workload.class_loads.push(load);
            }
            Ok(())
        }
        "length" => form.single_number().map(|seconds| plan.duration_s = seconds),
        "seed" => form.single_number().map(|seed| plan.seed = seed as u64),
        "start" | "fleet" | "server" | "copies" | "list" | "clients" | "limits" | "contract" | "sessions" => {
            for item in form.items {
                let parameter = split_form(item, "(NAME VALUE)")?;
                parameters::parse_parameter(form.name, &parameter, plan, utilization)?;
            }
            Ok(())
        }
        "at" => parse_scheduled_faults(&form, plan),
        _ => Err(unexpected(
            datum,
            "classes, fleet, server, copies, list, clients, limits, contract, sessions, start, length, \
             seed or at",
        )),
    }
}

/// Parses `(at SECONDS FAULT ...)` and adds the faults to the plan.
fn parse_scheduled_faults(form: &Form<'_>, plan: &mut Plan) -> Result<(), SyntaxError> {
    let [at, faults @ ..] = &form.items[..] else {
        return Err(unexpected(form.datum, "(at SECONDS FAULT ...)"));
    };
    if faults.is_empty() {
        return Err(unexpected(form.datum, "(at SECONDS FAULT ...)"));
    }
    let at_s = parse_number(*at)?;
    for fault in faults {
        let fault = faults::parse_fault(*fault)?;
        plan.faults.push(ScheduledFault { at_s, fault });
    }
    Ok(())
}

#[cfg(test)]
mod tests;
