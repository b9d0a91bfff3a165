//! Accepts connections and shuts down gracefully.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{log::LineLimit, meter::Meter};
use compio::{
    net::{SocketOpts, TcpListener, TcpStream},
    runtime::spawn,
    time::{sleep, sleep_until},
};
use entry::dialect::Dialect;
use futures_util::future::{Either, select};
use slog::{info, warn};

use crate::{
    caller::{Caller, Peer},
    session::Session,
    shared::Shared,
    statement::StatementClient,
    stop::Phase,
};

/// Pause after a failed accept. Without it, accept would fail in a busy loop while the process is
/// out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Interval of the check whether the process is cut off from the control hosts.
const ISOLATION_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of the check whether all sessions have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Log lines per second about refused connections.
const MAX_REFUSAL_LINES: u32 = 1;

/// Schedule of a graceful shutdown, as durations since it was requested.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownSchedule {
    /// When idle sessions are closed. By then load balancers must have noticed that the process is
    /// not ready, so that no new callers arrive.
    pub close_idle: Duration,
    /// When open transactions are aborted, and requests that no database has yet are refused.
    pub abort_transactions: Duration,
    /// When requests that a database has not answered get their final reply.
    pub end_requests: Duration,
    /// When the shutdown ends, even if sessions are still open.
    pub exit: Duration,
}

/// Listeners for incoming sessions.
#[derive(Debug)]
pub struct Listeners {
    /// Sessions of callers.
    pub callers: TcpListener,
    /// Sessions that other entry processes forward.
    pub forwarded: TcpListener,
    /// Budget of the process, which limits the number of connections.
    pub meter: Rc<Meter>,
}

/// Serves callers until `stop` completes, then shuts down gracefully as `schedule` says.
pub async fn serve<C: Caller, D: Dialect>(
    listeners: Listeners,
    shared: Rc<Shared<D>>,
    new_caller: impl Fn(TcpStream, Peer) -> C,
    stop: impl Future<Output = ()>,
    schedule: ShutdownSchedule,
) where
    D::Client: StatementClient,
{
    let callers = pin!(accept(
        &listeners.callers,
        &listeners.meter,
        &shared,
        &new_caller,
        Peer::Caller
    ));
    let forwarded = pin!(accept(
        &listeners.forwarded,
        &listeners.meter,
        &shared,
        &new_caller,
        Peer::Entry
    ));
    let accepting = select(callers, forwarded);
    let shutdown = pin!(async {
        select(
            pin!(stop),
            pin!(close_idle_while_isolated(&shared, schedule.close_idle)),
        )
        .await;
        shut_down(&shared, schedule).await;
    });
    match select(accepting, shutdown).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}

/// Closes idle sessions while the process is cut off from the control hosts, once load balancers
/// have had the time `delay` to notice.
async fn close_idle_while_isolated<D: Dialect>(shared: &Shared<D>, delay: Duration)
where
    D::Client: StatementClient,
{
    let mut since: Option<Instant> = None;
    loop {
        sleep(ISOLATION_POLL_INTERVAL).await;
        let now = Instant::now();
        let phase = if shared.network.is_lease_expiring(base::clock::now()) {
            let since = *since.get_or_insert(now);
            if now.saturating_duration_since(since) < delay {
                Phase::Serving
            } else {
                Phase::Isolated
            }
        } else {
            since = None;
            Phase::Serving
        };
        if phase != shared.phase() {
            info!(shared.network.log, "idle sessions"; "closed" => phase == Phase::Isolated,
                "sessions" => shared.session_count());
            shared.set_phase(phase);
        }
    }
}

/// Closes idle sessions, then aborts transactions, then ends all requests; returns when no session is
/// left or at the end of the schedule.
async fn shut_down<D: Dialect>(shared: &Shared<D>, schedule: ShutdownSchedule)
where
    D::Client: StatementClient,
{
    let start = Instant::now();
    let log = &shared.network.log;
    sleep(schedule.close_idle).await;
    info!(log, "closing idle sessions"; "sessions" => shared.session_count());
    shared.set_phase(Phase::ClosingIdle);
    let drained = async {
        while shared.session_count() > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    let forced = async {
        sleep_until(start + schedule.abort_transactions).await;
        info!(log, "aborting transactions"; "sessions" => shared.session_count());
        shared.set_phase(Phase::AbortingTransactions);
        sleep_until(start + schedule.end_requests).await;
        info!(log, "ending requests"; "sessions" => shared.session_count());
        shared.set_phase(Phase::Ending);
        sleep_until(start + schedule.exit).await;
        warn!(log, "closing remaining sessions"; "sessions" => shared.session_count());
    };
    select(pin!(drained), pin!(forced)).await;
}

async fn accept<C: Caller, D: Dialect>(
    listener: &TcpListener,
    meter: &Meter,
    shared: &Rc<Shared<D>>,
    new_caller: &impl Fn(TcpStream, Peer) -> C,
    peer: Peer,
) where
    D::Client: StatementClient,
{
    // Keepalive probes detect callers whose host is gone, which ends their sessions.
    let socket = SocketOpts::new().nodelay(true).keepalive(true);
    let refusals = LineLimit::new(MAX_REFUSAL_LINES);
    loop {
        match listener.accept_with_options(&socket).await {
            Ok((stream, _caller)) => {
                // The other descriptors are kept for databases, control hosts and operators.
                if shared.session_count() >= meter.limits.callers {
                    meter.record_excess();
                    if refusals.admit(Instant::now()) {
                        warn!(shared.network.log, "connection refused";
                            "cause" => "too many sessions", "sessions" => shared.session_count(),
                            "left_out" => refusals.take_skipped());
                    }
                    continue;
                }
                let caller = new_caller(stream, peer);
                let guard = shared.register_session();
                spawn(Session::serve(caller, Rc::clone(shared), peer, guard)).detach();
            }
            Err(cause) => {
                warn!(shared.network.log, "accept failed"; "cause" => %cause);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
