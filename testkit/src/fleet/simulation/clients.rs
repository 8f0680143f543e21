//! Clients that send requests to proxies, retry them, and sometimes disconnect before the answer.

use pipittack_core::api::{Consistency, Event, GroupId, Request, RequestId};
use rand::Rng;

use super::super::fleet_model::{duration_from_secs, START_S};
use super::super::rule_checker::AcceptedRequest;
use super::super::workload::{ClientRequest, TryFailure};
use super::event_queue::SimulationEvent;
use super::process::OpenRequest;
use super::Simulation;

/// Share of the tries whose client closes its connection at a random time before the deadline.
const CLIENT_DISCONNECT_SHARE: f64 = 0.02;
/// Length of a statement in bytes.
const STATEMENT_BYTES: u64 = 100;

impl Simulation {
    /// Sends the next new request of a proxy's clients, and schedules the following request.
    pub(super) fn next_request(&mut self, proxy: usize) {
        if self.now > START_S + self.fleet.plan.duration_s {
            return;
        }
        let factor = self.fleet.burst_factor(self.now);
        let next = self.now + self.fleet.workload.draw_interarrival_time(proxy, factor);
        self.schedule(next, SimulationEvent::NextRequest { proxy });
        let client_request = self.fleet.create_request(proxy, self.now);
        self.send_request(client_request);
    }

    /// Starts the next try of a client's request: sends the request to a process of its proxy.
    pub(super) fn send_request(&mut self, mut client_request: ClientRequest) {
        client_request.tries += 1;
        self.fleet.report.tries += 1;
        let Some(process) = self.accepting_process(client_request.proxy) else {
            return self.proxy_unreachable(client_request);
        };
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let start = &mut self.fleet.report.starts[self.processes[process].start_index];
        start.first_request.get_or_insert(self.now - START_S - start.started_at);
        let token_commit = self.fleet.token_commit(&client_request);
        let request = self.proxy_request(id, &client_request, token_commit);
        self.fleet.checker.request_accepted(AcceptedRequest {
            id: id.0,
            proxy: client_request.proxy,
            class: client_request.class,
            session: client_request.session,
            token_commit,
            accepted_at: self.now,
            deadline: client_request.deadline,
        });
        if self.fleet.rng.random::<f64>() < CLIENT_DISCONNECT_SHARE {
            let at = self.now + (client_request.deadline - self.now) * self.fleet.rng.random::<f64>();
            self.schedule(at, SimulationEvent::ClientCloses { process, request: id });
        }
        let deadline = client_request.deadline;
        self.processes[process]
            .open_requests
            .insert(id, OpenRequest { client_request, deadline, attempts: 0 });
        self.enqueue_event(process, Event::Request(request));
    }

    /// Returns a client's request as its proxy passes it to the routing engine.
    fn proxy_request(
        &self,
        id: RequestId,
        client_request: &ClientRequest,
        token_commit: Option<f64>,
    ) -> Request {
        let consistency = self.fleet.plan.settings.classes[client_request.class.0].consistency;
        let has_session = matches!(consistency, Consistency::Causal | Consistency::Write);
        Request {
            id,
            class: client_request.class,
            group: GroupId(client_request.set as u64),
            tenant: None,
            time_left: duration_from_secs(client_request.deadline - self.now),
            is_retry: client_request.tries > 1,
            statement_bytes: STATEMENT_BYTES,
            expected_work: None,
            session: has_session.then(|| client_request.session.to_string()),
            last_write_age: token_commit.map(|commit| duration_from_secs(self.now - commit)),
        }
    }

    /// Ends a try whose proxy accepts no requests or exited before it answered.
    pub(super) fn proxy_unreachable(&mut self, client_request: ClientRequest) {
        self.fleet.report.unreachable += 1;
        self.try_failed(client_request, TryFailure::Failed);
    }

    /// Ends the open request of a client that closes its connection. Does nothing if the request has been
    /// answered.
    pub(super) fn client_closes(&mut self, process: usize, id: RequestId) {
        if self.processes[process].open_requests.remove(&id).is_some() {
            self.fleet.checker.request_abandoned(id.0);
            self.enqueue_event(process, Event::ClientDisconnected(id));
        }
    }

    /// Ends a try that was not served, and schedules the client's retry if there is one.
    pub(super) fn try_failed(&mut self, client_request: ClientRequest, failure: TryFailure) {
        if let Some(at) = self.fleet.retry_at(&client_request, failure, self.now) {
            self.schedule(at, SimulationEvent::Retry(client_request));
        }
    }
}
