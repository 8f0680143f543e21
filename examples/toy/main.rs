//! Servers to try the proxy with: a discovery service, and one replica set of a primary and two replicas.
//!
//! `cargo run --example toy -- PATH` writes a configuration file for the proxy to PATH (`toy.json` by
//! default) and then runs the servers until the process is stopped. Start the proxy in another terminal with
//! `pipittack serve --config PATH`.

use std::time::Duration;

use pipittack_testkit::scripted_discovery::{full_list, ScriptedDiscovery};
use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};

const DEFAULT_CONFIG_PATH: &str = "toy.json";
const RESPONSE_TIME: Duration = Duration::from_millis(20);
/// SQLSTATE of PostgreSQL's error for a write on a replica.
const READ_ONLY_TRANSACTION: &str = "25006";
/// Address of the discovery service in `examples/config.json`, which is replaced by the real one.
const TEMPLATE_DISCOVERY_ADDRESS: &str = "127.0.0.1:8500";

/// Returns the role's name in the endpoint list.
fn listed_role(role: ServerRole) -> &'static str {
    match role {
        ServerRole::Primary => "read-write",
        ServerRole::Replica => "read-only",
    }
}

/// A data server of the replica set.
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
    println!("configuration written to {path}; start the proxy with: pipittack serve --config {path}");
    loop {
        std::thread::park();
    }
}
