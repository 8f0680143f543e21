//! A toy to try the proxy with: discovery at 127.0.0.1:PORT and a group of one primary and two replicas.
//!
//! `cargo run --example toy` writes a configuration to the path given as its argument and then serves until
//! it is stopped; `pipittack serve --config PATH` in another terminal is the proxy.

use std::time::Duration;

use pipittack_testkit::scripted_discovery::{full_list, ScriptedDiscovery};
use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};

fn main() -> std::io::Result<()> {
    let path = std::env::args().nth(1).unwrap_or_else(|| "toy.json".into());
    let server = |name: &'static str, role: ServerRole| {
        ScriptedServer::start(role, move |text| {
            println!("{name}: {text}");
            match (text.get(..6).map(str::to_ascii_uppercase).as_deref(), role) {
                (Some("INSERT"), ServerRole::Replica) => Reply::Error("25006"),
                _ => {
                    std::thread::sleep(Duration::from_millis(20));
                    Reply::Row(format!("from {name}").into_bytes())
                }
            }
        })
    };
    let members =
        [("db-0", ServerRole::Primary), ("db-1", ServerRole::Replica), ("db-2", ServerRole::Replica)];
    let servers = members.map(|(name, role)| (name, role, server(name, role)));
    let mode = |role| if role == ServerRole::Primary { "read-write" } else { "read-only" };
    let endpoints =
        servers.each_ref().map(|(name, role, server)| server.endpoint(name, mode(*role), "Ready"));
    let discovery = ScriptedDiscovery::start(full_list(1, &endpoints));
    let config = include_str!("../config.json");
    let config = config.replace("127.0.0.1:8500", &discovery.address.to_string());
    std::fs::write(&path, config)?;
    println!("configuration in {path}; now run: pipittack serve --config {path}");
    loop {
        std::thread::park();
    }
}
