//! A toy to try the proxy with: discovery at 127.0.0.1:PORT and a group of one primary and two replicas.
//!
//! `cargo run --example toy` writes a configuration to the path given as its argument and then serves until
//! it is stopped; `pipittack serve --config PATH` in another terminal is the proxy.

use std::time::Duration;

use pipittack_testkit::script::{listing, DataServer, Discovery, Say};

fn main() -> std::io::Result<()> {
    let path = std::env::args().nth(1).unwrap_or_else(|| "toy.json".into());
    let server = |name: &'static str, primary: bool| {
        DataServer::start(primary, move |text| {
            println!("{name}: {text}");
            match (text.get(..6).map(str::to_ascii_uppercase).as_deref(), primary) {
                (Some("INSERT"), false) => Say::Error("25006"),
                _ => {
                    std::thread::sleep(Duration::from_millis(20));
                    Say::Row(format!("from {name}").into_bytes())
                }
            }
        })
    };
    let members = [("db-0", true), ("db-1", false), ("db-2", false)];
    let servers = members.map(|(name, primary)| (name, primary, server(name, primary)));
    let mode = |primary| if primary { "read-write" } else { "read-only" };
    let targets = servers.each_ref().map(|(name, primary, s)| s.listed(name, mode(*primary), "Ready"));
    let discovery = Discovery::start(listing(1, true, &targets));
    let config = include_str!("../config.json");
    let config = config.replace("127.0.0.1:8500", &discovery.address.to_string());
    std::fs::write(&path, config)?;
    println!("configuration in {path}; now run: pipittack serve --config {path}");
    loop {
        std::thread::park();
    }
}
