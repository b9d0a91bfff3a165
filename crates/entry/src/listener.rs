//! Accepts connections of callers.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

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

/// Pause after a failed accept. Without it, a lack of file descriptors would cause a busy loop.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which a stopping process checks whether all sessions have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves callers until the process stops and all sessions have ended.
///
/// While the process is stopping, new callers are refused (57P03), transactions may finish, and
/// idle sessions are closed (57P01). After [`Options::stop_limit`] the requests in progress are
/// answered with an error and all sessions are closed. A limit on the time that callers take to read
/// that is up to the caller of this function.
pub async fn serve<F: Fleet>(listener: TcpListener, fleet: Rc<F>, options: Options) {
    let shared = Rc::new(Shared::new(fleet, options));
    let stop = async {
        shared.fleet.stopping().await;
        let end = Instant::now() + shared.options.stop_limit;
        sleep(shared.options.drain_delay).await;
        end
    };
    let end = match select(pin!(accept(&listener, &shared)), pin!(stop)).await {
        Either::Left(((), _)) => return,
        Either::Right((end, _)) => end,
    };
    shared.drain();
    info!(shared.options.log, "draining"; "callers" => shared.registry.len());
    let sessions_ended = async {
        while !shared.registry.is_empty() {
            sleep(DRAIN_POLL_INTERVAL).await;
            if Instant::now() >= end && !shared.is_ending() {
                warn!(shared.options.log, "ending requests"; "callers" => shared.registry.len());
                shared.end_requests();
            }
        }
    };
    match select(pin!(accept(&listener, &shared)), pin!(sessions_ended)).await {
        Either::Left(((), _)) | Either::Right(((), _)) => {}
    }
}

async fn accept<F: Fleet>(listener: &TcpListener, shared: &Rc<Shared<F>>) {
    // Keepalive probes end the sessions of callers whose host has failed.
    let socket = SocketOpts::new().nodelay(true).keepalive(true);
    loop {
        match listener.accept_with_options(&socket).await {
            Ok((stream, _caller)) => {
                // Connections before their login take memory as well, so all are limited.
                let Some(guard) = shared.admit_connection() else {
                    continue;
                };
                let shared = Rc::clone(shared);
                spawn(async move {
                    serve_caller(stream, shared).await;
                    drop(guard);
                })
                .detach();
            }
            Err(cause) => {
                warn!(shared.options.log, "accept failed"; "cause" => %cause);
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve_caller<F: Fleet>(stream: TcpStream, shared: Rc<Shared<F>>) {
    // Boxed, so that the future of an idle session does not include the space for the login.
    let login = Box::pin(timeout(
        shared.options.login_timeout,
        login(stream, &shared),
    ));
    match login.await {
        Ok(Login::Session(session)) => session.serve().await,
        Ok(Login::Cancel(pid, secret)) if shared.registry.owns(pid) => {
            shared.registry.cancel(pid, secret).await;
        }
        Ok(Login::Cancel(pid, secret)) => shared.fleet.pass_cancel(pid, secret).await,
        Ok(Login::Closed) | Err(_) => {}
    }
}
