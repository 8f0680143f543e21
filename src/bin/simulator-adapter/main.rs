//! Speaks the line protocol of the bench on standard input and output, and hosts one gateway per instance.

mod parse;
mod write;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::time::Duration;

use parse::Line;
use pipittack::api::{Action, Endpoint, Event};
use pipittack::settings::{self, ConnectionSettings};
use pipittack::RoutingEngine;

/// An instance: its gateway, the names of its settings, and its events of the present batch.
struct Instance {
    gateway: RoutingEngine,
    env: ConnectionSettings,
    events: Vec<Event>,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    /// The process's numbered lists, as they came.
    lists: BTreeMap<u64, serde_json::Value>,
    /// Instances with an event in this batch.
    touched: Vec<u64>,
}

impl Host {
    /// Takes one event line of a batch.
    fn take(&mut self, line: Line) -> Result<(), String> {
        match line {
            Line::Register { number, items } => {
                self.lists.insert(number, items);
            }
            Line::Enlist { instance, seed, env } => {
                let (settings, env) = settings::read(&env).map_err(|e| e.to_string())?;
                let gateway = RoutingEngine::new(settings, seed).map_err(|e| format!("settings: {e}"))?;
                self.instances.insert(instance, Instance { gateway, env, events: Vec::new() });
                self.touch(instance);
            }
            Line::Teardown { instance } => {
                self.instances.remove(&instance);
                self.touched.retain(|&i| i != instance);
            }
            Line::EndpointUpdate { instance, form, list } => {
                let Some(host) = self.instances.get_mut(&instance) else { return Ok(()) };
                let entries: Vec<Endpoint> = match list {
                    Some(number) => {
                        let items = self.lists.get(&number).ok_or(format!("no list number {number}"))?;
                        parse::entries(items, &mut host.env.names)?
                    }
                    None => Vec::new(),
                };
                host.events.push(Event::Endpoints(parse::view(&form, entries)?));
                self.touch(instance);
            }
            Line::Event { instance, name, values } => {
                let Some(host) = self.instances.get_mut(&instance) else { return Ok(()) };
                host.events.push(parse::event(&name, &values, &host.env)?);
                self.touch(instance);
            }
        }
        Ok(())
    }

    fn touch(&mut self, instance: u64) {
        if !self.touched.contains(&instance) {
            self.touched.push(instance);
        }
    }

    /// Ends a batch: steps every instance that has an event, and writes the reply.
    fn reply(&mut self, now: Duration, batch: &serde_json::Value, out: &mut impl Write) -> io::Result<()> {
        self.touched.sort_unstable();
        let mut actions: Vec<Action> = Vec::new();
        for instance in std::mem::take(&mut self.touched) {
            let Some(host) = self.instances.get_mut(&instance) else { continue };
            host.gateway.step(now, host.events.drain(..), &mut actions);
            for action in actions.drain(..) {
                writeln!(out, "{}", write::action(instance, &action))?;
            }
        }
        writeln!(out, "{}", serde_json::json!(["OK", batch]))?;
        out.flush()
    }
}

fn run(input: impl BufRead, out: &mut impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut batch: Option<(Duration, serde_json::Value)> = None;
    for (at, line) in input.lines().enumerate() {
        let fault = |what: String| format!("line {}: {what}", at + 1);
        let line = line.map_err(|e| fault(e.to_string()))?;
        if line.trim().is_empty() {
            continue;
        }
        let (name, values) = parse::message(&line).map_err(fault)?;
        match (name.as_str(), &batch) {
            ("TURN", None) => batch = Some(parse::turn(&values).map_err(fault)?),
            ("TURN", Some(_)) => return Err(fault("TURN inside a batch".into())),
            (_, None) => return Err(fault(format!("{name} outside a batch"))),
            ("EOB", Some((now, number))) => {
                host.reply(*now, number, out).map_err(|e| fault(e.to_string()))?;
                batch = None;
            }
            _ => parse::line(name, values).and_then(|l| host.take(l)).map_err(fault)?,
        }
    }
    match batch {
        Some(_) => Err("input ended inside a batch".into()),
        None => Ok(()),
    }
}

fn main() -> ExitCode {
    let mut out = io::BufWriter::new(io::stdout().lock());
    match run(io::stdin().lock(), &mut out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("simulator-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}
