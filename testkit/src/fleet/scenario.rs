//! Scenarios: plans as small scripts, S-expressions as in the operators' file.
//!
//! Owns the words of a script and what is said where one is wrong: line, column, and what was expected. What a script leaves
//! open is as [`usual`] has it. It must never take a script with a fault.

use std::time::Duration;

use lexpr::datum::{Datum, Ref};
use lexpr::Parser;
use pipittack_core::api::FailoverSettings;
use pipittack_core::api::*;

use super::copies;
use super::directory::Service;
use super::links::Fault;
use super::load::{Habits, Kind};
use super::machine::{State, Traits};
use super::plan::{End, Pick, Plan, Remembered, Trouble};

/// A fault of a script: its place and what was expected there.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(String);

type Parsed<T> = Result<T, Malformed>;

/// Line and column, from 1, and what was expected there.
fn expected<T>(place: Ref<'_>, what: &str) -> Parsed<T> {
    let start = place.span().start();
    let found: String = place.value().to_string().chars().take(40).collect();
    Err(Malformed(format!("{}:{}: expected {what}, found {found}", start.line(), start.column() + 1)))
}

/// The word that a form begins with, and the rest of it.
fn form<'d>(datum: Ref<'d>, what: &str) -> Parsed<(&'d str, Vec<Ref<'d>>)> {
    let mut items = datum.list_iter().into_iter().flatten();
    match items.next().and_then(|first| first.value().as_symbol()) {
        Some(word) => Ok((word, items.collect())),
        None => expected(datum, what),
    }
}

fn number(datum: Ref<'_>) -> Parsed<f64> {
    match datum.value().as_f64().filter(|n| n.is_finite() && *n >= 0.0) {
        Some(number) => Ok(number),
        None => expected(datum, "a number"),
    }
}

/// The only item of a form, as a number.
fn single(datum: Ref<'_>, items: &[Ref<'_>]) -> Parsed<f64> {
    match items {
        [one] => number(*one),
        _ => expected(datum, "one number"),
    }
}

