//! Runs many simulated proxies in virtual time against the models of the fleet.
//!
//! Owns the virtual clock, the event queue and the state of each simulated proxy process. The simulation runs
//! the routing engine of the proxy and simulates everything around it. The plan and its seed determine the
//! result: the order of the random draws and of the events depends on nothing else. A routing engine only
//! receives the events that a proxy would observe. Times are in seconds on the clock of the fleet model.

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

use super::backends::Effect;
use super::fleet_model::{FleetModel, FIRST_REQUEST_DELAY_S, START_S};
use super::plan::Plan;
use super::report::Report;
use event_queue::{EventQueue, SimulationEvent};
use pipittack_core::api::{Event, ServerId};
use process::Process;

/// Time in seconds from the end of the load until the simulation ends. Open requests are answered within it.
const SETTLE_S: f64 = 10.0;
/// Interval in seconds at which requests that have ended and faults that are over are removed from the
/// models, and the minimum age of the requests that are removed.
const PRUNE_INTERVAL_S: f64 = 20.0;

/// Simulation of one plan.
pub struct Simulation {
    fleet: FleetModel,
    now: f64,
    queue: EventQueue,
    /// All proxy processes, including those that have exited. Events refer to a process by its index.
    processes: Vec<Process>,
    /// Indices of the running processes of each proxy.
    live_processes: Vec<Vec<usize>>,
    /// Servers that operators have taken out of service and not returned.
    out_of_service: Vec<usize>,
    /// Id of the last try that a proxy accepted. For the proxy and the rule checker, each try is a request of
    /// its own.
    last_request_id: u64,
}

impl Simulation {
    /// Creates the simulation of a plan, and schedules the first start and request of each proxy and the
    /// faults.
    pub fn new(plan: Plan) -> Self {
        let proxy_count = plan.proxy_count;
        let mut simulation = Self {
            fleet: FleetModel::new(plan),
            now: START_S,
            queue: EventQueue::default(),
            processes: Vec::new(),
            live_processes: vec![Vec::new(); proxy_count],
            out_of_service: Vec::new(),
            last_request_id: 0,
        };
        for proxy in 0..proxy_count {
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

    /// Runs the simulation to its end, and returns the report.
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
            self.handle_event(event);
        }
        self.fleet.finish(end)
    }

    fn schedule(&mut self, at: f64, event: SimulationEvent) {
        self.queue.schedule(at.max(self.now), event);
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::NextRequest { proxy } => self.next_request(proxy),
            SimulationEvent::Retry(client_request) => self.send_request(client_request),
            SimulationEvent::Step { process } => self.step_if_due(process),
            SimulationEvent::StatementReceived { process, id } => self.statement_received(process, id),
            SimulationEvent::ExecutionStarts(execution) => self.execution_starts(execution),
            SimulationEvent::ExecutionEnds(execution) => self.execution_ends(execution),
            SimulationEvent::AttemptEnds { process, id, result } => self.attempt_ends(process, id, result),
            SimulationEvent::AttemptTimeout { process, id } => self.attempt_times_out(process, id),
            SimulationEvent::HealthChecked { process, server, ok, load_report } => {
                let server = ServerId(server as u32);
                self.enqueue_event(process, Event::HealthChecked { server, ok, load_report });
            }
            SimulationEvent::PollEnds { process, ok } => self.poll_ends(process, ok),
            SimulationEvent::WatchLost { process } => self.watch_lost(process),
            SimulationEvent::EndpointsChanged { process, version } => {
                self.endpoints_changed(process, version);
            }
            SimulationEvent::ClientCloses { process, request } => self.client_closes(process, request),
            SimulationEvent::FaultStarts { index } => self.start_fault(self.fleet.plan.faults[index].fault),
            SimulationEvent::FaultEnds { fault, affected } => self.end_fault(fault, &affected),
            SimulationEvent::Election { set } => {
                let mut effects = Vec::new();
                self.fleet.backends.elect(set, self.now, &mut effects);
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
