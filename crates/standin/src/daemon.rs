//! The process: listeners, tasks and the planned stop.

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

/// Time that the control hosts have to promote another member, and entry hosts to take their work
/// elsewhere, before idle sessions are closed.
const LEAVE: Duration = Duration::from_secs(5);
/// Time after which a planned stop no longer waits for sessions.
const STOP: Duration = Duration::from_secs(30);
/// Time for replicas to be sent the rest of the log.
const STREAM: Duration = Duration::from_secs(1);
/// Time between two looks at what a stop waits for.
const LOOK: Duration = Duration::from_millis(20);
/// Pause after a failed accept, which usually means that no file descriptor is left.
const ACCEPT: Duration = Duration::from_millis(100);

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
                write!(f, "{address}: {cause}; use a free address of this host")
            }
        }
    }
}

impl std::error::Error for StartError {}

/// A member with its listeners bound, ready to serve.
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
        member.announce_change();
        Ok(Self {
            member,
            clients,
            http,
        })
    }

    /// Where it listens for the PostgreSQL protocol.
    ///
    /// # Errors
    /// The listener has no address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.clients.local_addr()
    }

    /// Where it serves HTTP.
    ///
    /// # Errors
    /// The listener has no address.
    pub fn http(&self) -> io::Result<SocketAddr> {
        self.http.local_addr()
    }

    /// Serves until `stop` yields, then leaves in order; a second yield ends the process at once.
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
            leave(&member, pin!(stop())).await;
        };
        let outcome = match select(pin!(serving), pin!(web.into_future())).await {
            Either::Left(((), _)) => None,
            Either::Right((outcome, _)) => Some(outcome),
        };
        drop((accepting, following, announcing));
        member.ended.notify(usize::MAX);
        // Sockets with a pending operation are closed only while the runtime goes on.
        compio::time::sleep(LOOK).await;
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
                    warn!(member.log, "connection without TCP_NODELAY"; "cause" => %cause);
                }
                let ended = member.ended.listen();
                let member = Rc::clone(&member);
                compio::runtime::spawn(async move {
                    let serving = pin!(login::serve(member, stream));
                    let _: Either<((), _), ((), _)> = select(serving, ended).await;
                })
                .detach();
            }
            Err(cause) => {
                warn!(member.log, "accept failed"; "cause" => %cause);
                compio::time::sleep(ACCEPT).await;
            }
        }
    }
}

/// Announces that the member leaves, lets sessions end, and returns when it may exit.
async fn leave(member: &Rc<Member>, again: std::pin::Pin<&mut impl Future<Output = ()>>) {
    let start = Instant::now();
    info!(member.log, "leaving"; "connections" => member.connections.get());
    member.leaving.set(true);
    member.stop.notify(usize::MAX);
    let leaving = async {
        let look = async |done: &dyn Fn() -> bool, most: Duration| {
            while !done() && start.elapsed() < most {
                compio::time::sleep(LOOK).await;
            }
        };
        // A primary goes on until another has its role, so that the change interrupts nothing. When
        // no entry host knows of the stop there is nobody to change it.
        let handed =
            || member.told.get() && !(member.heard.get() && member.store.borrow().is_primary());
        look(&handed, LEAVE).await;
        let idle = || member.told.get() && member.connections.get() == 0;
        look(&idle, LEAVE).await;
        member.closing.set(true);
        member.stop.notify(usize::MAX);
        look(&idle, STOP).await;
        let streamed = || member.is_streamed();
        look(&streamed, start.elapsed() + STREAM).await;
    };
    match select(pin!(leaving), again).await {
        Either::Left(_) => info!(member.log, "left"; "connections" => member.connections.get()),
        Either::Right(_) => warn!(member.log, "terminated by a second request to stop"),
    }
}
