//! Settings of two small deployments, in the names of the pages.

#![allow(dead_code)] // no case uses all of it

/// A class of requests: name, effect, deadline in milliseconds, need, and the bound of its data's age.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub on_time_ms: u32,
    pub deadline_ms: u32,
    pub need: &'static str,
    pub max_age_ms: u32,
}

pub fn class(
    name: &'static str,
    effect: &'static str,
    on_time_ms: u32,
    deadline_ms: u32,
    need: &'static str,
    max_age_ms: u32,
) -> Class {
    Class { name, effect, on_time_ms, deadline_ms, need, max_age_ms }
}

fn classes_json(classes: &[Class]) -> String {
    let all: Vec<_> = classes
        .iter()
        .map(|class| {
            format!(
                "{{\"Name\":\"{}\",\"Credit\":1.0,\"OnTimeMs\":{},\"DeadlineMs\":{},\"DedupScope\":\"all\",\
                 \"Effect\":\"{}\",\"LateValue\":0.2,\"Stream\":false,\"WindowMs\":5000.0}}",
                class.name, class.on_time_ms, class.deadline_ms, class.effect
            )
        })
        .collect();
    all.join(",")
}

fn list<T: std::fmt::Display>(values: impl Iterator<Item = T>) -> String {
    values.map(|value| value.to_string()).collect::<Vec<_>>().join(",")
}

/// The classes of windhoek-fonts.
pub fn fonts_classes() -> Vec<Class> {
    vec![
        class("font-lookup", "repeatable", 500, 1200, "lag_bound", 3000),
        class("own-changes", "repeatable", 500, 1500, "causal", 0),
        class("usage-write", "once", 600, 3000, "mutate", 0),
    ]
}

/// The settings of windhoek-fonts with these classes.
pub fn fonts(classes: &[Class]) -> String {
    format!(
        "{{\"Classes\":[{}],\"Clients\":{{\"MarksRetry\":false}},\
         \"Contract\":{{\"AnswerSlackMs\":20.0,\"AskEveryMs\":10000.0,\"ColdShare\":0.27,\"OverloadFactor\":2.0,\
         \"OverloadForMs\":1000.0,\"StopSendingWithinMs\":2000.0,\"WarmUpMs\":18000.0}},\"CountedBy\":\"request\",\
         \"Discovery\":\"subscribe\",\"Domain\":{{\"HoldsForMs\":0.0,\"MaxAgeMs\":[{}],\"NeedsByClass\":[{}],\
         \"Positions\":true,\"ServerChecks\":\"silent\",\"SessionMarks\":\"brought\",\"ShowsRole\":\"trailing\",\
         \"Sync\":true,\"ZeroMs\":0.0}},\"GroupSize\":3,\"Index\":0,\"Kinds\":[\"std-5core\"],\
         \"Limits\":{{\"AttemptsCap\":6,\"ConnIdleMs\":15000.0,\"ConnectTimeoutMs\":250.0,\"MaxRetryAfterMs\":1000.0,\
         \"MayCancel\":true,\"MayTell\":false,\"MostHeld\":33333,\"Probes\":true,\"RetryAfter\":true,\
         \"SecondCopies\":true,\"StreamsPerConn\":1}},\"OverShareWorth\":0.1,\
         \"Prices\":{{\"CrossZone\":0.017,\"LateFail\":0.05,\"Peer\":0.0,\"Probe\":0.041,\"Waste\":0.03}},\
         \"Report\":{{\"Columns\":[],\"How\":\"silent\"}},\"Tenants\":[],\"TickMs\":5.0,\"Tier\":0,\
         \"Tiers\":[\"font-db\"],\"Weights\":\"nominal\",\"Workload\":\"replicas\",\"Zone\":\"hall-north\",\
         \"Zones\":[\"hall-north\",\"hall-south\"]}}",
        classes_json(classes),
        list(classes.iter().map(|class| class.max_age_ms)),
        list(classes.iter().map(|class| format!("\"{}\"", class.need))),
    )
}

/// The settings of kigali-quotes.
pub fn quotes() -> String {
    let classes = [
        class("browse", "repeatable", 250, 750, "lag_bound", 1500),
        class("own-quote", "repeatable", 400, 1500, "causal", 0),
        class("cover-check", "repeatable", 400, 1500, "strong", 0),
        class("report", "repeatable", 4000, 8000, "eventual", 0),
        class("issue", "once", 300, 3000, "mutate", 0),
    ];
    format!(
        "{{\"Classes\":[{}],\"Clients\":{{\"MarksRetry\":true}},\
         \"Contract\":{{\"AnswerSlackMs\":20.0,\"AskEveryMs\":10000.0,\"ColdShare\":0.18,\"OverloadFactor\":2.5,\
         \"OverloadForMs\":1500.0,\"StopSendingWithinMs\":1000.0,\"WarmUpMs\":14000.0}},\"CountedBy\":\"request\",\
         \"Discovery\":\"subscribe\",\"Domain\":{{\"HoldsForMs\":0.0,\"MaxAgeMs\":[{}],\"NeedsByClass\":[{}],\
         \"Positions\":true,\"ServerChecks\":\"silent\",\"SessionMarks\":\"kept\",\"ShowsRole\":\"static\",\
         \"Sync\":false,\"ZeroMs\":0.0}},\"GroupSize\":3,\"Index\":0,\"Kinds\":[\"std-3core\"],\
         \"Limits\":{{\"AttemptsCap\":8,\"ConnIdleMs\":30000.0,\"ConnectTimeoutMs\":250.0,\"MaxRetryAfterMs\":500.0,\
         \"MayCancel\":true,\"MayTell\":false,\"MostHeld\":33333,\"Probes\":true,\"RetryAfter\":true,\
         \"SecondCopies\":true,\"StreamsPerConn\":8}},\"OverShareWorth\":0.1,\
         \"Prices\":{{\"CrossZone\":0.01,\"LateFail\":0.03,\"Peer\":0.0,\"Probe\":0.04,\"Waste\":0.05}},\
         \"Report\":{{\"Columns\":[\"x0\",\"x1\"],\"How\":\"pull\"}},\"Tenants\":[],\"TickMs\":5.0,\"Tier\":0,\
         \"Tiers\":[\"quote-db\"],\"Weights\":\"nominal\",\"Workload\":\"replicas\",\"Zone\":\"kacyiru\",\
         \"Zones\":[\"kacyiru\",\"remera\",\"nyarutarama\"]}}",
        classes_json(&classes),
        list(classes.iter().map(|class| class.max_age_ms)),
        list(classes.iter().map(|class| format!("\"{}\"", class.need))),
    )
}
