//! Clients that send requests to proxies, retry them and sometimes go away early.

use pipittack_core::api::{Consistency, Event, GroupId, Request, RequestId};
use rand::Rng;

use super::super::fleet_model::{duration, START_S};
use super::super::rule_checker::AcceptedRequest;
use super::super::workload::{ClientRequest, TryFailure};
use super::event_queue::SimulationEvent;
use super::process::OpenRequest;
use super::Simulation;

/// Share of the requests whose clients go away before their deadline.
const CLIENT_GONE_SHARE: f64 = 0.02;
/// Length of a statement.
const STATEMENT_BYTES: u64 = 100;

impl Simulation {
    /// Sends the next new request of a proxy's clients, and schedules the one after it.
    pub(super) fn next_request(&mut self, proxy: usize) {
        if self.now > START_S + self.fleet.plan.duration_s {
            return;
        }
        let factor = self.fleet.burst_factor(self.now);
        let next = self.now + self.fleet.workload.draw_interarrival_time(proxy, factor);
        self.schedule(next, SimulationEvent::NextRequest { proxy });
        let client = self.fleet.create_request(proxy, self.now);
        self.send_request(client);
    }

    /// Sends a try of a client's request to its proxy.
    pub(super) fn send_request(&mut self, mut client: ClientRequest) {
        client.tries += 1;
        self.fleet.report.tries += 1;
        let Some(process) = self.accepting_process(client.proxy) else {
            return self.proxy_unreachable(client);
        };
        self.requests += 1;
        let id = RequestId(self.requests);
        let start = &mut self.fleet.report.starts[self.processes[process].start];
        start.first_request.get_or_insert(self.now - START_S - start.at);
        let token_commit = self.fleet.token_commit(&client);
        let request = self.proxy_request(id, &client, token_commit);
        self.fleet.checker.request_accepted(AcceptedRequest {
            id: id.0,
            proxy: client.proxy,
            class: client.class,
            session: client.session,
            token_commit,
            accepted_at: self.now,
            deadline: client.deadline,
        });
        if self.fleet.rng.random::<f64>() < CLIENT_GONE_SHARE {
            let at = self.now + (client.deadline - self.now) * self.fleet.rng.random::<f64>();
            self.schedule(at, SimulationEvent::ClientGone { process, request: id });
        }
        let deadline = client.deadline;
        self.processes[process].open.insert(id, OpenRequest { client, deadline, attempts: 0 });
        self.notify(process, Event::Request(request));
    }

    /// A client's request as its proxy receives it.
    fn proxy_request(&self, id: RequestId, client: &ClientRequest, token_commit: Option<f64>) -> Request {
        let consistency = self.fleet.plan.settings.classes[client.class.0].consistency;
        let has_session = matches!(consistency, Consistency::Causal | Consistency::Write);
        Request {
            id,
            class: client.class,
            group: GroupId(client.set as u64),
            tenant: None,
            time_left: duration(client.deadline - self.now),
            is_retry: client.tries > 1,
            statement_bytes: STATEMENT_BYTES,
            expected_work: None,
            session: has_session.then(|| client.session.to_string()),
            last_write_age: token_commit.map(|commit| duration(self.now - commit)),
        }
    }

    /// Ends a try whose proxy accepts no requests.
    pub(super) fn proxy_unreachable(&mut self, client: ClientRequest) {
        self.fleet.report.unreachable += 1;
        self.try_failed(client, TryFailure::Failed);
    }

    /// Ends the request of a client that goes away.
    pub(super) fn client_gone(&mut self, process: usize, id: RequestId) {
        if self.processes[process].open.remove(&id).is_some() {
            self.fleet.checker.request_abandoned(id.0);
            self.notify(process, Event::ClientDisconnected(id));
        }
    }

    /// Ends a try that was not served, and schedules a retry if the client makes one.
    pub(super) fn try_failed(&mut self, client: ClientRequest, failure: TryFailure) {
        if let Some(at) = self.fleet.retry_at(&client, failure, self.now) {
            self.schedule(at, SimulationEvent::Retry(client));
        }
    }
}
