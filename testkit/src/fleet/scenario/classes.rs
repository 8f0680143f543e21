//! Parser for the classes of a scenario.

use std::time::Duration;

use lexpr::datum::Ref;
use pipittack_core::api::{Class, Consistency, Idempotency};

use super::super::workload::ClassLoad;
use super::syntax::{split_form, unexpected, Form, SyntaxError};

/// Parses `(repeatable (NAME VALUE) ...)`, a class of idempotent requests, or `(once (NAME VALUE) ...)`, a
/// class of writes that are not idempotent.
pub fn parse_class(datum: Ref<'_>) -> Result<(Class, ClassLoad), SyntaxError> {
    let form = split_form(datum, "(repeatable (NAME VALUE) ...) or (once (NAME VALUE) ...)")?;
    let (idempotency, consistency) = match form.name {
        "repeatable" => (Idempotency::Idempotent, Consistency::Eventual),
        "once" => (Idempotency::NonIdempotent, Consistency::Write),
        _ => return Err(unexpected(datum, "(repeatable ...) or (once ...)")),
    };
    let mut class = Class {
        priority_weight: 1.0,
        latency_objective: Duration::from_millis(500),
        latency_objective_work_factor: 0.0,
        deadline: Duration::from_millis(1500),
        late_weight: 0.0,
        idempotency,
        consistency,
        streaming: false,
    };
    let mut load = ClassLoad { share: 1.0, work_s: 0.08, blocks_replication: false };
    for item in form.items {
        parse_attribute(&split_form(item, "(NAME VALUE)")?, &mut class, &mut load)?;
    }
    Ok((class, load))
}

fn parse_attribute(form: &Form<'_>, class: &mut Class, load: &mut ClassLoad) -> Result<(), SyntaxError> {
    let milliseconds = || form.single_ms_as_seconds().map(Duration::from_secs_f64);
    match form.name {
        "worth" => class.priority_weight = form.single_number()?,
        "aim" => class.latency_objective = milliseconds()?,
        "deadline" => class.deadline = milliseconds()?,
        "late" => class.late_weight = form.single_number()?,
        "share" => load.share = form.single_number()?,
        "work" => load.work_s = form.single_ms_as_seconds()?,
        "blocks" => load.blocks_replication = form.single_flag()?,
        "bound" => class.consistency = Consistency::BoundedStaleness(milliseconds()?),
        "needs" => {
            class.consistency = match form.single_word()? {
                "session" => Consistency::Causal,
                "all" => Consistency::Linearizable,
                "any" => Consistency::Eventual,
                _ => return Err(unexpected(form.datum, "(needs session), (needs all) or (needs any)")),
            }
        }
        _ => {
            let expected = "worth, aim, deadline, late, share, work, blocks, bound or needs";
            return Err(unexpected(form.datum, expected));
        }
    }
    Ok(())
}
