//! Many proxies in one process on virtual time, against the models of the fleet.
//!
//! Owns the virtual clock, the event queue and the state of each proxy process. The routing engines are the
//! real ones; everything around them is simulated. A simulation is deterministic by the seed of its plan:
//! neither the order of random draws nor that of events depends on anything else. An engine only receives
//! what a proxy would observe.

mod attempts;
mod clients;
mod discovery;
mod event_queue;
mod faults;
mod lifecycle;
mod process;
mod servers;
mod stepping;

use rand::Rng;

use super::fleet_model::{FleetModel, FIRST_REQUEST_DELAY_S, START_S};
use super::plan::Plan;
use super::report::Report;
use super::site::Effect;
use event_queue::{EventQueue, SimulationEvent};
use pipittack_core::api::{Event, ServerId};
use process::Process;

/// Time in s after the last request in which the simulation ends.
const SETTLE_S: f64 = 10.0;
/// Interval in s at which old accounts are removed, and their minimum age.
const PRUNE_INTERVAL_S: f64 = 20.0;

/// A simulation of one plan.
pub struct Simulation {
    fleet: FleetModel,
    now: f64,
    queue: EventQueue,
    /// All processes, including those that have exited.
    processes: Vec<Process>,
    /// The processes of each proxy that are alive.
    proxies: Vec<Vec<usize>>,
    /// Servers that operators have taken out of service.
    out_of_service: Vec<usize>,
    /// Number of tries so far; each is a request with an id of its own.
    requests: u64,
}

impl Simulation {
    /// Sets up the simulation of a plan.
    pub fn new(plan: Plan) -> Self {
        let proxies = plan.proxies;
        let mut simulation = Self {
            fleet: FleetModel::new(plan),
            now: START_S,
            queue: EventQueue::default(),
            processes: Vec::new(),
            proxies: vec![Vec::new(); proxies],
            out_of_service: Vec::new(),
            requests: 0,
        };
        for proxy in 0..proxies {
            let fleet = &mut simulation.fleet;
            let start_at = START_S + fleet.plan.start_spread_s * fleet.rng.random::<f64>();
            let first_request_at =
                start_at + FIRST_REQUEST_DELAY_S + fleet.workload.draw_interarrival_time(proxy, 1.0);
            simulation.schedule(start_at, SimulationEvent::StartProcess { proxy });
            simulation.schedule(first_request_at, SimulationEvent::NextRequest { proxy });
        }
        for index in 0..simulation.fleet.plan.faults.len() {
            let at = START_S + simulation.fleet.plan.faults[index].at_s;
            simulation.schedule(at, SimulationEvent::FaultStarts { index });
        }
        simulation
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Report {
        let end = START_S + self.fleet.plan.duration_s + SETTLE_S;
        let mut prune_at = START_S + PRUNE_INTERVAL_S;
        while let Some((at, event)) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            if self.now > prune_at {
                self.fleet.checker.prune(self.now - PRUNE_INTERVAL_S);
                self.fleet.links.prune(self.now);
                prune_at = self.now + PRUNE_INTERVAL_S;
            }
            self.handle(event);
        }
        self.fleet.finish(end)
    }

    fn schedule(&mut self, at: f64, event: SimulationEvent) {
        self.queue.schedule(at.max(self.now), event);
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::NextRequest { proxy } => self.next_request(proxy),
            SimulationEvent::Retry(client) => self.send_request(client),
            SimulationEvent::Step { process } => self.step_if_due(process),
            SimulationEvent::StatementReceived { process, id } => self.statement_received(process, id),
            SimulationEvent::ExecutionStarts(execution) => self.execution_starts(execution),
            SimulationEvent::ExecutionEnds(execution) => self.execution_ends(execution),
            SimulationEvent::AttemptEnds { process, id, result } => self.attempt_ends(process, id, result),
            SimulationEvent::AttemptTimeout { process, id } => self.attempt_times_out(process, id),
            SimulationEvent::HealthChecked { process, server, ok, load_report } => {
                let server = ServerId(server as u32);
                self.notify(process, Event::HealthChecked { server, ok, load_report });
            }
            SimulationEvent::PollEnds { process, ok } => self.poll_ends(process, ok),
            SimulationEvent::WatchLost { process } => self.watch_lost(process),
            SimulationEvent::EndpointsChanged { process, version } => {
                self.endpoints_changed(process, version);
            }
            SimulationEvent::ClientGone { process, request } => self.client_gone(process, request),
            SimulationEvent::FaultStarts { index } => self.start_fault(self.fleet.plan.faults[index].fault),
            SimulationEvent::FaultEnds { fault, affected } => self.end_fault(fault, &affected),
            SimulationEvent::Election { set } => {
                let mut effects = Vec::new();
                self.fleet.site.elect(set, self.now, &mut effects);
                self.handle_effects(effects);
            }
            SimulationEvent::StartProcess { proxy } => self.start_process(proxy),
            SimulationEvent::TakeOver { process } => self.take_over(process),
            SimulationEvent::StopAccepting { process } => self.processes[process].accepting = false,
            SimulationEvent::AwaitExit { process, kill_at } => self.await_exit(process, kill_at),
            SimulationEvent::CrashLoop { proxy, interval_s, until } => {
                self.crash_loop(proxy, interval_s, until);
            }
        }
    }

    fn handle_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Published(publication) => self.list_published(publication),
                Effect::ServerExited { server, incarnation } => self.server_exited(server, incarnation),
                Effect::ElectionDue { set, at } => self.schedule(at, SimulationEvent::Election { set }),
            }
        }
        self.fleet.register_new_servers();
    }
}
