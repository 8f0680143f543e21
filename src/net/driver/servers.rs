//! Reports to the driver about data servers: status, health checks, endpoint list updates and service changes
//! by operators.

use std::net::SocketAddr;
use std::time::Duration;

use super::commands::ServerCommand;
use super::Driver;
use crate::api::{EndpointUpdate, Event, GroupId, LoadReport, PeerMessage, ServerId, ServerStatus};

impl<Q, R> Driver<Q, R> {
    /// Reports the status that a server sent in the response to a health check, or with the end of a response after
    /// its attempt had already ended. `sent_at` is the time at which the health check or the attempt was sent.
    pub fn status_reported(&self, server: ServerId, status: ServerStatus, sent_at: Duration) {
        log::debug!(
            "status after a response of server {}: primary {:?}, position {:?}",
            server.0,
            status.primary,
            status.position
        );
        self.record_status(server, status);
        self.queue_event(Event::StatusReported { server, status, sent_at });
    }

    /// Records a status in the driver's view, and tells the peer process if the role in it is news. The peer must learn
    /// of it before the client gets the response: its next request may go through the peer.
    pub(super) fn record_status(&self, server: ServerId, status: ServerStatus) {
        let mut state = self.0.state.borrow_mut();
        state.endpoints.record_status(server, status);
        let (Some(is_primary), Some(peer)) = (status.primary, self.0.peer.link()) else { return };
        if state.peer_roles.is_news(server, is_primary) {
            drop(state);
            peer.send(&PeerMessage::RoleReported { server, is_primary });
        }
    }

    /// Reports the result of a health check. `ok` says whether the server passed; `load_report` is `None` if
    /// the server sent no load report.
    pub fn health_checked(&self, server: ServerId, ok: bool, load_report: Option<LoadReport>) {
        if let Some(LoadReport { position, primary, .. }) = load_report {
            let status = ServerStatus { position, primary };
            self.0.state.borrow_mut().endpoints.record_load_report(server, status);
        }
        self.queue_event(Event::HealthChecked { server, ok, load_report });
    }

    /// Reports an update of the endpoint list and the addresses of the servers in it.
    pub fn endpoints_updated(
        &self,
        update: EndpointUpdate,
        addresses: impl IntoIterator<Item = (ServerId, SocketAddr)>,
    ) {
        for (server, address) in addresses {
            self.send_command(ServerCommand::SetAddress(server, address));
        }
        let removed = self.0.state.borrow_mut().endpoints.apply(&update);
        for server in &removed {
            self.send_command(ServerCommand::RemoveServer(*server));
        }
        self.send_withdrawn_servers(&update, &removed);
        self.queue_event(Event::Endpoints(update));
    }

    /// Returns whether the endpoint list has ever contained a group. Returns true for every group until a
    /// list with a server arrives.
    pub fn knows_group(&self, group: GroupId) -> bool {
        self.0.state.borrow().endpoints.knows_group(group)
    }

    /// Takes a server out of service or returns it to service, as an operator has requested.
    pub fn set_out_of_service(&self, server: ServerId, out_of_service: bool) {
        if out_of_service {
            self.send_command(ServerCommand::CloseIdleConnections(server));
            self.0.state.borrow_mut().endpoints.take_out_of_service(server);
            self.queue_event(Event::TakenOutOfService(server));
        } else {
            self.0.state.borrow_mut().endpoints.return_to_service(server);
            self.queue_event(Event::ReturnedToService(server));
        }
    }

    /// Sends a command to the server side.
    pub fn send_command(&self, command: ServerCommand<Q>) {
        // The send fails only during process shutdown, when the receiver is dropped.
        let _ = self.0.server_commands.send(command);
    }
}
