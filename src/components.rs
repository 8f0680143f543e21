//! The components of a proxy process, and the tasks for the admin API, hot restart and clients.
//!
//! [`crate::bootstrap`] describes which tasks there are, and when each of them ends.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::path::PathBuf;
use std::rc::Rc;

use pipittack::api::{ClassId, Settings};
use pipittack::endpoint_list::EndpointList;
use pipittack::net::admin::{self, AdminApi, OutOfServiceList};
use pipittack::net::buffers::BufferPool;
use pipittack::net::client::{ClientOptions, ClientService, ConfiguredClass};
use pipittack::net::discovery::{EndpointRegistry, SharedEndpointRegistry};
use pipittack::net::hot_restart::frame::{Hello, Predecessor};
use pipittack::net::hot_restart::handover::{self, SharedResources};
use pipittack::net::log_limit::LogLimit;
use pipittack::net::server::PgDriver;
use pipittack::settings::NameTable;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{timeout_at, Instant};

use crate::bootstrap::Resources;
use crate::listeners::{ListenError, Startup, StateFiles};

/// Handles to the components of a proxy process.
pub struct Components {
    pub driver: PgDriver,
    pub registry: SharedEndpointRegistry,
    pub clients: ClientService,
    pub admin: Rc<AdminApi>,
}

/// Options of the tasks that serve clients.
pub struct ClientTaskOptions {
    /// Listener for clients.
    pub listener: TcpListener,
    /// Address of the listener, for the log.
    pub address: SocketAddr,
    pub startup: Startup,
    /// Path of the Unix socket on which to wait for a successor; `None` disables hot restart.
    pub handover_path: Option<PathBuf>,
    pub hello: Hello,
    pub buffers: BufferPool,
    /// Time at which the process stops waiting for an update from discovery.
    pub ready_by: Instant,
}

/// Returns the options of the client service for the given settings and resources.
pub fn client_options(settings: &Settings, names: &NameTable, resources: &Resources) -> ClientOptions {
    let Resources { sockets, memory, .. } = resources;
    ClientOptions {
        max_clients: memory.max_clients,
        reserved_clients: sockets.reserved_clients().min(memory.max_clients),
        sockets: sockets.total(),
        classes: classes_by_name(settings, names),
    }
}

fn classes_by_name(settings: &Settings, names: &NameTable) -> HashMap<String, ConfiguredClass> {
    let classes = settings.classes.iter().cloned().enumerate();
    let classes = classes.map(|(index, class)| ConfiguredClass { id: ClassId(index), class });
    names.classes().iter().cloned().zip(classes).collect()
}

impl Components {
    /// Creates the components for an engine driver. Spawns no task.
    pub fn new(
        driver: PgDriver,
        names: NameTable,
        client_options: ClientOptions,
        resources: &Resources,
        state_files: &StateFiles,
    ) -> Self {
        let registry = Rc::new(RefCell::new(EndpointRegistry::new(names, resources.clock)));
        let clients = ClientService::new(driver.clone(), client_options, resources.buffers.clone());
        let admin = Rc::new(AdminApi {
            driver: driver.clone(),
            registry: registry.clone(),
            clients: clients.clone(),
            out_of_service: OutOfServiceList::new(state_files.out_of_service_list()),
            ready: Cell::new(false),
            reload_errors: LogLimit::default(),
        });
        Self { driver, registry, clients, admin }
    }

    /// Passes the cached endpoint list, which an earlier process received, to the routing engine.
    pub fn apply_cached_endpoints(&self, list: Option<EndpointList>) {
        let Some(list) = list else { return };
        let applied = self.registry.borrow_mut().apply_cached(list);
        self.driver.endpoints_updated(applied.update, applied.addresses);
    }

    /// Spawns the task that watches the out-of-service list. If there is a listener, also spawns the task of
    /// the admin API.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener's address cannot be read.
    pub fn spawn_admin_tasks(
        &self,
        listener: Option<TcpListener>,
        buffers: BufferPool,
    ) -> Result<(), ListenError> {
        let admin = self.admin.clone();
        spawn_local(async move { admin.watch_out_of_service_list().await });
        if let Some(listener) = listener {
            let address = listener.local_addr().map_err(ListenError::Unusable)?;
            log::info!("admin API listening at {address}");
            spawn_local(admin::run(listener, self.admin.clone(), buffers));
        }
        Ok(())
    }

    /// Spawns the handover task, if hot restart is enabled, and then the client task.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be duplicated for a successor.
    pub fn spawn_client_tasks(&self, options: ClientTaskOptions) -> Result<(), ListenError> {
        let shared = Rc::new(SharedResources {
            clients: self.clients.clone(),
            driver: self.driver.clone(),
            pool: options.buffers,
            registry: self.registry.clone(),
        });
        let handover_task = match options.handover_path {
            Some(path) => Some(spawn_handover_task(path, options.hello, &options.listener, shared.clone())?),
            None => None,
        };
        let clients = self.clients.clone();
        let sequence = StartupSequence { admin: self.admin.clone(), shared, ready_by: options.ready_by };
        spawn_local(async move {
            sequence.run(options.startup).await;
            log::info!("serving at {}", options.address);
            clients.run(options.listener, handover_task).await;
        });
        Ok(())
    }
}

fn spawn_handover_task(
    path: PathBuf,
    hello: Hello,
    listener: &TcpListener,
    shared: Rc<SharedResources>,
) -> Result<JoinHandle<()>, ListenError> {
    let listener = listener.as_fd().try_clone_to_owned().map_err(ListenError::Unusable)?;
    Ok(spawn_local(handover::run(path, hello, listener, shared)))
}

/// Steps of a start before the first client is accepted.
struct StartupSequence {
    admin: Rc<AdminApi>,
    shared: Rc<SharedResources>,
    /// Time at which the process stops waiting for an update from discovery.
    ready_by: Instant,
}

impl StartupSequence {
    async fn run(self, startup: Startup) {
        match startup {
            Startup::Handover(predecessor) => self.take_over(predecessor).await,
            Startup::Parallel(stream) => {
                let shared = self.shared.clone();
                spawn_local(async move { shared.serve_until_predecessor_exits(stream).await });
                self.spawn_readiness_task();
            }
            Startup::Fresh => self.spawn_readiness_task(),
        }
    }

    /// Waits for an update from discovery while the predecessor still serves, until `ready_by` at the latest.
    /// Then takes over from the predecessor. Takes over at once if the predecessor ends before: its clients connect
    /// to the listener that this process has received, and nobody else accepts them.
    async fn take_over(self, mut predecessor: Predecessor) {
        predecessor.connect_peer(&self.shared);
        let predecessor_serves = tokio::select! {
            _ = timeout_at(self.ready_by, self.admin.wait_for_endpoints()) => true,
            () = predecessor.wait_until_ended() => false,
        };
        predecessor.take_over(&self.shared).await;
        let shared = self.shared.clone();
        spawn_local(async move { predecessor.receive_clients(&shared).await });
        if predecessor_serves {
            self.admin.ready.set(true);
        } else {
            log::warn!("the predecessor ended before the first list of data servers arrived");
            self.spawn_readiness_task();
        }
    }

    /// Spawns a task that reports the process ready after an update from discovery, or at `ready_by`.
    fn spawn_readiness_task(self) {
        spawn_local(async move {
            let _ = timeout_at(self.ready_by, self.admin.wait_for_endpoints()).await;
            self.admin.ready.set(true);
        });
    }
}
