//! The routing engines of the simulation, one for each proxy instance, and the events of the current batch.

use std::collections::BTreeMap;
use std::io::{self, Write};

use pipittack::api::{Action, Endpoint, Event};
use pipittack::settings::{self, ConnectionSettings};
use pipittack::RoutingEngine;
use serde_json::{json, Value};

use crate::endpoints::{endpoint_update, parse_endpoints};
use crate::error::LineError;
use crate::event::parse_event;
use crate::parse::{Line, Message, OpenBatch};
use crate::write;

/// A proxy instance, and its events in the current batch.
struct Instance {
    engine: RoutingEngine,
    connections: ConnectionSettings,
    events: Vec<Event>,
}

/// All proxy instances of the simulation.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    /// Endpoint lists by number. A number may be reused within a batch, so an update is resolved when its
    /// line is read.
    endpoint_lists: BTreeMap<u64, Value>,
    /// Numbers of the instances to step at the end of the batch.
    to_step: Vec<u64>,
}

impl Host {
    /// Applies one line of a batch. Ignores updates and events for an instance that is not running.
    pub fn apply(&mut self, line: Line) -> Result<(), LineError> {
        match line {
            Line::NewList { number, items } => {
                self.endpoint_lists.insert(number, items);
            }
            Line::Start { instance, seed, settings } => self.start_instance(instance, seed, &settings)?,
            Line::Stop { instance } => {
                self.instances.remove(&instance);
                self.to_step.retain(|&number| number != instance);
            }
            Line::EndpointUpdate { instance, form, list } => self.update_endpoints(instance, &form, list)?,
            Line::Event { instance, message } => self.add_event(instance, &message)?,
        }
        Ok(())
    }

    fn start_instance(&mut self, instance: u64, seed: u64, settings: &Value) -> Result<(), LineError> {
        let (settings, connections) = settings::read(settings)?;
        let engine = RoutingEngine::new(settings, seed)?;
        self.instances.insert(instance, Instance { engine, connections, events: Vec::new() });
        self.mark_for_step(instance);
        Ok(())
    }

    fn update_endpoints(&mut self, instance: u64, form: &str, list: Option<u64>) -> Result<(), LineError> {
        let Some(running) = self.instances.get_mut(&instance) else { return Ok(()) };
        let endpoints: Vec<Endpoint> = match list {
            Some(number) => {
                let items = self.endpoint_lists.get(&number).ok_or(LineError::UnknownList { number })?;
                parse_endpoints(items, &mut running.connections.names)?
            }
            None => Vec::new(),
        };
        running.events.push(Event::Endpoints(endpoint_update(form, endpoints)?));
        self.mark_for_step(instance);
        Ok(())
    }

    fn add_event(&mut self, instance: u64, message: &Message) -> Result<(), LineError> {
        let Some(running) = self.instances.get_mut(&instance) else { return Ok(()) };
        running.events.push(parse_event(message, &running.connections)?);
        self.mark_for_step(instance);
        Ok(())
    }

    fn mark_for_step(&mut self, instance: u64) {
        if !self.to_step.contains(&instance) {
            self.to_step.push(instance);
        }
    }

    /// Ends a batch: steps each instance that was started or has events, in the order of their numbers, and
    /// writes the reply.
    pub fn end_batch(&mut self, batch: &OpenBatch, out: &mut impl Write) -> io::Result<()> {
        self.to_step.sort_unstable();
        let mut actions: Vec<Action> = Vec::new();
        for number in std::mem::take(&mut self.to_step) {
            let Some(instance) = self.instances.get_mut(&number) else { continue };
            instance.engine.step(batch.now, instance.events.drain(..), &mut actions);
            for action in actions.drain(..) {
                writeln!(out, "{}", write::encode_action(number, &action))?;
            }
        }
        writeln!(out, "{}", json!(["OK", batch.number]))?;
        out.flush()
    }
}
