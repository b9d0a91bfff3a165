//! Accepting callers.

use std::{pin::pin, rc::Rc, time::Duration};

use compio::{
    net::{SocketOpts, TcpListener, TcpStream},
    runtime::spawn,
    time::{sleep, timeout},
};
use futures_util::future::{Either, select};
use slog::{info, warn};

use crate::{
    fleet::Fleet,
    login::{Login, login},
    options::Options,
    shared::Shared,
};

/// Pause after a failed accept, which fails at once again while file descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Pause between two looks at whether all sessions have ended.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers until the process is told to stop and all of them have left.
///
/// While it stops, new callers are told so (57P03), transactions end, and idle sessions are closed
/// (57P01). The deadline for that is up to the process.
pub async fn serve<F: Fleet>(listener: TcpListener, fleet: Rc<F>, options: Options) {
    let shared = Rc::new(Shared::new(fleet, options));
    let stop = async {
        shared.fleet.stopping().await;
        sleep(shared.options.drain_delay).await;
    };
    select(pin!(accept(&listener, &shared)), pin!(stop)).await;
    shared.drain();
    info!(shared.options.log, "draining"; "callers" => shared.registry.len());
    let gone = async {
        while !shared.registry.is_empty() {
            sleep(DRAIN_PAUSE).await;
        }
    };
    match select(pin!(accept(&listener, &shared)), pin!(gone)).await {
        Either::Left(((), _)) | Either::Right(((), _)) => {}
    }
}

async fn accept<F: Fleet>(listener: &TcpListener, shared: &Rc<Shared<F>>) {
    // Probes end the sessions of callers whose host is gone.
    let socket = SocketOpts::new().nodelay(true).keepalive(true);
    loop {
        match listener.accept_with_options(&socket).await {
            Ok((stream, _caller)) => {
                // Connections that have not logged in take memory too.
                let Some(connected) = shared.admit_connection() else {
                    continue;
                };
                let shared = Rc::clone(shared);
                spawn(async move {
                    caller(stream, shared).await;
                    drop(connected);
                })
                .detach();
            }
            Err(cause) => {
                warn!(shared.options.log, "accept failed"; "cause" => %cause);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn caller<F: Fleet>(stream: TcpStream, shared: Rc<Shared<F>>) {
    // Boxed, because an idle session must not hold the space that a login needs.
    let entering = Box::pin(timeout(
        shared.options.login_timeout,
        login(stream, &shared),
    ));
    match entering.await {
        Ok(Login::Session(session)) => session.serve().await,
        Ok(Login::Cancel(pid, secret)) if shared.registry.owns(pid) => {
            shared.registry.cancel(pid, secret).await;
        }
        Ok(Login::Cancel(pid, secret)) => shared.fleet.pass_cancel(pid, secret).await,
        Ok(Login::Closed) | Err(_) => {}
    }
}
