//! Listeners, background tasks and graceful shutdown of the process.

use std::{
    fmt, io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use base::Exit;
use compio::net::TcpListener;
use futures_util::future::{Either, select};
use slog::{Logger, error, info, warn};

use crate::{
    announce, follow, http, log::LogError, login, member::Member, settings::Settings, store::Store,
};

/// Time for control hosts to promote another member and for entry hosts to move their work to other
/// members, before idle sessions are closed.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time since the start of a planned stop after which open sessions are no longer waited for.
const SESSIONS_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time for sending the rest of the log to replicas.
const REPLICATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a planned stop checks its conditions.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after a failed accept, which usually means that the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why a member can't start.
#[derive(Debug)]
pub enum StartError {
    /// The log file can't be used.
    Log(LogError),
    /// An address can't be bound.
    Bind(SocketAddr, io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Log(cause) => cause.fmt(f),
            Self::Bind(address, cause) => {
                write!(
                    f,
                    "cannot bind {address}: {cause}; use a free address of this host"
                )
            }
        }
    }
}

impl std::error::Error for StartError {}

/// A member with bound listeners.
#[derive(Debug)]
pub struct Daemon {
    member: Rc<Member>,
    clients: TcpListener,
    http: TcpListener,
}

impl Daemon {
    /// Loads the log and binds the addresses; port 0 takes a free one.
    ///
    /// # Errors
    /// The log file can't be used, or an address can't be bound.
    pub async fn open(settings: Settings, log: Logger) -> Result<Self, StartError> {
        let store = Store::open(&settings.data).map_err(StartError::Log)?;
        let bind = async |address| {
            TcpListener::bind(address)
                .await
                .map_err(|cause| StartError::Bind(address, cause))
        };
        let clients = bind(settings.address).await?;
        let http = bind(settings.http).await?;
        let member = Member::new(settings, log, store);
        member.notify_change();
        Ok(Self {
            member,
            clients,
            http,
        })
    }

    /// Bound address of the PostgreSQL listener.
    ///
    /// # Errors
    /// The address of the listener cannot be read.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.clients.local_addr()
    }

    /// Bound address of the HTTP listener.
    ///
    /// # Errors
    /// The address of the listener cannot be read.
    pub fn http(&self) -> io::Result<SocketAddr> {
        self.http.local_addr()
    }

    /// Serves until `stop` resolves, then shuts down gracefully; if `stop` resolves again, returns
    /// at once.
    pub async fn serve(self, mut stop: impl AsyncFnMut()) -> Exit {
        let Self {
            member,
            clients,
            http,
        } = self;
        info!(member.log, "serving";
            "address" => %member.settings.address,
            "position" => %member.store.borrow().position());
        let accepting = compio::runtime::spawn(accept(Rc::clone(&member), clients));
        let following = compio::runtime::spawn(follow::run(Rc::clone(&member)));
        let announcing = compio::runtime::spawn(announce::run(Rc::clone(&member)));
        let router = http::router(&member);
        let web = base::http::serve_on(http, router);
        let serving = async {
            stop().await;
            shut_down(&member, pin!(stop())).await;
        };
        let outcome = match select(pin!(serving), pin!(web.into_future())).await {
            Either::Left(((), _)) => None,
            Either::Right((outcome, _)) => Some(outcome),
        };
        drop((accepting, following, announcing));
        member.shutdown.notify(usize::MAX);
        // Sockets with a pending operation are closed only while the runtime is polled.
        compio::time::sleep(POLL_INTERVAL).await;
        match outcome {
            None => Exit::Done,
            Some(outcome) => {
                error!(member.log, "HTTP listener failed"; "outcome" => ?outcome);
                Exit::Failed
            }
        }
    }
}

async fn accept(member: Rc<Member>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                member.metrics.accepted.inc();
                if let Err(cause) = stream.set_nodelay(true) {
                    warn!(member.log, "cannot set TCP_NODELAY"; "cause" => %cause);
                }
                let ended = member.shutdown.listen();
                let member = Rc::clone(&member);
                compio::runtime::spawn(async move {
                    let serving = pin!(login::serve(member, stream));
                    let _: Either<((), _), ((), _)> = select(serving, ended).await;
                })
                .detach();
            }
            Err(cause) => {
                warn!(member.log, "accept failed"; "cause" => %cause);
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Announces the planned stop, lets sessions end, and returns when the process may exit.
async fn shut_down(member: &Rc<Member>, second_stop: std::pin::Pin<&mut impl Future<Output = ()>>) {
    let start = Instant::now();
    info!(member.log, "shutting down"; "connections" => member.connections.get());
    member.leaving.set(true);
    member.stop.notify(usize::MAX);
    let leaving = async {
        let wait_until = async |done: &dyn Fn() -> bool, limit: Duration| {
            while !done() && start.elapsed() < limit {
                compio::time::sleep(POLL_INTERVAL).await;
            }
        };
        // A primary keeps serving until another member is promoted, so that the switchover
        // interrupts no caller. If no entry host accepted the announcement, nobody will promote
        // another member.
        let handed_over = || {
            member.stop_announced.get()
                && !(member.stop_accepted.get() && member.store.borrow().is_primary())
        };
        wait_until(&handed_over, HANDOVER_TIMEOUT).await;
        let idle = || member.stop_announced.get() && member.connections.get() == 0;
        wait_until(&idle, HANDOVER_TIMEOUT).await;
        member.closing.set(true);
        member.stop.notify(usize::MAX);
        wait_until(&idle, SESSIONS_TIMEOUT).await;
        let all_sent = || member.all_entries_sent();
        wait_until(&all_sent, start.elapsed() + REPLICATION_TIMEOUT).await;
    };
    match select(pin!(leaving), second_stop).await {
        Either::Left(_) => info!(member.log, "stopped"; "connections" => member.connections.get()),
        Either::Right(_) => warn!(member.log, "shutdown cut short by a second stop request"),
    }
}
