//! The settings object, as JSON, to [`Settings`] and the names that go with them.
//!
//! Owns the spelling of every key and word of the settings, for the proxy's configuration file and the
//! simulator's first message alike. It must never decide anything, nor supply a figure that the text lacks
//! beyond a neutral one.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use pipittack_core::api::FailoverSettings;

use crate::api::*;

/// Settings that can't be read; says in a sentence what is wrong.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ConfigError(String);

impl From<String> for ConfigError {
    fn from(what: String) -> Self {
        Self(what)
    }
}

type Parsed<T> = Result<T, ConfigError>;

/// Names as indices. Those of the settings come first; a list may bring more zones and kinds.
#[derive(Debug, Clone)]
pub struct NameTable {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
}

/// What the settings say of the ways to clients and servers, which the decisions don't need.
#[derive(Debug, Clone)]
pub struct ConnectionSettings {
    /// Its names.
    pub names: NameTable,
    /// Clock time in milliseconds from which the simulator's positions count.
    pub zero_ms: f64,
    /// Whether every answer carries a position.
    pub responses_carry_position: bool,
    /// The values of a load report, in order.
    pub load_report_columns: Vec<String>,
    /// Servers close a connection that has stood idle for so long.
    pub server_idle_timeout: Duration,
}

impl NameTable {
    fn of(env: &Value) -> Parsed<Self> {
        let list = |key: &str, inner: Option<&str>| -> Parsed<Vec<String>> {
            let items = env.get(key).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
            let name = |v: &Value| inner.map_or(v.as_str(), |k| v.get(k)?.as_str()).map(str::to_owned);
            let named = |v| name(v).ok_or_else(|| format!("{key} holds an entry without a name").into());
            items.iter().map(named).collect()
        };
        Ok(Self {
            classes: list("Classes", Some("Name"))?,
            tenants: list("Tenants", Some("Name"))?,
            zones: list("Zones", None)?,
            kinds: list("Kinds", None)?,
        })
    }

    /// The class of a name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        find(&self.classes, name).map(ClassId)
    }

    /// The names of the classes, in their order.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The name of a zone, if it has one.
    pub fn zone_name(&self, zone: ZoneId) -> Option<&str> {
        self.zones.get(zone.0).map(String::as_str)
    }

    /// The tenant of a name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        find(&self.tenants, name).map(TenantId)
    }

    /// The zone of a name; a new name gets the next number.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(intern(&mut self.zones, name))
    }

    /// The machine kind of a name; a new name gets the next number.
    pub fn kind(&mut self, name: &str) -> MachineKindId {
        MachineKindId(intern(&mut self.kinds, name))
    }
}

fn find(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

fn intern(names: &mut Vec<String>, name: &str) -> usize {
    find(names, name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}

/// A time in milliseconds; those before zero count as zero.
pub fn millis(value: f64, what: &str) -> Parsed<Duration> {
    Duration::try_from_secs_f64(value.max(0.0) / 1e3).map_err(|_| format!("{what} is not a time").into())
}

/// A view into the settings object: absent and null take a neutral value.
struct Object<'v>(&'v Value);

impl Object<'_> {
    fn sub(&self, key: &str) -> Object<'_> {
        Object(self.0.get(key).unwrap_or(&Value::Null))
    }
    fn num(&self, key: &str, absent: f64) -> Parsed<f64> {
        match self.0.get(key).filter(|v| !v.is_null()) {
            Some(value) => value.as_f64().ok_or_else(|| format!("{key} is not a number").into()),
            None => Ok(absent),
        }
    }
    fn time(&self, key: &str) -> Parsed<Duration> {
        millis(self.num(key, 0.0)?, key)
    }
    fn whole(&self, key: &str, absent: u32) -> Parsed<u32> {
        let value = self.num(key, f64::from(absent))?;
        let fits = value >= 0.0 && value <= f64::from(u32::MAX) && value.fract() == 0.0;
        if fits {
            Ok(value as u32)
        } else {
            Err(format!("{key} is not a whole number").into())
        }
    }
    fn flag(&self, key: &str) -> Parsed<bool> {
        match self.0.get(key).filter(|v| !v.is_null()) {
            Some(value) => value.as_bool().ok_or_else(|| format!("{key} is not a bool").into()),
            None => Ok(false),
        }
    }
    fn text(&self, key: &str) -> &str {
        self.0.get(key).and_then(Value::as_str).unwrap_or("")
    }
    fn list(&self, key: &str) -> &[Value] {
        self.0.get(key).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default()
    }
}

