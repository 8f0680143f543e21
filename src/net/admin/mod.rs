//! The admin API: readiness, and what operators take out of service, over HTTP at an address of its own.
//!
//! `http` parses calls and encodes responses, `server` owns the connections, and `out_of_service` the
//! list of servers that are out of service with its file. [`AdminApi`] applies calls to the driver and to the
//! client side. A call that changes the list succeeds only once the change is stored.

use std::cell::Cell;
use std::time::Duration;

use crate::net::client::ClientService;
use crate::net::discovery::SharedEndpointRegistry;
use crate::net::server::PgDriver;

mod http;
mod out_of_service;
mod server;

pub use http::{parse_call, AdminCall, HttpStatus};
pub use out_of_service::{OutOfServiceError, OutOfServiceList, ServiceChange, ServiceState};
pub use server::{listen, run};

use http::Response;

/// Time between two checks of the file and of discovery.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What calls act on.
pub struct AdminApi {
    /// The routing engine's driver.
    pub driver: PgDriver,
    /// The servers' names.
    pub registry: SharedEndpointRegistry,
    /// The client side.
    pub clients: ClientService,
    /// The servers that are out of service.
    pub out_of_service: OutOfServiceList,
    /// Whether clients are accepted and the endpoint list is known.
    pub ready: Cell<bool>,
}

impl AdminApi {
    /// Applies changes that other processes of this proxy instance store in the file. Never returns.
    pub async fn follow_file(&self) {
        let mut interval = tokio::time::interval(POLL_INTERVAL);
        loop {
            self.sync_file();
            interval.tick().await;
        }
    }

    /// Applies changes in the file at once. A file that cannot be read is logged, and nothing changes.
    pub fn sync_file(&self) {
        match self.out_of_service.reload() {
            Ok(changes) => changes.iter().for_each(|change| self.apply(&change.uid, change.state)),
            Err(e) => log::warn!("cannot reload the servers out of service: {e}"),
        }
    }

    /// Waits until discovery has received the endpoint list.
    pub async fn wait_for_endpoints(&self) {
        while !self.registry.borrow().is_live() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Has the routing engine use a server or leave it out.
    fn apply(&self, uid: &str, state: ServiceState) {
        match state {
            ServiceState::OutOfService => log::info!("server {uid} was taken out of service"),
            ServiceState::InService => log::info!("server {uid} was returned to service"),
        }
        let server = self.registry.borrow().server_id(uid);
        self.driver.set_out_of_service(server, state == ServiceState::OutOfService);
    }

    fn answer(&self, call: AdminCall) -> Response {
        match call {
            AdminCall::Ready => self.readiness(),
            AdminCall::Offline(uid) => self.set(&uid, ServiceState::OutOfService),
            AdminCall::Online(uid) => self.set(&uid, ServiceState::InService),
            AdminCall::OutOfService => {
                self.clients.take_out_of_service();
                Response::new(HttpStatus::Ok, "out of service")
            }
            AdminCall::InService => {
                self.clients.return_to_service();
                Response::new(HttpStatus::Ok, "in service")
            }
        }
    }

    fn readiness(&self) -> Response {
        if self.clients.is_out_of_service() {
            Response::new(HttpStatus::ServiceUnavailable, "out of service")
        } else if !self.ready.get() {
            Response::new(HttpStatus::ServiceUnavailable, "no list of data servers yet")
        } else {
            Response::new(HttpStatus::Ok, "ready")
        }
    }

    fn set(&self, uid: &str, state: ServiceState) -> Response {
        self.sync_file(); // another process may have stored an earlier call
        if !self.registry.borrow().has_listed(uid) && !self.out_of_service.contains(uid) {
            return Response::new(HttpStatus::NotFound, "no such data server was ever listed");
        }
        let previous = self.out_of_service.state(uid);
        if let Err(e) = self.out_of_service.set(uid, state) {
            log::warn!("cannot store the state {state:?} of server {uid}: {e}");
            return Response::new(HttpStatus::InternalServerError, "it could not be written down");
        }
        if previous == state {
            return Response::new(HttpStatus::Ok, "as before");
        }
        self.apply(uid, state);
        let text = match state {
            ServiceState::OutOfService => "out",
            ServiceState::InService => "back",
        };
        Response::new(HttpStatus::Ok, text)
    }
}
