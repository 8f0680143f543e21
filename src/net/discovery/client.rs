//! Polls and watches the endpoint list as the routing engine commands.
//!
//! [`run`] owns the task of the current poll or watch, and at most one runs at a time, so that a late
//! response cannot undo the update of a newer one. The task reports updates to the driver. If it fails, it
//! logs the error and reports [`EndpointUpdate::Failed`]; the engine then decides when to try again.

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

/// Time after which a watch without a complete line has failed; the service sends a line every 2 s. Changes
/// count as missed 6 s after the last line. Until then there is time to connect again (after at most 0.75 s),
/// fail within 0.5 s, and connect once more (1.5 s later).
const WATCH_TIMEOUT: Duration = Duration::from_millis(2700);

/// Carries out the commands of the driver until the driver is dropped. When the address of the `service`
/// changes, the current poll or watch starts again at the new address.
pub async fn run(
    driver: PgDriver,
    mut commands: UnboundedReceiver<DiscoveryCommand>,
    mut service: watch::Receiver<SocketAddr>,
    registry: SharedEndpointRegistry,
) {
    let mut current: Option<Call> = None;
    loop {
        let command = tokio::select! {
            command = commands.recv() => match command {
                Some(command) => command,
                None => return,
            },
            Ok(()) = service.changed() => match &current {
                Some(call) => call.command,
                None => continue,
            },
        };
        // The previous call has ended, has not been answered, or is not trusted any more.
        drop(current.take());
        let kind = match command {
            DiscoveryCommand::Watch(false) => continue,
            DiscoveryCommand::Watch(true) => CallKind::Watch,
            DiscoveryCommand::Poll => CallKind::Poll,
        };
        let service = *service.borrow_and_update();
        let task = tokio::task::spawn_local(call(kind, service, driver.clone(), registry.clone()));
        current = Some(Call { command, task });
    }
}

#[derive(Debug, Clone, Copy)]
enum CallKind {
    Poll,
    Watch,
}

/// The current poll or watch. Its task is aborted when this is dropped.
struct Call {
    command: DiscoveryCommand,
    task: JoinHandle<()>,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn call(kind: CallKind, service: SocketAddr, driver: PgDriver, registry: SharedEndpointRegistry) {
    let (result, failure) = match kind {
        CallKind::Poll => (poll_list(service, &driver, &registry).await, "call failed"),
        CallKind::Watch => (watch_list(service, &driver, &registry).await, "watch ended"),
    };
    if let Err(error) = result {
        log::warn!("discovery {failure}: {error}");
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
            // An empty first line says that nothing has changed since `revision`. Later ones are heartbeats.
            None if is_first => {
                registry.borrow_mut().mark_live();
                driver.endpoints_updated(EndpointUpdate::Changes(Vec::new()), []);
            }
            None => {}
        }
        is_first = false;
    }
}

fn report(driver: &PgDriver, RegistryUpdate { update, addresses }: RegistryUpdate) {
    driver.endpoints_updated(update, addresses);
}
