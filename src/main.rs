//! The proxy's program: its command line, its runtime, and its signals.
//!
//! Owns the start and the end of a run, and how the sockets that a process may hold are shared out. It must
//! never take part in serving.

mod logger;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use clap::{Parser, Subcommand};
use log::LevelFilter;
use pipittack::api::{ClassId, Settings};
use pipittack::net::admin::{self, AdminApi, OutOfServiceList};
use pipittack::net::buffers::BufferPool;
use pipittack::net::client::{self, ClientService};
use pipittack::net::discovery::{self, EndpointRegistry, RegistryUpdate, SharedEndpointRegistry};
use pipittack::net::driver::{Clock, DriverParts, ServerCommand};
use pipittack::net::hot_restart::frame::{self, Hello, PredecessorStatus};
use pipittack::net::hot_restart::handover::{self, SharedResources};
use pipittack::net::server::{self, PgDriver};
use pipittack::operator_settings::OperatorSettings;
use pipittack::settings::{Config, ConfigError, ConnectionSettings, MIN_SOCKETS};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{timeout_at, Instant};

/// Descriptors for all that is neither a client nor a data server: standard streams, the listener, discovery,
/// the runtime's own, and clients that are turned away.
const RESERVE: usize = 28;
/// Part of the rest that is for clients, and that which they may have where they come in crowds; what they don't
/// have is for data servers.
const CLIENT_SHARE: (f64, f64) = (0.55, 0.86);
/// Time after its start at which a process is ready without news of discovery.
const LISTED_WITHIN: Duration = Duration::from_millis(4500);
/// Part of the memory that is for bytes on their way; the rest is for the program and all it keeps.
const BUFFER_SHARE: f64 = 0.7;

#[derive(Parser)]
#[command(name = "pipittack", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the proxy
    Serve {
        #[command(flatten)]
        file: ConfigFile,
        /// Where the operators' calls are answered, in place of `ops` in the configuration
        #[arg(long, env = "GW_OPS", value_name = "ADDRESS")]
        ops: Option<SocketAddr>,
        /// The folder for what a successor of this process must know; without it, nothing is kept
        #[arg(long, env = "TMPDIR", value_name = "DIR")]
        state_dir: Option<PathBuf>,
        /// The least important lines to log
        #[arg(long, env = "GW_LOG", default_value_t = LevelFilter::Info)]
        log_level: LevelFilter,
    },
    /// Read a configuration, say whether it can be served, and stop
    CheckConfig {
        #[command(flatten)]
        file: ConfigFile,
    },
    /// Print the version
    Version,
}

#[derive(clap::Args)]
struct ConfigFile {
    /// The configuration file
    #[arg(long = "config", env = "GW_CONFIG", value_name = "FILE")]
    path: PathBuf,
    /// The operators' own settings, as S-expressions; without it, the usual ones
    #[arg(long, env = "GW_OPERATORS", value_name = "FILE")]
    operators: Option<PathBuf>,
}

impl ConfigFile {
    fn read(&self) -> Result<(Config, Settings, ConnectionSettings), String> {
        self.read_by(Config::read)
    }

    /// Reads both files; what is wrong in either is told, and then nothing of them counts.
    fn read_by(
        &self,
        read: impl FnOnce(&str) -> Result<(Config, Settings, ConnectionSettings), ConfigError>,
    ) -> Result<(Config, Settings, ConnectionSettings), String> {
        let fault = |e: &dyn std::fmt::Display| format!("{}: {e}", self.path.display());
        let text = std::fs::read_to_string(&self.path).map_err(|e| fault(&e));
        let config = text.and_then(|text| read(&text).map_err(|e| fault(&e)));
        match (config, OperatorSettings::load(self.operators.as_deref())) {
            (Ok((config, settings, env)), Ok(OperatorSettings { failover })) => {
                Ok((config, Settings { failover, ..settings }, env))
            }
            (Err(fault), Ok(_)) | (Ok(_), Err(fault)) => Err(fault),
            (Err(fault), Err(other)) => Err(format!("{fault}\n{other}")),
        }
    }
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Version => {
            println!("pipittack {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig { file } => file.read().map(|(config, settings, _)| {
            println!("{}: {} classes, listens at {}", config.name, settings.classes.len(), config.listen);
        }),
        Command::Serve { file, ops, state_dir, log_level } => {
            start(&Start { file, ops, state_dir }, log_level)
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("pipittack: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// What a run starts with.
struct Start {
    file: ConfigFile,
    ops: Option<SocketAddr>,
    state_dir: Option<PathBuf>,
}

fn start(start: &Start, log_level: LevelFilter) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    let done = LocalSet::new().block_on(&runtime, async {
        // A signal that comes while the configuration is read waits for the process, and does not end it.
        let signals = Signals::listen()?;
        let config = start.file.read()?;
        logger::install(&config.0.name, log_level);
        serve(start, config, signals).await
    });
    log::logger().flush();
    done
}

/// The signals that a process goes by.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn listen() -> Result<Self, String> {
        let on = |kind| signal(kind).map_err(|e| format!("no signals: {e}"));
        Ok(Self {
            terminate: on(SignalKind::terminate())?,
            interrupt: on(SignalKind::interrupt())?,
            hangup: on(SignalKind::hangup())?,
        })
    }
}

