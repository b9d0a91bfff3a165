//! Accepting callers, and the planned stop.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::{
    net::{SocketOpts, TcpListener, TcpStream},
    runtime::spawn,
    time::{sleep, sleep_until},
};
use entry::dialect::Dialect;
use futures_util::future::{Either, select};
use slog::{info, warn};

use crate::{
    caller::Caller,
    session::Session,
    shared::{Phase, Shared},
    statement::Statements,
};

/// Pause after a failed accept, which fails at once again while file descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Pause between two looks at whether the process is cut off.
const LOOK: Duration = Duration::from_millis(200);
/// Pause between two looks at whether all sessions have ended.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);

/// Times of a planned stop, counted from its order.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    /// When balancers have noticed, so that no new callers come: idle sessions are closed then.
    pub notice: Duration,
    /// When transactions are ended.
    pub transactions: Duration,
    /// When the process ends, whatever still runs.
    pub end: Duration,
}

/// Where sessions arrive.
#[derive(Debug)]
pub struct Listeners {
    /// From callers.
    pub callers: TcpListener,
    /// From other entry processes, which forward those of their callers.
    pub forwarded: TcpListener,
}

/// Serves callers until `stop` completes and all of them have left.
pub async fn serve<C: Caller, D: Dialect>(
    listeners: Listeners,
    shared: Rc<Shared<D>>,
    make: impl Fn(TcpStream) -> C,
    stop: impl Future<Output = ()>,
    times: Stop,
) where
    D::Client: Statements,
{
    let callers = pin!(accept(&listeners.callers, &shared, &make, true));
    let forwarded = pin!(accept(&listeners.forwarded, &shared, &make, false));
    let accepting = select(callers, forwarded);
    let ending = pin!(async {
        select(pin!(stop), pin!(shed(&shared, times.notice))).await;
        end(&shared, times).await;
    });
    match select(accepting, ending).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}

/// Closes idle sessions while the process is cut off, once balancers have noticed.
async fn shed<D: Dialect>(shared: &Shared<D>, notice: Duration)
where
    D::Client: Statements,
{
    let mut since: Option<Instant> = None;
    loop {
        sleep(LOOK).await;
        let now = Instant::now();
        let phase = if shared.network.is_lease_expiring(now) {
            let since = *since.get_or_insert(now);
            if now.saturating_duration_since(since) < notice {
                Phase::Serving
            } else {
                Phase::Shedding
            }
        } else {
            since = None;
            Phase::Serving
        };
        if phase != shared.phase() {
            info!(shared.network.log, "idle sessions"; "closed" => phase == Phase::Shedding,
                "sessions" => shared.sessions());
            shared.set_phase(phase);
        }
    }
}

/// Closes sessions step by step.
async fn end<D: Dialect>(shared: &Shared<D>, times: Stop)
where
    D::Client: Statements,
{
    let start = Instant::now();
    let log = &shared.network.log;
    sleep(times.notice).await;
    info!(log, "closing idle sessions"; "sessions" => shared.sessions());
    shared.set_phase(Phase::Closing);
    let gone = async {
        while shared.sessions() > 0 {
            sleep(DRAIN_PAUSE).await;
        }
    };
    let late = async {
        sleep_until(start + times.transactions).await;
        info!(log, "ending transactions"; "sessions" => shared.sessions());
        shared.set_phase(Phase::Ending);
        sleep_until(start + times.end).await;
        warn!(log, "sessions are cut off"; "sessions" => shared.sessions());
    };
    select(pin!(gone), pin!(late)).await;
}

async fn accept<C: Caller, D: Dialect>(
    listener: &TcpListener,
    shared: &Rc<Shared<D>>,
    make: &impl Fn(TcpStream) -> C,
    forwards: bool,
) where
    D::Client: Statements,
{
    // Probes end the sessions of callers whose host is gone.
    let socket = SocketOpts::new().nodelay(true).keepalive(true);
    loop {
        match listener.accept_with_options(&socket).await {
            Ok((stream, _caller)) => {
                let session = Session::serve(make(stream), Rc::clone(shared), forwards);
                spawn(session).detach();
            }
            Err(cause) => {
                warn!(shared.network.log, "accept failed"; "cause" => %cause);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
