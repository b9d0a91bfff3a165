//! Startup and shutdown of the daemon.

use std::{
    cell::RefCell,
    fmt, io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use agree::{Node, Options, StartError};
use base::{
    Exit, HostName, http,
    meter::Meter,
    signals::{SIGINT, SIGTERM, Signals, limit_stop},
};
use compio::{
    net::TcpListener,
    runtime::{JoinHandle, spawn},
    time::sleep,
};
use futures_util::future::{Either, select};

use crate::{
    admin::{self, Admin},
    console, gate,
    host::{Host, Identity},
    leader,
    log::Log,
    machine::State,
    settings::{Operator, Settings},
    upstream::{Databases, Postgres},
};

/// A host that has not heard from a leader with a majority for this long is not ready.
const READY_MAX_AGE: Duration = Duration::from_secs(3);
/// Time limit for pending changes to finish when the host stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest duration of a stop. A host whose event loop is blocked is ended after it.
pub const STOP_LIMIT: Duration = Duration::from_secs(15);
/// Interval at which a stopping host checks for pending changes, and a running host checks for a
/// failure of the log.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error that prevents the daemon from starting.
#[derive(Debug)]
pub enum RunError {
    /// The log can't be opened.
    Log(StartError),
    /// An address can't be bound.
    Bind(&'static str, SocketAddr, io::Error),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Log(cause) => cause.fmt(f),
            Self::Bind(key, address, cause) => write!(
                f,
                "{key} = {address} can't be bound: {cause}; stop the process that uses it or \
                 change {key}"
            ),
        }
    }
}

impl std::error::Error for RunError {}

/// Runs the daemon until `stop` completes.
///
/// # Errors
/// The daemon can't start.
pub async fn run(
    settings: Settings,
    logger: slog::Logger,
    stop: impl Future<Output = ()>,
) -> Result<Exit, RunError> {
    let databases = Rc::new(Postgres {
        host: settings.host,
    });
    let running = RunningHost::start(&settings, databases, None, logger.clone()).await?;
    let http = bind("http", settings.http).await?;
    let host = Rc::clone(&running.host);
    let meter = Meter::of_host(settings.memory_mb, settings.descriptors);
    let limits = http::Limits {
        clients: meter.limits.databases,
        meter: Some(meter),
        ..http::Limits::default()
    };
    let operators = settings.admin.operators;
    let web = spawn(serve_http(Rc::clone(&host), http, operators, limits));
    slog::info!(logger, "control host started"; "address" => %settings.address,
        "http" => %settings.http);

    match select(Box::pin(stop), Box::pin(running.failure())).await {
        Either::Left(((), _)) => {}
        Either::Right((cause, _)) => {
            slog::error!(logger, "the replicated log failed"; "cause" => cause);
            return Ok(Exit::Failed);
        }
    }
    running.stop().await;
    drop(web);
    Ok(Exit::Done)
}

async fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| RunError::Bind(key, address, cause))
}

/// A running control host and its tasks.
#[derive(Debug)]
pub struct RunningHost {
    /// The host.
    pub host: Rc<Host<Rc<Node<State>>>>,
    tasks: Vec<JoinHandle<()>>,
    leader_task: JoinHandle<()>,
}

impl RunningHost {
    /// Opens the data directory and starts the tasks of the host. If a new host at another address may
    /// replace a control host, `seat_index` is the log index from which on this one holds its seat.
    ///
    /// # Errors
    /// The log can't be opened, or the RPC address can't be bound.
    pub async fn start(
        settings: &Settings,
        databases: Rc<dyn Databases>,
        seat_index: Option<u64>,
        logger: slog::Logger,
    ) -> Result<Self, RunError> {
        let state = Rc::new(RefCell::new(State::default()));
        let peers: Vec<(HostName, SocketAddr)> = settings
            .peers
            .iter()
            .map(|peer| (peer.name.clone(), peer.address))
            .collect();
        let rpc = bind("address", settings.address).await?;
        let start = Instant::now();
        let options = Options {
            name: settings.name.clone(),
            peers: peers.clone(),
            source_ip: settings.host,
            data_dir: settings.data.clone(),
            logger: logger.clone(),
        };
        let node = Node::start(options, Rc::clone(&state)).map_err(RunError::Log)?;
        let identity = Identity {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            host: settings.host,
            peers,
            allow_replacement: seat_index.is_some(),
            seat_index: seat_index.unwrap_or_default(),
            rates: settings.rates,
        };
        let host = Host::new(start, identity, node, databases, state, logger);
        let tasks = vec![
            spawn(gate::serve(Rc::clone(&host), rpc)),
            spawn(leader::report_applied(Rc::clone(&host))),
            spawn(leader::expire_tables(Rc::clone(&host))),
            spawn(leader::relay_announcements(Rc::clone(&host))),
        ];
        let leader_task = spawn(leader::run(Rc::clone(&host)));
        Ok(Self {
            host,
            tasks,
            leader_task,
        })
    }

    /// Waits until the log fails, and returns the cause.
    pub async fn failure(&self) -> String {
        loop {
            if let Some(cause) = self.host.log.failure() {
                return cause;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits for pending changes, transfers the leadership and stops.
    pub async fn stop(self) {
        let logger = &self.host.logger;
        slog::info!(logger, "stopping");
        self.host.stopping.set(true);
        let since = Instant::now();
        while self.host.pending_changes.get() > 0 && since.elapsed() < SHUTDOWN_TIMEOUT {
            sleep(POLL_INTERVAL).await;
        }
        // Leave time to write the answers of finished changes.
        sleep(POLL_INTERVAL).await;
        drop(self.leader_task);
        if self.host.log.transfer_leadership().await {
            slog::info!(logger, "leadership transferred"; "leader" => self.host.log.leader());
        }
        Log::stop(&self.host.log).await;
        drop(self.tasks);
        slog::info!(logger, "stopped");
    }
}

/// Receives SIGTERM and SIGINT. After the first of them the process ends within [`STOP_LIMIT`].
///
/// # Errors
/// Signals can't be received.
pub fn stop_signals() -> io::Result<Signals> {
    let signals = [SIGTERM, SIGINT];
    limit_stop(&signals, STOP_LIMIT)?;
    Signals::new(&signals)
}

async fn serve_http<L: Log>(
    host: Rc<Host<L>>,
    listener: TcpListener,
    operators: Vec<Operator>,
    limits: http::Limits,
) {
    let admin = Rc::new(Admin {
        host: Rc::clone(&host),
        operators,
        sessions: RefCell::default(),
    });
    let router = router(&admin);
    if let Err(cause) = base::http::serve_limited(listener, router, limits).await {
        slog::error!(host.logger, "the HTTP server failed"; "cause" => %cause);
    }
}

/// Returns all HTTP routes of a control host.
pub fn router<L: Log>(admin: &Rc<Admin<L>>) -> axum::Router {
    let (dump, ready) = (Rc::clone(&admin.host), Rc::clone(&admin.host));
    let report = http::Report {
        metrics: admin.host.metrics.registry.clone(),
        dump: Rc::new(move || dump.dump(Instant::now())),
        ready: Rc::new(move || {
            !ready.stopping.get() && ready.log.time_since_leader(base::clock::now()) < READY_MAX_AGE
        }),
    };
    http::routes(report)
        .merge(admin::routes(admin))
        .merge(console::routes(admin))
}