async fn serve(
    start: &Start,
    (mut config, settings, env): (Config, Settings, ConnectionSettings),
    mut signals: Signals,
) -> Result<(), String> {
    let (clock, born) = (Clock::start(), Instant::now());
    let pool = BufferPool::new((config.limits.memory_mb as f64 * 1e6 * BUFFER_SHARE) as usize);
    let seed = config.seed().map_err(|e| e.to_string())?;
    let sockets = sockets(config.limits.sockets)?;
    let part = |share: f64| (sockets as f64 * share) as usize;

    // Other proxies may have the same folder: what is kept there goes by this one's name and address.
    let kept = |ending: &str| {
        let name = format!("pipittack-{}-{}.{ending}", config.name, config.listen);
        start.state_dir.as_ref().map(|dir| dir.join(name))
    };
    let (path, greeting) = (kept("2.sock"), Hello::new(&config.name));
    let before = match (&path, kept("sock")) {
        (Some(path), Some(early)) => frame::inherit(path, &early, &greeting).await,
        _ => PredecessorStatus::NotRunning,
    };
    let listen =
        || client::listen(config.listen).map_err(|e| format!("can't listen at {}: {e}", config.listen));
    let (listener, mut heritage, deaf) = match before {
        PredecessorStatus::HandsOver(listener, heritage) => (listener, Some(heritage), None),
        PredecessorStatus::Unresponsive(stream) => (listen()?, None, Some(stream)),
        PredecessorStatus::NotRunning => (listen()?, None, None),
    };
    let ops = match start.ops.or(config.ops) {
        Some(at) => Some(admin::listen(at).await.map_err(|e| format!("can't listen at {at}: {e}"))?),
        None => None,
    };
    let address = listener.local_addr().map_err(|e| format!("can't listen: {e}"))?;

    let to_servers =
        server::ServerOptions::new(&settings, env.server_idle_timeout, sockets - part(CLIENT_SHARE.0));
    let to_clients = client::ClientOptions {
        max_clients: part(CLIENT_SHARE.1),
        usual_clients: part(CLIENT_SHARE.0),
        sockets,
        classes: env
            .names
            .classes()
            .iter()
            .cloned()
            .zip(settings.classes.iter().cloned().enumerate())
            .map(|(name, (i, class))| (name, client::NamedClass { id: ClassId(i), class }))
            .collect(),
    };
    let DriverParts { driver, server_commands, discovery_commands } =
        DriverParts::new(settings, seed, clock).map_err(|e| format!("settings: {e}"))?;
    let registry = Rc::new(RefCell::new(EndpointRegistry::new(env.names, clock)));
    let clients = ClientService::new(driver.clone(), to_clients, pool.clone());
    let control = Rc::new(AdminApi {
        driver: driver.clone(),
        registry: registry.clone(),
        clients: clients.clone(),
        out_of_service: OutOfServiceList::new(kept("json")),
        ready: Cell::new(false),
    });
    control.sync_file();
    // The process before this one has it from the service, the configuration only as of some earlier time.
    let handed = heritage.as_mut().and_then(|heritage| heritage.state.as_mut()?.endpoint_list.take());
    if let Some(known) = handed.or(config.known.take()) {
        let RegistryUpdate { update, addresses } = registry.borrow_mut().apply_cached(known);
        driver.endpoints_updated(update, addresses);
    }
    spawn_local(server::run(driver.clone(), server_commands, to_servers, pool.clone()));
    let (moved, service) = watch::channel(config.discovery);
    spawn_local(discovery::run(driver.clone(), discovery_commands, service, registry.clone()));
    driver.step();
    let followed = control.clone();
    spawn_local(async move { followed.follow_file().await });
    if let Some(listener) = ops {
        let at = listener.local_addr().map_err(|e| format!("can't listen: {e}"))?;
        log::info!("calls are answered at {at}");
        spawn_local(admin::run(listener, control.clone(), pool.clone()));
    }
    let stepping = driver.clone();
    spawn_local(async move { stepping.run().await });
    let shares = SharedResources {
        clients: clients.clone(),
        driver: driver.clone(),
        pool,
        registry: registry.clone(),
    };
    let shares = Rc::new(shares);
    let holds = match path {
        Some(path) => {
            let listener = listener.as_fd().try_clone_to_owned().map_err(|e| format!("can't listen: {e}"))?;
            Some(spawn_local(handover::run(path, greeting, listener, shares.clone())))
        }
        None => None,
    };
    let (door, opened) = (clients.clone(), control.clone());
    spawn_local(async move {
        let listed_by = born + LISTED_WITHIN;
        // A successor lets the other process serve until it can do so itself.
        if let Some(mut heritage) = heritage {
            heritage.connect_peer(&shares);
            let _ = timeout_at(listed_by, opened.wait_for_endpoints()).await;
            heritage.take_over(&shares).await;
            opened.ready.set(true);
            spawn_local(async move { heritage.receive_clients(&shares).await });
        } else {
            if let Some(stream) = deaf {
                let shares = shares.clone();
                spawn_local(async move { shares.serve_until_gone(stream).await });
            }
            spawn_local(async move {
                let _ = timeout_at(listed_by, opened.wait_for_endpoints()).await;
                opened.ready.set(true);
            });
        }
        log::info!("serving at {address}");
        door.run(listener, holds).await;
    });

    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => match start.file.read_by(|text| config.read_replacement(text)) {
                Ok((new, settings, env)) => {
                    let place = if new.discovery == config.discovery { "still at" } else { "now at" };
                    log::info!(
                        "configuration read again: {} classes, {} attempts; discovery is {place} {}",
                        settings.classes.len(),
                        settings.limits.max_attempts,
                        new.discovery
                    );
                    config = new;
                    moved.send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
                    retune((settings, env), &clients, &driver, &registry);
                }
                Err(fault) => log::warn!("configuration kept as it was: {fault}"),
            },
        }
    }
    log::info!("told to end; {} requests open", driver.requests_in_flight());
    clients.shut_down().await;
    driver.close_peer();
    match driver.requests_in_flight() {
        0 => {}
        open => log::warn!("ended with {open} requests open"),
    }
    Ok(())
}

/// Has all parts go by new settings. What the process listens at and its limits are for the next start.
fn retune(
    (mut settings, env): (Settings, ConnectionSettings),
    clients: &ClientService,
    driver: &PgDriver,
    registry: &SharedEndpointRegistry,
) {
    // The list's zones keep the numbers that they have.
    settings.zone = registry.borrow_mut().zone(env.names.zone_name(settings.zone).unwrap_or_default());
    driver.command(ServerCommand::Reconfigure(Box::new(settings.clone()), env.server_idle_timeout));
    clients.reconfigure(settings, env.names.classes());
}

/// The sockets that are for clients and data servers: what the configuration grants, as far as the system
/// does as well, less a reserve. Guards against running out of descriptors on the way to a data server.
fn sockets(granted: usize) -> Result<usize, String> {
    let got = rlimit::increase_nofile_limit(granted as u64).map_err(|e| format!("no descriptors: {e}"))?;
    let sockets = granted.min(usize::try_from(got).unwrap_or(granted));
    if sockets < MIN_SOCKETS {
        return Err(format!("the system grants {sockets} descriptors, and {MIN_SOCKETS} are needed"));
    }
    Ok(sockets - RESERVE)
}