fn class(object: &Object, place: usize, domain: &Object) -> Parsed<Class> {
    let window = object.time("WindowMs")?;
    let effect = match object.text("Effect") {
        "repeatable" => Idempotency::Idempotent,
        "once" => Idempotency::NonIdempotent,
        "by_key" => Idempotency::WithKey {
            scope: match object.text("DedupScope") {
                "all" => KeyScope::All,
                "zone" => KeyScope::Zone,
                "cell" => KeyScope::Group,
                other => return Err(format!("unknown DedupScope {other}").into()),
            },
            window,
        },
        other => return Err(format!("unknown Effect {other}").into()),
    };
    let need = match domain.list("NeedsByClass").get(place).and_then(Value::as_str) {
        Some("mutate") => Consistency::Write,
        Some("strong") => Consistency::Linearizable,
        Some("causal") => Consistency::Causal,
        Some("lag_bound") => {
            let age = domain.list("MaxAgeMs").get(place).and_then(Value::as_f64);
            Consistency::BoundedStaleness(millis(
                age.ok_or_else(|| "MaxAgeMs is missing".to_owned())?,
                "MaxAgeMs",
            )?)
        }
        Some("eventual") => Consistency::Eventual,
        other => return Err(format!("unknown need {}", other.unwrap_or("(absent)")).into()),
    };
    Ok(Class {
        priority_weight: object.num("Credit", 1.0)?,
        latency_objective: object.time("OnTimeMs")?,
        latency_objective_stretch: object.num("AimStretch", 0.0)?,
        deadline: object.time("DeadlineMs")?,
        late_weight: object.num("LateValue", 0.0)?,
        idempotency: effect,
        consistency: need,
        streaming: object.flag("Stream")?,
    })
}

/// The settings in a JSON object. Keys that are not known are ignored.
pub fn read(object: &Value) -> Parsed<(Settings, ConnectionSettings)> {
    let mut names = NameTable::of(object)?;
    let top = Object(object);
    let (domain, limits, contract, prices) =
        (top.sub("Domain"), top.sub("Limits"), top.sub("Contract"), top.sub("Prices"));
    let report = top.sub("Report");
    let classes = top.list("Classes").iter().enumerate();
    let tenants = top.list("Tenants").iter().map(Object);
    let settings = Settings {
        instance_index: top.whole("Index", 0)?,
        instance_count: top.whole("GroupSize", 1)?,
        zone: names.zone(top.text("Zone")),
        min_step_interval: top.time("TickMs")?,
        classes: classes.map(|(i, c)| class(&Object(c), i, &domain)).collect::<Parsed<_>>()?,
        tenants: tenants
            .map(|t| Ok(Tenant { quota_per_s: t.num("QuotaPerS", 0.0)?, share: t.num("Share", 0.0)? }))
            .collect::<Parsed<_>>()?,
        over_quota_weight: top.num("OverShareWorth", 1.0)?,
        stale_read_policy: match domain.text("ServerChecks") {
            "silent" => StaleReadPolicy::AnswerStale,
            "bounce" => StaleReadPolicy::Decline,
            "await" => StaleReadPolicy::WaitThenDecline(domain.time("HoldsForMs")?),
            other => return Err(format!("unknown ServerChecks {other}").into()),
        },
        responses_carry_position: domain.flag("Positions")?,
        session_tokens: match domain.text("SessionMarks") {
            "brought" => SessionTokens::FromClient,
            "kept" => SessionTokens::Tracked,
            other => return Err(format!("unknown SessionMarks {other}").into()),
        },
        listed_role: match domain.text("ShowsRole") {
            "trailing" => ListedRole::Delayed,
            "static" => ListedRole::Static,
            _ => ListedRole::Absent,
        },
        load_reports: match report.text("How") {
            "piggyback" => LoadReports::Piggyback,
            "pull" => LoadReports::OnHealthCheck,
            _ => LoadReports::Never,
        },
        discovery: match top.text("Discovery") {
            "subscribe" => DiscoveryMode::Subscribe,
            _ => DiscoveryMode::Push,
        },
        limits: Limits {
            max_attempts: limits.whole("AttemptsCap", 1)?,
            allow_cancel: limits.flag("MayCancel")?,
            allow_gossip: limits.flag("MayTell")?,
            allow_health_checks: limits.flag("Probes")?,
            allow_hedging: limits.flag("SecondCopies")?,
            send_retry_after: limits.flag("RetryAfter")?,
            max_retry_after: limits.time("MaxRetryAfterMs")?,
            connect_timeout: limits.time("ConnectTimeoutMs")?,
            max_streams_per_connection: limits.whole("StreamsPerConn", 1)?,
        },
        rules: ServiceRules {
            answer_grace_period: contract.time("AnswerSlackMs")?,
            poll_interval: contract.time("AskEveryMs")?,
            initial_capacity_share: contract.num("ColdShare", 1.0)?,
            warm_up: contract.time("WarmUpMs")?,
            overload_factor: contract.num("OverloadFactor", 1.0)?,
            overload_duration: contract.time("OverloadForMs")?,
            drain_grace_period: contract.time("StopSendingWithinMs")?,
            removed_may_serve: contract.flag("OnlyDrainingBinds")?,
        },
        prices: Prices {
            cross_zone: prices.num("CrossZone", 0.0)?,
            health_check: prices.num("Probe", 0.0)?,
            gossip: prices.num("Peer", 0.0)?,
            wasted_work: prices.num("Waste", 0.0)?,
            late_failure: prices.num("LateFail", 0.0)?,
        },
        failover: FailoverSettings::default(),
    };
    let columns = report.list("Columns").iter().filter_map(Value::as_str).map(str::to_owned).collect();
    let env = ConnectionSettings {
        names,
        zero_ms: domain.num("ZeroMs", 0.0)?,
        responses_carry_position: settings.responses_carry_position,
        load_report_columns: columns,
        server_idle_timeout: limits.time("ConnIdleMs")?,
    };
    Ok((settings, env))
}

