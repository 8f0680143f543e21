//! The routing engines of the simulation, one per instance, and the batch that they are stepped for.

use std::collections::BTreeMap;
use std::io::{self, Write};

use pipittack::api::{Action, Endpoint, Event};
use pipittack::settings::{self, ConnectionSettings};
use pipittack::RoutingEngine;
use serde_json::{json, Value};

use crate::endpoints::{endpoint_update, parse_endpoints};
use crate::error::LineError;
use crate::event::parse_event;
use crate::parse::{Line, Message, Turn};
use crate::write;

/// One instance, and its events of the present batch.
struct Instance {
    engine: RoutingEngine,
    connections: ConnectionSettings,
    events: Vec<Event>,
}

/// All instances.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    /// The numbered endpoint lists. A number may be reused, so each is resolved when an update names it.
    lists: BTreeMap<u64, Value>,
    /// Instances to step at the end of the batch.
    touched: Vec<u64>,
}

impl Host {
    /// Applies one line of a batch. Lines for an instance that does not run are ignored.
    pub fn apply(&mut self, line: Line) -> Result<(), LineError> {
        match line {
            Line::Register { number, items } => {
                self.lists.insert(number, items);
            }
            Line::Enlist { instance, seed, settings } => self.enlist(instance, seed, &settings)?,
            Line::Teardown { instance } => {
                self.instances.remove(&instance);
                self.touched.retain(|&touched| touched != instance);
            }
            Line::EndpointUpdate { instance, form, list } => self.update_endpoints(instance, &form, list)?,
            Line::Event { instance, message } => self.add_event(instance, &message)?,
        }
        Ok(())
    }

    fn enlist(&mut self, instance: u64, seed: u64, settings: &Value) -> Result<(), LineError> {
        let (settings, connections) = settings::read(settings)?;
        let engine = RoutingEngine::new(settings, seed)?;
        self.instances.insert(instance, Instance { engine, connections, events: Vec::new() });
        self.touch(instance);
        Ok(())
    }

    fn update_endpoints(&mut self, instance: u64, form: &str, list: Option<u64>) -> Result<(), LineError> {
        let Some(running) = self.instances.get_mut(&instance) else { return Ok(()) };
        let endpoints: Vec<Endpoint> = match list {
            Some(number) => {
                let items = self.lists.get(&number).ok_or(LineError::UnknownList { number })?;
                parse_endpoints(items, &mut running.connections.names)?
            }
            None => Vec::new(),
        };
        running.events.push(Event::Endpoints(endpoint_update(form, endpoints)?));
        self.touch(instance);
        Ok(())
    }

    fn add_event(&mut self, instance: u64, message: &Message) -> Result<(), LineError> {
        let Some(running) = self.instances.get_mut(&instance) else { return Ok(()) };
        running.events.push(parse_event(message, &running.connections)?);
        self.touch(instance);
        Ok(())
    }

    fn touch(&mut self, instance: u64) {
        if !self.touched.contains(&instance) {
            self.touched.push(instance);
        }
    }

    /// Ends a batch: steps every instance that has an event, by number, and writes the reply.
    pub fn reply(&mut self, turn: &Turn, out: &mut impl Write) -> io::Result<()> {
        self.touched.sort_unstable();
        let mut actions: Vec<Action> = Vec::new();
        for number in std::mem::take(&mut self.touched) {
            let Some(instance) = self.instances.get_mut(&number) else { continue };
            instance.engine.step(turn.now, instance.events.drain(..), &mut actions);
            for action in actions.drain(..) {
                writeln!(out, "{}", write::action(number, &action))?;
            }
        }
        writeln!(out, "{}", json!(["OK", turn.batch]))?;
        out.flush()
    }
}
