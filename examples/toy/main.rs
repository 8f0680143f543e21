//! A small site to try the proxy with: discovery, and one replica set of a primary and two replicas.
//!
//! `cargo run --example toy` writes a configuration to the path given as its argument and then serves until
//! it is stopped; `pipittack serve --config PATH` in another terminal is the proxy.

use std::time::Duration;

use pipittack_testkit::scripted_discovery::{full_list, ScriptedDiscovery};
use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};

const DEFAULT_CONFIG_PATH: &str = "toy.json";
const RESPONSE_TIME: Duration = Duration::from_millis(20);
/// PostgreSQL's code for a write on a replica.
const READ_ONLY_TRANSACTION: &str = "25006";
/// Discovery's address in the configuration that is the template.
const TEMPLATE_DISCOVERY_ADDRESS: &str = "127.0.0.1:8500";

/// The role as discovery spells it.
fn listed_role(role: ServerRole) -> &'static str {
    match role {
        ServerRole::Primary => "read-write",
        ServerRole::Replica => "read-only",
    }
}

struct Member {
    name: &'static str,
    role: ServerRole,
    server: ScriptedServer,
}

fn start_member(name: &'static str, role: ServerRole) -> Member {
    let server = ScriptedServer::start(role, move |text| {
        println!("{name}: {text}");
        let is_write = text.get(..6).is_some_and(|verb| verb.eq_ignore_ascii_case("INSERT"));
        if is_write && role == ServerRole::Replica {
            return Reply::Error(READ_ONLY_TRANSACTION);
        }
        std::thread::sleep(RESPONSE_TIME);
        Reply::Row(format!("from {name}").into_bytes())
    });
    Member { name, role, server }
}

fn main() -> std::io::Result<()> {
    let path = std::env::args().nth(1).unwrap_or_else(|| DEFAULT_CONFIG_PATH.into());
    let members = [
        start_member("db-0", ServerRole::Primary),
        start_member("db-1", ServerRole::Replica),
        start_member("db-2", ServerRole::Replica),
    ];
    let endpoints = members
        .each_ref()
        .map(|member| member.server.endpoint(member.name, listed_role(member.role), "Ready"));
    let discovery = ScriptedDiscovery::start(full_list(1, &endpoints));
    let config = include_str!("../config.json");
    let config = config.replace(TEMPLATE_DISCOVERY_ADDRESS, &discovery.address.to_string());
    std::fs::write(&path, config)?;
    println!("configuration in {path}; now run: pipittack serve --config {path}");
    loop {
        std::thread::park();
    }
}
