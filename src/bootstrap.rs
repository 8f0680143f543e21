//! Starts a proxy process, runs it until a signal ends it, and shuts it down.
//!
//! The startup order is: reserve resources, take over the predecessor's listener or open a new one, create
//! the components, spawn the tasks. The order matters: the cached endpoint list is applied before any task
//! runs, and clients are accepted last.
//!
//! All tasks run on one [`LocalSet`], which owns them: a task that is still running when [`run`] returns is
//! dropped with the set. Most tasks run as long as the process, with these exceptions:
//!
//! - The tasks that receive clients from a predecessor or wait for its exit, and the task that waits for
//!   discovery, end when their work is done.
//! - The client task ends when a graceful shutdown has closed the listener. The client task then stops the
//!   handover task, unless a successor accepts from the same accept queue.
//!
//! No task returns an error: each task logs its errors and continues. A panic ends only the task in which it
//! occurs.

use std::io;
use std::time::Duration;

use log::LevelFilter;
use pipittack::api::SettingsError;
use pipittack::net::buffers::BufferPool;
use pipittack::net::client::ClientService;
use pipittack::net::discovery;
use pipittack::net::driver::{Clock, DriverParts};
use pipittack::net::hot_restart::frame::Hello;
use pipittack::net::server::{self, PgDriver, ServerOptions};
use pipittack::settings::{Config, ConfigError, LoadedConfig};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::Instant;

use crate::cli::ServeOptions;
use crate::components::{client_options, ClientTaskOptions, Components};
use crate::config_files::LoadError;
use crate::listeners::{ListenError, Listeners, StateFiles};
use crate::logger;
use crate::memory_budget::{self, MemoryBudget};
use crate::reload::Reloader;
use crate::signals::{SignalRequest, Signals};
use crate::socket_budget::{SocketBudget, SocketBudgetError};

/// Longest time after the process start to wait for an update from discovery. After it, the process reports
/// ready or takes over from its predecessor with the endpoint list that it has.
const MAX_DISCOVERY_WAIT: Duration = Duration::from_millis(4500);

/// Reason why a proxy process could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The asynchronous runtime cannot be created.
    #[error("cannot create the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The configuration file or the operators' file cannot be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// A value in the configuration file is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The process cannot get enough file descriptors.
    #[error(transparent)]
    Sockets(#[from] SocketBudgetError),
    /// A listener cannot be opened or used.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The routing engine rejects the settings.
    #[error("invalid settings: {0}")]
    Settings(#[from] SettingsError),
}

/// Runs the proxy until a signal has shut it down.
///
/// # Errors
///
/// Returns an error if the process cannot start.
pub fn run(options: &ServeOptions, log_level: LevelFilter) -> Result<(), StartError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartError::Runtime)?;
    let result = LocalSet::new().block_on(&runtime, async {
        // The handlers are installed first: a signal that arrives while the configuration is read must not
        // terminate the process.
        let signals = Signals::install().map_err(StartError::Signals)?;
        let loaded = options.files.load()?;
        logger::install(&loaded.config.name, log_level);
        serve(options, loaded, signals).await
    });
    log::logger().flush();
    result
}

async fn serve(options: &ServeOptions, loaded: LoadedConfig, mut signals: Signals) -> Result<(), StartError> {
    let mut reloader = start(options, loaded).await?;
    while signals.next().await == SignalRequest::Reload {
        if let Err(error) = reloader.reload() {
            log::warn!("{error}");
        }
    }
    shut_down(&reloader.clients, &reloader.driver).await;
    Ok(())
}

async fn shut_down(clients: &ClientService, driver: &PgDriver) {
    log::info!("graceful shutdown started, {} requests in flight", driver.requests_in_flight());
    clients.shut_down().await;
    driver.close_peer_link();
    match driver.requests_in_flight() {
        0 => {}
        in_flight => log::warn!("graceful shutdown ended with {in_flight} requests in flight"),
    }
}

/// Starts all components and tasks. Returns the reloader, which also holds the handles that a shutdown needs.
async fn start(options: &ServeOptions, loaded: LoadedConfig) -> Result<Reloader<'_>, StartError> {
    let LoadedConfig { mut config, settings, connections } = loaded;
    let resources = Resources::reserve(&config)?;
    let state_files = StateFiles::new(options.state_dir.as_deref(), &config);
    let hello = Hello::new(&config.name).with_request_ids().with_roles();
    let mut listeners = Listeners::open(&config, options.admin_address, &state_files, &hello).await?;

    let server_options = ServerOptions::new(
        &settings,
        connections.server_idle_timeout,
        resources.sockets.max_server_sockets(),
    );
    let client_options = client_options(&settings, &connections.names, &resources);
    let DriverParts { driver, server_commands, discovery_commands } =
        DriverParts::new(settings, resources.seed, resources.clock)?;
    driver.limit_tables(resources.memory.ids, resources.memory.session_tokens);
    let components = Components::new(driver, connections.names, client_options, &resources, &state_files);
    components.admin.reload_out_of_service_list();
    // The predecessor's endpoint list comes from discovery; the list in the configuration is older.
    let cached_endpoints = listeners.startup.take_endpoint_list().or(config.cached_endpoints.take());
    components.apply_cached_endpoints(cached_endpoints);

    let driver = components.driver.clone();
    spawn_local(server::run(driver.clone(), server_commands, server_options, resources.buffers.clone()));
    let (discovery_address, address_updates) = watch::channel(config.discovery);
    let registry = components.registry.clone();
    spawn_local(discovery::run(driver.clone(), discovery_commands, address_updates, registry));
    driver.step();
    components.spawn_admin_tasks(listeners.admin, resources.buffers.clone())?;
    spawn_local(async move { driver.run().await });
    components.spawn_client_tasks(ClientTaskOptions {
        listener: listeners.clients,
        address: listeners.clients_address,
        startup: listeners.startup,
        handover_path: state_files.handover_socket(),
        hello,
        buffers: resources.buffers,
        ready_by: resources.started_at + MAX_DISCOVERY_WAIT,
    })?;
    let Components { driver, registry, clients, .. } = components;
    Ok(Reloader { files: &options.files, current: config, discovery_address, clients, driver, registry })
}

/// Resources that a process reserves before it opens a listener.
pub struct Resources {
    pub clock: Clock,
    /// Time at which the process started.
    pub started_at: Instant,
    pub buffers: BufferPool,
    /// Seed of the routing engine's random number generator.
    pub seed: u64,
    pub sockets: SocketBudget,
    pub memory: MemoryBudget,
}

impl Resources {
    fn reserve(config: &Config) -> Result<Self, StartError> {
        let clock = Clock::start();
        let started_at = Instant::now();
        let seed = config.seed()?;
        let sockets = SocketBudget::acquire(config.limits.sockets)?;
        memory_budget::warn_of_low_limit(config.limits.memory_mb);
        let memory = MemoryBudget::new(config.limits.memory_mb, sockets);
        log::info!("memory budget: {memory}");
        let buffers = BufferPool::new(memory.pool);
        Ok(Self { clock, started_at, buffers, seed, sockets, memory })
    }
}