/// What one proxy runs within.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct ResourceLimits {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Open file descriptors.
    pub sockets: usize,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        Self { memory_mb: 192, sockets: 1024 }
    }
}

/// The proxy's configuration file. Keys that are not known are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    /// The proxy's name, for its log.
    #[serde(default)]
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The discovery service.
    pub discovery: SocketAddr,
    /// Where the operators' calls are answered; nowhere without it.
    #[serde(default, rename = "ops")]
    pub admin: Option<SocketAddr>,
    /// For random numbers, in hex.
    pub seed: String,
    /// What it runs within.
    #[serde(default)]
    pub limits: ResourceLimits,
    /// The server list as an earlier run had it, in discovery's form.
    #[serde(default, rename = "known")]
    pub cached_endpoints: Option<crate::endpoint_list::EndpointList>,
    settings: Value,
}

/// A configuration file with its settings.
#[derive(Debug, Clone)]
pub struct LoadedConfig {
    /// The file itself.
    pub config: Config,
    /// Settings of the routing engine.
    pub settings: Settings,
    /// Settings of the connections around it.
    pub connections: ConnectionSettings,
}

impl Config {
    /// Reads the text of a configuration file that takes the place of this one. Guards against half a file: no
    /// key that this one has may be missing, but for what only a start needs.
    pub fn read_replacement(&self, text: &str) -> Parsed<LoadedConfig> {
        let object: Value = serde_json::from_str(text).map_err(|e| format!("not a configuration: {e}"))?;
        for key in ["name", "limits"] {
            object.get(key).ok_or_else(|| format!("{key} is missing"))?;
        }
        let settings = object.get("settings").unwrap_or(&Value::Null);
        if let Some(key) = missing(&self.settings, settings, "settings") {
            return Err(format!("{key} is missing").into());
        }
        Self::read(text)
    }

    /// Reads the text of a configuration file, its settings included.
    pub fn read(text: &str) -> Parsed<LoadedConfig> {
        let config: Self = serde_json::from_str(text).map_err(|e| format!("not a configuration: {e}"))?;
        let (settings, connections) = read(&config.settings)?;
        settings.validate().map_err(|e| e.to_string())?;
        config.seed()?;
        if config.limits.sockets < MIN_SOCKETS {
            return Err(format!("limits.sockets is under {MIN_SOCKETS}").into());
        }
        Ok(LoadedConfig { config, settings, connections })
    }

    /// The seed as a number.
    pub fn seed(&self) -> Parsed<u64> {
        u64::from_str_radix(&self.seed, 16)
            .map_err(|_| "seed is not a hex number of 64 bits".to_owned().into())
    }
}

/// A key that one object has and its successor lacks, the objects inside included. Of a list, an entry must have
/// what all entries had.
fn missing(before: &Value, after: &Value, path: &str) -> Option<String> {
    match (before, after) {
        (Value::Null, _) => None,
        (Value::Object(before), Value::Object(after)) => before.iter().find_map(|(key, value)| {
            missing(value, after.get(key).unwrap_or(&Value::Null), &format!("{path}.{key}"))
        }),
        (Value::Array(before), Value::Array(after)) => {
            let first = before.first().and_then(Value::as_object)?;
            let all = |key: &&String| before.iter().all(|entry| entry.get(key.as_str()).is_some());
            let keys: Vec<_> = first.keys().filter(all).collect();
            let lacks = |entry: &Value, key: &str| entry.get(key).is_none_or(Value::is_null);
            let found = after.iter().find_map(|entry| keys.iter().find(|key| lacks(entry, key)));
            found.map(|key| format!("{path}.{key}"))
        }
        (Value::Object(_) | Value::Array(_), _) | (_, Value::Null) => Some(path.to_owned()),
        _ => None,
    }
}

/// Descriptors without which a proxy can't do anything useful.
pub const MIN_SOCKETS: usize = 64;
