//! Request classes and tenants in the settings object.

use serde_json::Value;

use super::error::ConfigError;
use super::reader::{millis, ObjectReader};
use crate::api::{Class, Consistency, Idempotency, KeyScope, Tenant};

/// The classes. What each requires of data is in the object `Domain`, in arrays by the class's index.
pub(super) fn read_classes(
    settings: ObjectReader<'_>,
    domain: ObjectReader<'_>,
) -> Result<Vec<Class>, ConfigError> {
    let classes = settings.array("Classes").iter().map(ObjectReader).enumerate();
    classes.map(|(index, class)| read_class(class, index, domain)).collect()
}

fn read_class(class: ObjectReader<'_>, index: usize, domain: ObjectReader<'_>) -> Result<Class, ConfigError> {
    let idempotency = read_idempotency(class)?;
    let consistency = read_consistency(domain, index)?;
    Ok(Class {
        priority_weight: class.number_or("Credit", 1.0)?,
        latency_objective: class.duration("OnTimeMs")?,
        latency_objective_work_factor: class.number_or("AimStretch", 0.0)?,
        deadline: class.duration("DeadlineMs")?,
        late_weight: class.number_or("LateValue", 0.0)?,
        idempotency,
        consistency,
        streaming: class.flag("Stream")?,
    })
}

fn read_idempotency(class: ObjectReader<'_>) -> Result<Idempotency, ConfigError> {
    let window = class.duration("WindowMs")?;
    match class.word("Effect") {
        "repeatable" => Ok(Idempotency::Idempotent),
        "once" => Ok(Idempotency::NonIdempotent),
        "by_key" => Ok(Idempotency::WithKey { scope: read_key_scope(class)?, window }),
        other => Err(unknown_word("Effect", other)),
    }
}

fn read_key_scope(class: ObjectReader<'_>) -> Result<KeyScope, ConfigError> {
    match class.word("DedupScope") {
        "all" => Ok(KeyScope::All),
        "zone" => Ok(KeyScope::Zone),
        "cell" => Ok(KeyScope::Group),
        other => Err(unknown_word("DedupScope", other)),
    }
}

fn read_consistency(domain: ObjectReader<'_>, index: usize) -> Result<Consistency, ConfigError> {
    match domain.array("NeedsByClass").get(index).and_then(Value::as_str) {
        Some("mutate") => Ok(Consistency::Write),
        Some("strong") => Ok(Consistency::Linearizable),
        Some("causal") => Ok(Consistency::Causal),
        Some("lag_bound") => {
            let max_age = domain.array("MaxAgeMs").get(index).and_then(Value::as_f64);
            let max_age = max_age.ok_or_else(|| ConfigError::MissingKey { key: "MaxAgeMs".to_owned() })?;
            Ok(Consistency::BoundedStaleness(millis(max_age, "MaxAgeMs")?))
        }
        Some("eventual") => Ok(Consistency::Eventual),
        other => Err(unknown_word("NeedsByClass", other.unwrap_or("(absent)"))),
    }
}

pub(super) fn read_tenants(settings: ObjectReader<'_>) -> Result<Vec<Tenant>, ConfigError> {
    settings.array("Tenants").iter().map(|tenant| read_tenant(ObjectReader(tenant))).collect()
}

fn read_tenant(tenant: ObjectReader<'_>) -> Result<Tenant, ConfigError> {
    Ok(Tenant { quota_per_s: tenant.number_or("QuotaPerS", 0.0)?, share: tenant.number_or("Share", 0.0)? })
}

/// The error for a word that its key may not have.
pub(super) fn unknown_word(key: &'static str, word: &str) -> ConfigError {
    ConfigError::UnknownWord { key, word: word.to_owned() }
}