fn word<'d>(datum: Ref<'d>, items: &[Ref<'d>]) -> Parsed<&'d str> {
    match items {
        [one] => one.value().as_symbol().map_or_else(|| expected(*one, "a word"), Ok),
        _ => expected(datum, "one word"),
    }
}

fn ms(n: f64) -> Duration {
    Duration::from_secs_f64(n / 1e3)
}

/// A fleet like those in service, with three classes: reads with a bound, reads of sessions, and writes.
pub fn usual() -> Plan {
    let class = |credit, aim, deadline, late_value, effect, need| Class {
        priority_weight: credit,
        latency_objective: ms(aim),
        latency_objective_stretch: 0.0,
        deadline: ms(deadline),
        late_weight: late_value,
        idempotency: effect,
        consistency: need,
        streaming: false,
    };
    let kind = |share, work_s| Kind { share, work_s, blocks: false };
    Plan {
        settings: Settings {
            instance_index: 0,
            instance_count: 1,
            zone: ZoneId(0),
            min_step_interval: ms(5.0),
            classes: vec![
                class(
                    1.0,
                    500.0,
                    1200.0,
                    0.0,
                    Idempotency::Idempotent,
                    Consistency::BoundedStaleness(ms(3000.0)),
                ),
                class(2.0, 500.0, 1500.0, 0.2, Idempotency::Idempotent, Consistency::Causal),
                class(4.0, 600.0, 3000.0, 0.5, Idempotency::NonIdempotent, Consistency::Write),
            ],
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            stale_read_policy: StaleReadPolicy::AnswerStale,
            responses_carry_position: true,
            session_tokens: SessionTokens::FromClient,
            listed_role: ListedRole::Delayed,
            load_reports: LoadReports::Never,
            discovery: DiscoveryMode::Subscribe,
            limits: Limits {
                max_attempts: 6,
                allow_cancel: true,
                allow_gossip: false,
                allow_health_checks: true,
                allow_hedging: true,
                send_retry_after: true,
                max_retry_after: ms(1000.0),
                connect_timeout: ms(250.0),
                max_streams_per_connection: 1,
            },
            rules: ServiceRules {
                answer_grace_period: ms(20.0),
                poll_interval: ms(10_000.0),
                initial_capacity_share: 0.27,
                warm_up: ms(18_000.0),
                overload_factor: 2.0,
                overload_duration: ms(1000.0),
                drain_grace_period: ms(2000.0),
                removed_may_serve: false,
            },
            prices: Prices {
                cross_zone: 0.017,
                health_check: 0.041,
                gossip: 0.0,
                wasted_work: 0.03,
                late_failure: 0.05,
            },
            failover: FailoverSettings::default(),
        },
        proxies: 40,
        zones: 3,
        sets: 8,
        members: 3,
        machine: Traits {
            cores: 5,
            speed: 1.0,
            queue_most: 90,
            connections_most: 900,
            handshake_s: 0.004,
            cold_share: 0.27,
            warm_s: 18.0,
            fall_factor: 2.0,
            fall_s: 1.0,
            usual_s: 0.086,
        },
        cold: false,
        copies: copies::Habits {
            ship_s: 0.006,
            apply_s: 0.0,
            sync: true,
            detect_s: 1.7,
            elect_s: 2.8,
            switch_s: 0.5,
        },
        service: Service { rate: 15.0, timeout_s: 2.0, notice_s: 2.0, spread_s: 0.3 },
        load: Habits {
            kinds: vec![kind(0.64, 0.086), kind(0.15, 0.086), kind(0.21, 0.086)],
            follows: 0.65,
            gap_s: 0.4,
            retries: 2,
            pause_s: 0.08,
        },
        rate: 0.0,
        far_s: 0.6e-3,
        near_s: 0.12e-3,
        handshake_rtts: 2.0,
        idle_s: 15.0,
        probe_s: 4e-4,
        report_s: 0.2,
        seed_s: 4.0,
        troubles: Vec::new(),
        length_s: 20.0,
        start_s: 0.1,
        remembered: Remembered::Fresh,
        seed: 1,
    }
}

/// Shares of the site that follow from other figures: of what all servers can do the part that is asked for, and of a
/// replica's time the part in which it applies.
struct Shares {
    load: f64,
    apply: f64,
}

/// Reads a script.
pub fn read(text: &str) -> Parsed<Plan> {
    let (mut plan, mut shares) = (usual(), Shares { load: 0.55, apply: 0.5 });
    let mut parser = Parser::from_str(text);
    loop {
        let datum: Datum = match parser.next_datum() {
            Ok(Some(datum)) => datum,
            Ok(None) => break,
            Err(e) => {
                let (line, column) = e.location().map_or((1, 1), |at| (at.line(), at.column() + 1));
                return Err(Malformed(format!("{line}:{column}: not an S-expression: {e}")));
            }
        };
        top(datum.as_ref(), &mut plan, &mut shares)?;
    }
    finish(&mut plan, &shares);
    if let Err(fault) = plan.settings.validate() {
        return Err(Malformed(format!("the settings: {fault}")));
    }
    Ok(plan)
}

/// Changes what the command line may change as well, and what follows from it.
pub fn resize(plan: &mut Plan, proxies: Option<usize>, servers: Option<usize>, seed: Option<u64>) {
    let load = plan.rate / capacity(plan);
    let apply = plan.copies.apply_s * writes_of_a_set(plan);
    plan.proxies = proxies.unwrap_or(plan.proxies).max(1);
    if let Some(servers) = servers {
        plan.sets = (servers / plan.members).max(1);
    }
    plan.seed = seed.unwrap_or(plan.seed);
    finish(plan, &Shares { load, apply });
}

fn all_shares(plan: &Plan) -> f64 {
    plan.load.kinds.iter().map(|kind| kind.share).sum()
}

/// Requests a second that all servers could do.
fn capacity(plan: &Plan) -> f64 {
    let cores = (plan.sets * plan.members * plan.machine.cores) as f64;
    cores * plan.machine.speed / plan.machine.usual_s
}

fn writes_of_a_set(plan: &Plan) -> f64 {
    let classes = plan.load.kinds.iter().zip(&plan.settings.classes);
    let writes: f64 =
        classes.filter(|(_, c)| c.consistency == Consistency::Write).map(|(kind, _)| kind.share).sum();
    plan.rate * writes / all_shares(plan) / plan.sets as f64
}

fn finish(plan: &mut Plan, shares: &Shares) {
    let work: f64 = plan.load.kinds.iter().map(|kind| kind.share * kind.work_s).sum();
    let contract = &plan.settings.rules;
    plan.machine = Traits {
        usual_s: work / all_shares(plan),
        cold_share: contract.initial_capacity_share,
        warm_s: contract.warm_up.as_secs_f64(),
        fall_factor: contract.overload_factor,
        fall_s: contract.overload_duration.as_secs_f64(),
        ..plan.machine
    };
    plan.settings.instance_count = plan.proxies as u32;
    plan.rate = shares.load * capacity(plan);
    plan.copies.apply_s = shares.apply / writes_of_a_set(plan).max(1e-9);
    plan.copies.apply_s = plan.copies.apply_s.min(1.0);
}

fn top(datum: Ref<'_>, plan: &mut Plan, shares: &mut Shares) -> Parsed<()> {
    let (name, items) = form(datum, "(NAME ...)")?;
    match name {
        "classes" => {
            (plan.settings.classes, plan.load.kinds) = (Vec::new(), Vec::new());
            for item in items {
                let (class, kind) = class(item)?;
                plan.settings.classes.push(class);
                plan.load.kinds.push(kind);
            }
        }
        "length" => plan.length_s = single(datum, &items)?,
        "seed" => plan.seed = single(datum, &items)? as u64,
        "start" | "fleet" | "server" | "copies" | "list" | "clients" | "limits" | "contract" | "sessions" => {
            for item in items {
                let (key, rest) = form(item, "(NAME VALUE)")?;
                figure(name, key, item, &rest, plan, shares)?;
            }
        }
        "at" => match &items[..] {
            [when, what @ ..] if !what.is_empty() => {
                let when = number(*when)?;
                for what in what {
                    plan.troubles.push((when, trouble(*what)?));
                }
            }
            _ => return expected(datum, "(at SECONDS TROUBLE ...)"),
        },
        _ => {
            let names = "classes, fleet, server, copies, list, clients, limits, contract, sessions, start, length, seed or at";
            return expected(datum, names);
        }
    }
    Ok(())
}

fn figure(
    part: &str,
    key: &str,
    datum: Ref<'_>,
    items: &[Ref<'_>],
    plan: &mut Plan,
    shares: &mut Shares,
) -> Parsed<()> {
    let yes = || Ok(word(datum, items)? == "yes");
    let n = || single(datum, items);
    let (settings, machine) = (&mut plan.settings, &mut plan.machine);
    match (part, key) {
        ("fleet", "proxies") => plan.proxies = n()?.max(1.0) as usize,
        ("fleet", "zones") => plan.zones = n()?.max(1.0) as usize,
        ("fleet", "sets") => plan.sets = n()?.max(1.0) as usize,
        ("fleet", "members") => plan.members = n()?.max(1.0) as usize,
        ("fleet", "load") => shares.load = n()?,
        ("server", "cores") => machine.cores = n()?.max(1.0) as usize,
        ("server", "speed") => machine.speed = n()?,
        ("server", "queue") => machine.queue_most = n()? as usize,
        ("server", "connections") => machine.connections_most = n()? as usize,
        ("server", "handshake") => machine.handshake_s = n()? / 1e3,
        ("server", "probe") => plan.probe_s = n()? / 1e3,
        ("copies", "ship") => plan.copies.ship_s = n()? / 1e3,
        ("copies", "apply-use") => shares.apply = n()?,
        ("copies", "sync") => plan.copies.sync = yes()?,
        ("copies", "detect") => plan.copies.detect_s = n()?,
        ("copies", "elect") => plan.copies.elect_s = n()?,
        ("copies", "switch") => plan.copies.switch_s = n()?,
        ("copies", "seed") => plan.seed_s = n()?,
        ("list", "rate") => plan.service.rate = n()?,
        ("list", "timeout") => plan.service.timeout_s = n()?,
        ("list", "notice") => plan.service.notice_s = n()?,
        ("list", "spread") => plan.service.spread_s = n()?,
        ("list", "roles") => {
            settings.listed_role = match word(datum, items)? {
                "late" => ListedRole::Delayed,
                "start" => ListedRole::Static,
                "none" => ListedRole::Absent,
                _ => return expected(datum, "late, start or none"),
            }
        }
        ("clients", "follows") => plan.load.follows = n()?,
        ("clients", "gap") => plan.load.gap_s = n()?,
        ("clients", "retries") => plan.load.retries = n()? as u32,
        ("clients", "pause") => plan.load.pause_s = n()?,
        ("limits", "attempts") => settings.limits.max_attempts = n()? as u32,
        ("limits", "probes") => settings.limits.allow_health_checks = yes()?,
        ("limits", "reports") => {
            settings.load_reports = if yes()? { LoadReports::OnHealthCheck } else { LoadReports::Never };
        }
        ("limits", "max-retry-after") => settings.limits.max_retry_after = ms(n()?),
        ("limits", "connect-timeout") => settings.limits.connect_timeout = ms(n()?),
        ("contract", "ask-every") => settings.rules.poll_interval = ms(n()?),
        ("contract", "cold-share") => settings.rules.initial_capacity_share = n()?,
        ("contract", "warm-up") => settings.rules.warm_up = ms(n()?),
        ("contract", "overload-factor") => settings.rules.overload_factor = n()?,
        ("contract", "overload-for") => settings.rules.overload_duration = ms(n()?),
        ("contract", "stop-within") => settings.rules.drain_grace_period = ms(n()?),
        ("sessions", "marks") => {
            settings.session_tokens = match word(datum, items)? {
                "brought" => SessionTokens::FromClient,
                "kept" => SessionTokens::Tracked,
                _ => return expected(datum, "brought or kept"),
            }
        }
        ("start", "within") => plan.start_s = n()?,
        ("start", "cold") => plan.cold = yes()?,
        ("start", "remembered") => plan.remembered = remembered(datum, items)?,
        _ => return expected(datum, &format!("a figure of {part}")),
    }
    Ok(())
}

fn remembered(datum: Ref<'_>, items: &[Ref<'_>]) -> Parsed<Remembered> {
    match items {
        [one] if one.value().as_symbol() == Some("nothing") => Ok(Remembered::Nothing),
        [one] if one.value().as_symbol() == Some("fresh") => Ok(Remembered::Fresh),
        [one] => match form(*one, "nothing, fresh or (old SHARE)")? {
            ("old", rest) => Ok(Remembered::Old(single(*one, &rest)?)),
            _ => expected(*one, "nothing, fresh or (old SHARE)"),
        },
        _ => expected(datum, "(remembered nothing), (remembered fresh) or (remembered (old SHARE))"),
    }
}

fn class(datum: Ref<'_>) -> Parsed<(Class, Kind)> {
    let (effect, items) = form(datum, "(repeatable NAME VALUE ...) or (once NAME VALUE ...)")?;
    let effect = match effect {
        "repeatable" => Idempotency::Idempotent,
        "once" => Idempotency::NonIdempotent,
        _ => return expected(datum, "(repeatable ...) or (once ...)"),
    };
    let need = if effect == Idempotency::NonIdempotent { Consistency::Write } else { Consistency::Eventual };
    let (credit, late_value) = (1.0, 0.0);
    let (aim, deadline, aim_stretch, stream) = (ms(500.0), ms(1500.0), 0.0, false);
    let mut class = Class {
        priority_weight: credit,
        latency_objective: aim,
        latency_objective_stretch: aim_stretch,
        deadline,
        late_weight: late_value,
        idempotency: effect,
        consistency: need,
        streaming: stream,
    };
    let mut kind = Kind { share: 1.0, work_s: 0.08, blocks: false };
    for item in items {
        let (key, rest) = form(item, "(NAME VALUE)")?;
        match key {
            "worth" => class.priority_weight = single(item, &rest)?,
            "aim" => class.latency_objective = ms(single(item, &rest)?),
            "deadline" => class.deadline = ms(single(item, &rest)?),
            "late" => class.late_weight = single(item, &rest)?,
            "share" => kind.share = single(item, &rest)?,
            "work" => kind.work_s = single(item, &rest)? / 1e3,
            "blocks" => kind.blocks = word(item, &rest)? == "yes",
            "bound" => class.consistency = Consistency::BoundedStaleness(ms(single(item, &rest)?)),
            "needs" => {
                class.consistency = match word(item, &rest)? {
                    "session" => Consistency::Causal,
                    "all" => Consistency::Linearizable,
                    "any" => Consistency::Eventual,
                    _ => return expected(item, "(needs session), (needs all) or (needs any)"),
                }
            }
            _ => return expected(item, "worth, aim, deadline, late, share, work, blocks, bound or needs"),
        }
    }
    Ok((class, kind))
}

fn pick(datum: Ref<'_>) -> Parsed<Pick> {
    if datum.value().as_symbol() == Some("all") {
        return Ok(Pick::All);
    }
    let what = "all, (one NUMBER), (share SHARE) or (zone NUMBER)";
    let (key, rest) = form(datum, what)?;
    let n = single(datum, &rest)?;
    match key {
        "one" => Ok(Pick::One(n as usize)),
        "share" => Ok(Pick::Share(n)),
        "zone" => Ok(Pick::Zone(n as usize)),
        _ => expected(datum, what),
    }
}

fn trouble(datum: Ref<'_>) -> Parsed<Trouble> {
    let (name, items) = form(datum, "(TROUBLE ...)")?;
    let n = |at: usize| items.get(at).map_or_else(|| expected(datum, "one more number"), |d| number(*d));
    let whom = || items.first().map_or_else(|| expected(datum, "who is meant"), |d| pick(*d));
    Ok(match name {
        "kill-servers" => Trouble::Strike(whom()?, State::Dead, n(1)?),
        "hang-servers" => Trouble::Strike(whom()?, State::Hung, n(1)?),
        "silence-servers" => Trouble::Strike(whom()?, State::Silent, n(1)?),
        "slow-servers" => Trouble::Slow(whom()?, n(1)?, n(2)?),
        "lag" => Trouble::Lag(n(0)? as usize, n(1)?, n(2)?),
        "replace" => Trouble::Replace(whom()?, n(1)?),
        "by-hand" => Trouble::ByHand(whom()?, n(1)?),
        "list-down" => Trouble::ListDown(n(0)?),
        "list-back" => Trouble::ListBack(n(0)?),
        "upgrade" => Trouble::Upgrade(whom()?),
        "restart" => Trouble::Restart(whom()?, n(1)?),
        "kill" => Trouble::Kill(whom()?, n(1)?),
        "crash-loop" => Trouble::Loop(whom()?, n(1)?, n(2)?),
        "stall" => Trouble::Stall(whom()?, n(1)?),
        "reload" => Trouble::Reload(whom()?),
        "burst" => Trouble::Burst(n(0)?, n(1)?),
        "link" => return link(datum, &items),
        _ => return expected(datum, "a trouble"),
    })
}

/// `(link PROXIES (servers WHICH) FAULT SECONDS)` or `(link PROXIES list FAULT SECONDS)`.
fn link(datum: Ref<'_>, items: &[Ref<'_>]) -> Parsed<Trouble> {
    let [proxies, end, fault, long] = items else {
        return expected(datum, "(link PROXIES END FAULT SECONDS)");
    };
    let end = if end.value().as_symbol() == Some("list") {
        End::List
    } else {
        match form(*end, "list or (servers WHICH)")? {
            ("servers", rest) if rest.len() == 1 => End::Servers(pick(rest[0])?),
            _ => return expected(*end, "list or (servers WHICH)"),
        }
    };
    let what = "cut, silent, deaf, reset or (slow MS)";
    let fault = match fault.value().as_symbol() {
        Some("cut") => Fault::Cut,
        Some("silent") => Fault::Silent,
        Some("deaf") => Fault::Deaf,
        Some("reset") => Fault::Reset,
        _ => match form(*fault, what)? {
            ("slow", rest) => Fault::Slow(single(*fault, &rest)? / 1e3),
            _ => return expected(*fault, what),
        },
    };
    Ok(Trouble::Link(pick(*proxies)?, end, fault, number(*long)?))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_script_says_what_differs_from_the_usual() {
        let text = "
            ; a small one
            (fleet (proxies 12) (sets 2) (load 0.4))
            (classes (repeatable (bound 1500) (share 3)) (once (worth 6) (share 1) (work 40)))
            (start (within 0.05) (remembered (old 0.33)) (cold yes))
            (at 2 (kill (share 0.7) 1.5) (link (zone 1) (servers (zone 0)) deaf 4))
            (at 3 (list-down 20) (link (share 0.3) list (slow 40) 1))";
        let plan = read(text).expect("it is well formed");
        assert_eq!((plan.proxies, plan.settings.instance_count, plan.settings.classes.len()), (12, 12, 2));
        let capacity = (2 * 3 * 5) as f64 / 0.07;
        assert!((plan.rate - 0.4 * capacity).abs() < 1e-6 && (plan.machine.usual_s - 0.07).abs() < 1e-9);
        assert_eq!(plan.remembered, Remembered::Old(0.33));
        assert_eq!(plan.troubles[0], (2.0, Trouble::Kill(Pick::Share(0.7), 1.5)));
        let deaf = Trouble::Link(Pick::Zone(1), End::Servers(Pick::Zone(0)), Fault::Deaf, 4.0);
        assert_eq!(plan.troubles[1].1, deaf);
        let mut large = plan.clone();
        resize(&mut large, Some(300), Some(60), None);
        assert_eq!((large.sets, large.settings.instance_count), (20, 300));
        assert!((large.rate / plan.rate - 10.0).abs() < 1e-6);
        assert!((large.copies.apply_s - plan.copies.apply_s).abs() < 1e-9);
    }

    #[test]
    fn a_fault_is_told_with_its_place() {
        let told = |text: &str| read(text).expect_err("it has a fault").to_string();
        assert_eq!(told("(fleet\n  (proxies many))"), "2:12: expected a number, found many");
        assert!(told("(at 2 (explode all))").starts_with("1:7: expected a trouble"));
        assert!(told("(fleet (proxies 3)").starts_with("1:"), "{}", told("(fleet (proxies 3)"));
        assert!(told("(at 1 (kill (share 0.5)))").contains("one more number"));
    }
}
