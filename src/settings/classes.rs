//! Reads the classes of requests and the tenants from the settings object.

use serde_json::Value;

use super::error::ConfigError;
use super::reader::{duration_from_millis, ObjectReader};
use crate::api::{Class, Consistency, Idempotency, KeyScope, Tenant};

/// Reads the classes of requests. The consistency of each class is in the object `Domain`, whose arrays are
/// indexed by class.
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
        streaming: class.boolean("Stream")?,
    })
}

fn read_idempotency(class: ObjectReader<'_>) -> Result<Idempotency, ConfigError> {
    let window = class.duration("WindowMs")?;
    match class.string("Effect") {
        "repeatable" => Ok(Idempotency::Idempotent),
        "once" => Ok(Idempotency::NonIdempotent),
        "by_key" => Ok(Idempotency::WithKey { scope: read_key_scope(class)?, window }),
        other => Err(unknown_value("Effect", other)),
    }
}

fn read_key_scope(class: ObjectReader<'_>) -> Result<KeyScope, ConfigError> {
    match class.string("DedupScope") {
        "all" => Ok(KeyScope::All),
        "zone" => Ok(KeyScope::Zone),
        "cell" => Ok(KeyScope::Group),
        other => Err(unknown_value("DedupScope", other)),
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
            Ok(Consistency::BoundedStaleness(duration_from_millis(max_age, "MaxAgeMs")?))
        }
        Some("eventual") => Ok(Consistency::Eventual),
        other => Err(unknown_value("NeedsByClass", other.unwrap_or("(absent)"))),
    }
}

pub(super) fn read_tenants(settings: ObjectReader<'_>) -> Result<Vec<Tenant>, ConfigError> {
    settings.array("Tenants").iter().map(|tenant| read_tenant(ObjectReader(tenant))).collect()
}

fn read_tenant(tenant: ObjectReader<'_>) -> Result<Tenant, ConfigError> {
    Ok(Tenant { quota_per_s: tenant.number_or("QuotaPerS", 0.0)?, share: tenant.number_or("Share", 0.0)? })
}

/// Returns the error for a string that is not a valid value of its key.
pub(super) fn unknown_value(key: &'static str, value: &str) -> ConfigError {
    ConfigError::UnknownValue { key, value: value.to_owned() }
}
