//! Polls and watches the endpoint list on command of the routing engine.
//!
//! [`run`] owns the task of the current poll or watch. At most one such task runs at a time, so that a late
//! response of an older poll or watch cannot overwrite a newer update. The task reports updates to the
//! driver. A task that fails logs the error and reports [`EndpointUpdate::Failed`]; the routing engine then
//! decides when to retry.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::error::DiscoveryError;
use super::registry::{RegistryUpdate, SharedEndpointRegistry};
use super::response::HttpResponse;
use crate::api::EndpointUpdate;
use crate::net::driver::DiscoveryCommand;
use crate::net::server::PgDriver;

/// Time limit for the next complete line of a watch. The service sends a line every 2 s, and changes count as
/// missed 6 s after the last line. The remaining time is enough to reconnect (after at most 0.75 s), to fail
/// within 0.5 s and to reconnect again (1.5 s later).
const WATCH_TIMEOUT: Duration = Duration::from_millis(2700);

/// Carries out the driver's commands until the driver is dropped. When the address of the discovery service
/// in `service` changes, restarts the current poll or watch at the new address.
pub async fn run(
    driver: PgDriver,
    mut commands: UnboundedReceiver<DiscoveryCommand>,
    mut service: watch::Receiver<SocketAddr>,
    registry: SharedEndpointRegistry,
) {
    let mut current: Option<ActiveRequest> = None;
    loop {
        let command = tokio::select! {
            command = commands.recv() => match command {
                Some(command) => command,
                None => return,
            },
            Ok(()) = service.changed() => match &current {
                Some(request) => request.command,
                None => continue,
            },
        };
        // The previous poll or watch has ended, is unanswered, or is obsolete because of the new command or
        // the new address.
        drop(current.take());
        let kind = match command {
            DiscoveryCommand::Watch(false) => continue,
            DiscoveryCommand::Watch(true) => RequestKind::Watch,
            DiscoveryCommand::Poll => RequestKind::Poll,
        };
        let service = *service.borrow_and_update();
        let task = tokio::task::spawn_local(fetch(kind, service, driver.clone(), registry.clone()));
        current = Some(ActiveRequest { command, task });
    }
}

/// Kind of a request to the discovery service.
#[derive(Debug, Clone, Copy)]
enum RequestKind {
    Poll,
    Watch,
}

/// The current poll or watch. Dropping it aborts its task.
struct ActiveRequest {
    command: DiscoveryCommand,
    task: JoinHandle<()>,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Polls or watches the list. Logs a failure and reports it to the driver.
async fn fetch(kind: RequestKind, service: SocketAddr, driver: PgDriver, registry: SharedEndpointRegistry) {
    let (result, event) = match kind {
        RequestKind::Poll => (poll_list(service, &driver, &registry).await, "poll failed"),
        RequestKind::Watch => (watch_list(service, &driver, &registry).await, "watch failed"),
    };
    if let Err(error) = result {
        log::warn!("discovery {event}: {error}");
        driver.endpoints_updated(EndpointUpdate::Failed, []);
    }
}

/// Polls the complete list once.
async fn poll_list(
    service: SocketAddr,
    driver: &PgDriver,
    registry: &SharedEndpointRegistry,
) -> Result<(), DiscoveryError> {
    let response = HttpResponse::get(service, "/v1/endpoints").await?;
    let list = response.into_list().await?;
    let update = registry.borrow_mut().apply(list)?;
    report(driver, update);
    Ok(())
}

/// Watches the list until the watch fails.
async fn watch_list(
    service: SocketAddr,
    driver: &PgDriver,
    registry: &SharedEndpointRegistry,
) -> Result<(), DiscoveryError> {
    let revision = registry.borrow().revision();
    log::debug!("endpoint list watch started: from_revision={revision}");
    let path = format!("/v1/endpoints?watch=1&from={revision}");
    let mut response = HttpResponse::get(service, &path).await?;
    let mut is_first = true;
    loop {
        let list = response.next_list().await?;
        response.extend_deadline(WATCH_TIMEOUT);
        match list {
            Some(list) => {
                let update = registry.borrow_mut().apply(list)?;
                report(driver, update);
            }
            // An empty first line means that the list has not changed since `revision`. Later empty lines are
            // heartbeats.
            None if is_first => {
                registry.borrow_mut().mark_confirmed();
                driver.endpoints_updated(EndpointUpdate::Changes(Vec::new()), []);
            }
            None => {}
        }
        is_first = false;
    }
}

/// Reports an update of the list to the driver.
fn report(driver: &PgDriver, RegistryUpdate { update, addresses }: RegistryUpdate) {
    driver.endpoints_updated(update, addresses);
}
