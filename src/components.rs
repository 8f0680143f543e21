//! The proxy's components, and the tasks around them: the admin API, hot restart and client intake.
//!
//! [`crate::bootstrap`] says who owns the tasks and when each ends.

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
use pipittack::net::server::PgDriver;
use pipittack::settings::NameTable;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{timeout_at, Instant};

use crate::bootstrap::Resources;
use crate::listeners::{ListenError, Origin, StateFiles};
use crate::socket_budget::SocketBudget;

/// Handles to the components of one process.
pub struct Components {
    pub driver: PgDriver,
    pub registry: SharedEndpointRegistry,
    pub clients: ClientService,
    pub admin: Rc<AdminApi>,
}

/// What the tasks that serve clients start with.
pub struct ClientTasks {
    pub listener: TcpListener,
    pub address: SocketAddr,
    pub origin: Origin,
    /// Where to wait for a successor, if anywhere.
    pub handover_path: Option<PathBuf>,
    pub hello: Hello,
    pub buffers: BufferPool,
    /// When the process is ready even without an update from discovery.
    pub ready_by: Instant,
}

/// The client side's options under these settings and this budget.
pub fn client_options(settings: &Settings, names: &NameTable, sockets: SocketBudget) -> ClientOptions {
    ClientOptions {
        max_clients: sockets.max_clients(),
        usual_clients: sockets.usual_clients(),
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
    /// Creates the components around an engine driver, without any task.
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
        });
        Self { driver, registry, clients, admin }
    }

    /// Has the engine start with an endpoint list from before this process.
    pub fn apply_cached_endpoints(&self, list: Option<EndpointList>) {
        let Some(list) = list else { return };
        let applied = self.registry.borrow_mut().apply_cached(list);
        self.driver.endpoints_updated(applied.update, applied.addresses);
    }

    /// Spawns the task that follows the out-of-service list and, with a listener, the admin API.
    ///
    /// # Errors
    ///
    /// Where the listener has no address.
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

    /// Spawns the handover task, if there is a path for it, and then the client task.
    ///
    /// # Errors
    ///
    /// Where the listener cannot be duplicated for a successor.
    pub fn spawn_client_tasks(&self, start: ClientTasks) -> Result<(), ListenError> {
        let shared = Rc::new(SharedResources {
            clients: self.clients.clone(),
            driver: self.driver.clone(),
            pool: start.buffers,
            registry: self.registry.clone(),
        });
        let handover_task = match start.handover_path {
            Some(path) => Some(spawn_handover_task(path, start.hello, &start.listener, shared.clone())?),
            None => None,
        };
        let clients = self.clients.clone();
        let intake = ClientIntake { admin: self.admin.clone(), shared, ready_by: start.ready_by };
        spawn_local(async move {
            intake.begin(start.origin).await;
            log::info!("serving at {}", start.address);
            clients.run(start.listener, handover_task).await;
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

/// What happens before the first client is accepted.
struct ClientIntake {
    admin: Rc<AdminApi>,
    shared: Rc<SharedResources>,
    ready_by: Instant,
}

impl ClientIntake {
    async fn begin(self, origin: Origin) {
        match origin {
            Origin::Successor(predecessor) => self.take_over(predecessor).await,
            Origin::Parallel(stream) => {
                let shared = self.shared.clone();
                spawn_local(async move { shared.serve_until_predecessor_exits(stream).await });
                self.spawn_readiness_task();
            }
            Origin::Fresh => self.spawn_readiness_task(),
        }
    }

    /// Leaves the predecessor to serve until this process can do so itself.
    async fn take_over(self, mut predecessor: Predecessor) {
        let Self { admin, shared, ready_by } = self;
        predecessor.connect_peer(&shared);
        let _ = timeout_at(ready_by, admin.wait_for_endpoints()).await;
        predecessor.take_over(&shared).await;
        admin.ready.set(true);
        spawn_local(async move { predecessor.receive_clients(&shared).await });
    }

    fn spawn_readiness_task(self) {
        spawn_local(async move {
            let _ = timeout_at(self.ready_by, self.admin.wait_for_endpoints()).await;
            self.admin.ready.set(true);
        });
    }
}
