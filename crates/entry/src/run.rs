//! Runs an entry process, from reading its settings to its graceful stop.

use std::{io, path::Path, rc::Rc, time::Duration};

use base::{
    Exit,
    http::{Limits, Report},
    meter::Meter,
    settings,
    signals::{SIGINT, SIGTERM, Signals, limit_stop},
};
use futures_util::{FutureExt as _, pin_mut, select};
use slog::{error, info};

use crate::{
    announce, listener,
    network::Network,
    options::{Auth, Options},
    settings::{Method, Settings},
};

/// Longest duration of a graceful stop. Requests still running after that get a final answer.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Time to send the last answers before the process exits.
const ANSWER_RESERVE: Duration = Duration::from_secs(1);
/// Longest duration of a stop. A process whose event loop is blocked is ended after it.
const STOP_LIMIT: Duration = STOP_TIMEOUT.saturating_add(Duration::from_secs(3));

/// Size of an announcement, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Runs the process with the settings in `file` until it stops.
#[must_use]
pub fn run(file: &Path) -> Exit {
    let settings = match settings::load::<Settings>(file) {
        Ok(settings) => settings,
        Err(cause) => {
            eprintln!("entry: {cause}");
            return Exit::Usage;
        }
    };
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => {
            eprintln!("entry: can't create the async runtime: {cause}");
            return Exit::Failed;
        }
    };
    let (log, _flush) = base::log::logger("entry", &settings.name);
    let network = Network::new(settings, log);
    match runtime.block_on(serve(&network)) {
        Ok(()) => Exit::Done,
        Err(cause) => {
            error!(network.log, "process failed"; "cause" => %cause);
            Exit::Failed
        }
    }
}

async fn serve(network: &Rc<Network>) -> io::Result<()> {
    let settings = &network.settings;
    limit_stop(&[SIGTERM, SIGINT], STOP_LIMIT)?;
    let mut signals = Signals::new(&[SIGTERM, SIGINT])?;
    let listener = compio::net::TcpListener::bind(settings.address)
        .await
        .map_err(|cause| bind_error("address", settings.address, &cause))?;
    let (dump, ready) = (Rc::clone(network), Rc::clone(network));
    let report = Report {
        metrics: network.metrics.registry.clone(),
        dump: Rc::new(move || dump.dump()),
        ready: Rc::new(move || ready.is_ready(base::clock::now())),
    };
    let router = base::http::routes(report).merge(announce::routes(Rc::clone(network)));
    let meter = Meter::of_host(settings.memory_mb, settings.descriptors);
    let limits = Limits {
        clients: meter.limits.clients,
        body_bytes: MAX_BODY_BYTES,
        meter: Some(Rc::clone(&meter)),
    };
    let http = base::http::serve(settings.http, router, limits).fuse();
    network.start();
    info!(network.log, "process started"; "address" => %settings.address, "http" => %settings.http);
    let mut options = Options::new(auth(settings), network.log.clone());
    options.registry = Rc::clone(&network.registry);
    options.stop_limit = STOP_TIMEOUT;
    // Leaves descriptors for logins that are refused.
    let callers = meter.limits.callers;
    options.max_callers = options.max_callers.min(callers - callers / 16);
    options.meter = Some(meter);
    let callers = listener::serve(listener, Rc::clone(network), options).fuse();
    let stop = async {
        {
            let signal = signals.next().fuse();
            let request = network.stop_requested().fuse();
            pin_mut!(signal, request);
            select! {
            () = signal => {},
            () = request => {},
            }
        }
        info!(network.log, "process stops");
        network.stop();
        let second = signals.next().fuse();
        let limit = compio::time::sleep(STOP_TIMEOUT + ANSWER_RESERVE).fuse();
        pin_mut!(second, limit);
        select! {
            () = second => {},
            () = limit => {},
        }
    }
    .fuse();
    pin_mut!(http, callers, stop);
    select! {
        result = http => result.map_err(|cause| bind_error("http", settings.http, &cause)),
        () = callers => Ok(()),
        () = stop => Ok(()),
    }
}

fn auth(settings: &Settings) -> Auth {
    match settings.auth.method {
        Method::Trust => Auth::Trust,
        Method::Password => Auth::Password(settings.auth.users.clone()),
    }
}

fn bind_error(field: &str, address: std::net::SocketAddr, cause: &io::Error) -> io::Error {
    let text = format!("{field} {address}: {cause}; set a free address of this host");
    io::Error::new(cause.kind(), text)
}
