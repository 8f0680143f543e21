//! A small site to try the proxy with: discovery, and one replica set of a primary and two replicas.
//!
//! `cargo run --example toy` writes a configuration to the path given as its argument and then serves until
//! it is stopped; `pipittack serve --config PATH` in another terminal is the proxy.

use std::time::Duration;

use pipittack_testkit::script::{listing, DataServer, Discovery, Say};

const DEFAULT_CONFIG_PATH: &str = "toy.json";
const RESPONSE_TIME: Duration = Duration::from_millis(20);
/// PostgreSQL's code for a write on a replica.
const READ_ONLY_TRANSACTION: &str = "25006";
/// Discovery's address in the configuration that is the template.
const TEMPLATE_DISCOVERY_ADDRESS: &str = "127.0.0.1:8500";

#[derive(Clone, Copy, PartialEq)]
enum Role {
    Primary,
    Replica,
}

impl Role {
    /// The role as discovery spells it.
    fn listed(self) -> &'static str {
        match self {
            Self::Primary => "read-write",
            Self::Replica => "read-only",
        }
    }
}

struct Member {
    name: &'static str,
    role: Role,
    server: DataServer,
}

fn start_member(name: &'static str, role: Role) -> Member {
    let server = DataServer::start(role == Role::Primary, move |text| {
        println!("{name}: {text}");
        let is_write = text.get(..6).is_some_and(|verb| verb.eq_ignore_ascii_case("INSERT"));
        if is_write && role == Role::Replica {
            return Say::Error(READ_ONLY_TRANSACTION);
        }
        std::thread::sleep(RESPONSE_TIME);
        Say::Row(format!("from {name}").into_bytes())
    });
    Member { name, role, server }
}

fn main() -> std::io::Result<()> {
    let path = std::env::args().nth(1).unwrap_or_else(|| DEFAULT_CONFIG_PATH.into());
    let members = [
        start_member("db-0", Role::Primary),
        start_member("db-1", Role::Replica),
        start_member("db-2", Role::Replica),
    ];
    let targets = members.each_ref().map(|member| {
        let role = member.role.listed();
        member.server.listed(member.name, role, "Ready")
    });
    let discovery = Discovery::start(listing(1, true, &targets));
    let config = include_str!("../config.json");
    let config = config.replace(TEMPLATE_DISCOVERY_ADDRESS, &discovery.address.to_string());
    std::fs::write(&path, config)?;
    println!("configuration in {path}; now run: pipittack serve --config {path}");
    loop {
        std::thread::park();
    }
}
