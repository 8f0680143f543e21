//! The admin API: an HTTP server with an address of its own, which reports readiness and takes data
//! servers or this process out of service.
//!
//! `http` parses calls and encodes responses, `server` owns the connections, and `out_of_service` owns the
//! list of servers that are out of service and the file that stores it. [`AdminApi`] applies calls to the
//! driver and the client side. A call that changes the list succeeds only after the change is stored.

use std::cell::Cell;
use std::time::Duration;

use crate::net::client::ClientService;
use crate::net::discovery::SharedEndpointRegistry;
use crate::net::log_limit::LogLimit;
use crate::net::server::PgDriver;

mod http;
mod out_of_service;
mod server;

pub use http::{parse_call, AdminCall, HttpStatus};
pub use out_of_service::{OutOfServiceError, OutOfServiceList, ServiceChange, ServiceState};
pub use server::{listen, run};

use http::Response;

/// Interval between checks for changes of the out-of-service file, and between checks for the first endpoint
/// list.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Applies admin calls to the components of a process.
pub struct AdminApi {
    /// Driver of the routing engine.
    pub driver: PgDriver,
    /// Endpoint list, with the ids and names of the servers.
    pub registry: SharedEndpointRegistry,
    /// Client side.
    pub clients: ClientService,
    /// Servers that are out of service.
    pub out_of_service: OutOfServiceList,
    /// Whether this process accepts clients and has an endpoint list, or has waited long enough for one.
    pub ready: Cell<bool>,
    /// Log lines about errors in reloading the list of servers that are out of service.
    pub reload_errors: LogLimit,
}

impl AdminApi {
    /// Applies the changes that other processes of this proxy instance store in the out-of-service file.
    /// Never returns.
    pub async fn watch_out_of_service_list(&self) {
        let mut interval = tokio::time::interval(POLL_INTERVAL);
        loop {
            self.reload_out_of_service_list();
            interval.tick().await;
        }
    }

    /// Reads the out-of-service file if it has changed, and applies the changes. If the file cannot be read,
    /// logs the error and changes nothing.
    pub fn reload_out_of_service_list(&self) {
        match self.out_of_service.reload() {
            Ok(changes) => changes.iter().for_each(|change| self.apply_state(&change.name, change.state)),
            Err(e) => {
                if let Some(count) = self.reload_errors.record() {
                    log::warn!("reloading the out-of-service list failed: {e} ({count} errors)");
                }
            }
        }
    }

    /// Waits until the discovery service has sent or confirmed the endpoint list.
    pub async fn wait_for_endpoints(&self) {
        while !self.registry.borrow().is_confirmed() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Logs the new state of a server and sets it in the driver.
    fn apply_state(&self, name: &str, state: ServiceState) {
        match state {
            ServiceState::OutOfService => log::info!("server {name} taken out of service"),
            ServiceState::InService => log::info!("server {name} returned to service"),
        }
        let server = self.registry.borrow().server_id(name);
        self.driver.set_out_of_service(server, state == ServiceState::OutOfService);
    }

    fn handle_call(&self, call: AdminCall) -> Response {
        match call {
            AdminCall::Ready => self.readiness(),
            AdminCall::Offline(name) => self.set_state(&name, ServiceState::OutOfService),
            AdminCall::Online(name) => self.set_state(&name, ServiceState::InService),
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

    /// Stores the new state of a server and applies it.
    fn set_state(&self, name: &str, state: ServiceState) -> Response {
        self.reload_out_of_service_list(); // another process may have stored a change
        if !self.registry.borrow().has_listed(name) && !self.out_of_service.contains(name) {
            return Response::new(HttpStatus::NotFound, "no such data server was ever listed");
        }
        let previous = self.out_of_service.state(name);
        if let Err(e) = self.out_of_service.set(name, state) {
            log::warn!("storing the state {state:?} of server {name} failed: {e}");
            return Response::new(HttpStatus::InternalServerError, "it could not be written down");
        }
        if previous == state {
            return Response::new(HttpStatus::Ok, "as before");
        }
        self.apply_state(name, state);
        let text = match state {
            ServiceState::OutOfService => "out",
            ServiceState::InService => "back",
        };
        Response::new(HttpStatus::Ok, text)
    }
}
