//! Reports on servers: their status, their health, the endpoint list and the operators' orders.

use std::net::SocketAddr;

use super::commands::ServerCommand;
use super::Driver;
use crate::api::{EndpointUpdate, Event, GroupId, LoadReport, ServerId, ServerStatus};

impl<Q, A> Driver<Q, A> {
    /// Reports the status that a server sent with a response whose attempt has ended before.
    pub fn status_reported(&self, server: ServerId, status: Option<ServerStatus>) {
        let Some(status) = status else { return };
        self.0.state.borrow_mut().endpoints.record_status(server, status);
        let ServerStatus { position, primary } = status;
        let load_report = LoadReport { position, primary, ..LoadReport::default() };
        self.health_checked(server, true, Some(load_report));
    }

    /// Reports the end of a health check: whether the server answered, and the load report that it sent.
    pub fn health_checked(&self, server: ServerId, ok: bool, load_report: Option<LoadReport>) {
        self.queue_event(Event::HealthChecked { server, ok, load_report });
    }

    /// Reports an update of the endpoint list, with the addresses of its servers.
    pub fn endpoints_updated(
        &self,
        update: EndpointUpdate,
        addresses: impl IntoIterator<Item = (ServerId, SocketAddr)>,
    ) {
        for (server, address) in addresses {
            self.command(ServerCommand::SetAddress(server, address));
        }
        let removed = self.0.state.borrow_mut().endpoints.apply(&update);
        for server in &removed {
            self.command(ServerCommand::Forget(*server));
        }
        self.send_withdrawn_servers(&update, &removed);
        self.queue_event(Event::Endpoints(update));
    }

    /// Whether the endpoint list has ever named a group. Before the first list, every group may exist.
    pub fn knows_group(&self, group: GroupId) -> bool {
        self.0.state.borrow().endpoints.knows_group(group)
    }

    /// Takes a server out of service by the operators' order (`out`), or returns it to service.
    pub fn set_out_of_service(&self, server: ServerId, out: bool) {
        if out {
            self.command(ServerCommand::CloseIdle(server));
            self.0.state.borrow_mut().endpoints.take_out_of_service(server);
            self.queue_event(Event::TakenOutOfService(server));
        } else {
            self.0.state.borrow_mut().endpoints.return_to_service(server);
            self.queue_event(Event::ReturnedToService(server));
        }
    }

    /// Sends the server side a command that does not come from the routing engine.
    pub fn command(&self, command: ServerCommand<Q>) {
        // The channel is closed only while the proxy ends.
        let _ = self.0.server_commands.send(command);
    }
}
