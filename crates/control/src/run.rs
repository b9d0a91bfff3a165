//! The daemon from start to stop.

use std::{
    cell::RefCell,
    fmt, io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use agree::{Node, Options, StartError};
use base::{Exit, HostName, http};
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
    lead,
    log::Log,
    machine::State,
    settings::{Operator, Settings},
    upstream::{Databases, Postgres},
};

/// A host that heard nothing from a leader with a majority for this long is not ready.
const READY: Duration = Duration::from_secs(3);
/// Longest time that changes in flight get when the host stops.
const FINISH: Duration = Duration::from_secs(5);
/// How often a stopping host looks whether its work is done, and a running one at its disk.
const TICK: Duration = Duration::from_millis(20);

/// Why the daemon can't start.
#[derive(Debug)]
pub enum RunError {
    /// The log can't be opened.
    Log(StartError),
    /// An address can't be bound.
    Bind(&'static str, SocketAddr, io::Error),
    /// Signals can't be received.
    Signal(io::Error),
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
            Self::Signal(cause) => write!(f, "signals can't be received: {cause}"),
        }
    }
}

impl std::error::Error for RunError {}

/// Runs the daemon until `stop` completes.
///
/// # Errors
/// It can't start, or `stop` fails.
pub async fn run(
    settings: Settings,
    logger: slog::Logger,
    stop: impl Future<Output = io::Result<()>>,
) -> Result<Exit, RunError> {
    let databases = Rc::new(Postgres {
        host: settings.host,
    });
    let running = Running::start(&settings, databases, false, logger.clone()).await?;
    let http = bind("http", settings.http).await?;
    let host = Rc::clone(&running.host);
    let web = spawn(web(Rc::clone(&host), http, settings.admin.operators));
    slog::info!(logger, "control host started"; "address" => %settings.address,
        "http" => %settings.http);

    match select(Box::pin(stop), Box::pin(running.failure())).await {
        Either::Left((told, _)) => told.map_err(RunError::Signal)?,
        Either::Right((cause, _)) => {
            slog::error!(logger, "the log failed"; "cause" => cause);
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

/// A control host with its tasks.
#[derive(Debug)]
pub struct Running {
    /// The host.
    pub host: Rc<Host<Rc<Node<State>>>>,
    tasks: Vec<JoinHandle<()>>,
    leading: JoinHandle<()>,
}

impl Running {
    /// Opens the data directory and starts the tasks of the host. `moves` tells whether control
    /// hosts may be replaced by others at other addresses.
    ///
    /// # Errors
    /// The log can't be opened, or the RPC address can't be bound.
    pub async fn start(
        settings: &Settings,
        databases: Rc<dyn Databases>,
        moves: bool,
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
            moves,
        };
        let host = Host::new(start, identity, node, databases, state, logger);
        let tasks = vec![
            spawn(gate::serve(Rc::clone(&host), rpc)),
            spawn(lead::follow(Rc::clone(&host))),
            spawn(lead::expire(Rc::clone(&host))),
            spawn(lead::pass_on(Rc::clone(&host))),
        ];
        let leading = spawn(lead::lead(Rc::clone(&host)));
        Ok(Self {
            host,
            tasks,
            leading,
        })
    }

    /// Waits until the log fails, and returns why.
    pub async fn failure(&self) -> String {
        loop {
            if let Some(cause) = self.host.log.failure() {
                return cause;
            }
            sleep(TICK).await;
        }
    }

    /// Finishes the changes in flight, hands the leadership over and stops.
    pub async fn stop(self) {
        let logger = &self.host.logger;
        slog::info!(logger, "stopping");
        self.host.stopping.set(true);
        let since = Instant::now();
        while self.host.busy.get() > 0 && since.elapsed() < FINISH {
            sleep(TICK).await;
        }
        // Answers of finished changes still have to be written.
        sleep(TICK).await;
        drop(self.leading);
        if self.host.log.hand_over().await {
            slog::info!(logger, "leadership handed over"; "leader" => self.host.log.leader());
        }
        Log::stop(&self.host.log).await;
        drop(self.tasks);
        slog::info!(logger, "stopped");
    }
}

/// Waits for SIGTERM or SIGINT. The first poll blocks both for this thread and those that it
/// starts later.
///
/// # Errors
/// Signals can't be received.
pub async fn signalled() -> io::Result<()> {
    /// Numbers of POSIX.
    const SIGINT: i32 = 2;
    const SIGTERM: i32 = 15;
    let term = Box::pin(compio::signal::unix::signal(SIGTERM));
    let int = Box::pin(compio::signal::unix::signal(SIGINT));
    match select(term, int).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}

async fn web<L: Log>(host: Rc<Host<L>>, listener: TcpListener, operators: Vec<Operator>) {
    let admin = Rc::new(Admin {
        host: Rc::clone(&host),
        operators,
        sessions: RefCell::default(),
    });
    let router = router(&admin);
    if let Err(cause) = base::http::serve_on(listener, router).await {
        slog::error!(host.logger, "HTTP is not served any more"; "cause" => %cause);
    }
}

/// All HTTP routes of a control host.
pub fn router<L: Log>(admin: &Rc<Admin<L>>) -> axum::Router {
    let (dump, ready) = (Rc::clone(&admin.host), Rc::clone(&admin.host));
    let report = http::Report {
        metrics: admin.host.metrics.registry.clone(),
        dump: Rc::new(move || dump.dump(Instant::now())),
        ready: Rc::new(move || !ready.stopping.get() && ready.log.contact(Instant::now()) < READY),
    };
    http::routes(report)
        .merge(admin::routes(admin))
        .merge(console::routes(admin))
}
