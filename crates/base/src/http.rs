//! HTTP endpoints of every process: `/metrics`, `/dump` and `/ready`.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Instant};

use axum::{
    Router,
    http::{StatusCode, header},
    response::{IntoResponse, Response},
    routing::get,
};
use compio::net::TcpListener;
use prometheus::{Encoder, Registry, TextEncoder};
use send_wrapper::SendWrapper;
use serde_json::Value;

use crate::{
    http_clients::{Activity, ClientState, Clients},
    http1::Connection,
    meter::Meter,
};

/// Data behind the `/metrics`, `/dump` and `/ready` endpoints of a process.
#[derive(Clone)]
pub struct Report {
    /// Metrics of the process.
    pub metrics: Registry,
    /// Returns the full state of the process.
    pub dump: Rc<dyn Fn() -> Value>,
    /// Whether a load balancer may send new requests.
    pub ready: Rc<dyn Fn() -> bool>,
}

impl std::fmt::Debug for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Report").finish_non_exhaustive()
    }
}

/// Routes that every process serves; each program merges its own routes into them.
///
/// [`SendWrapper`] is safe here because a process accesses the state from one thread only.
pub fn routes(report: Report) -> Router {
    let report = SendWrapper::new(report);
    let (metrics, dump, ready) = (report.clone(), report.clone(), report);
    let router = Router::new();
    #[cfg(feature = "failpoints")]
    let router = router.route("/failpoint", axum::routing::post(set_fault_point));
    router
        .route(
            "/metrics",
            get(move || std::future::ready(metrics_text(&metrics.metrics))),
        )
        .route(
            "/dump",
            get(move || std::future::ready(axum::Json((dump.dump)()))),
        )
        .route(
            "/ready",
            get(move || std::future::ready(ready_status((ready.ready)()))),
        )
}

/// Sets a fault point of the running process from `name=actions`, as the environment variable
/// `FAILPOINTS` does at startup.
#[cfg(feature = "failpoints")]
async fn set_fault_point(setting: String) -> (StatusCode, String) {
    let result = match setting.split_once('=') {
        Some((name, actions)) => fail::cfg(name.trim(), actions.trim()),
        None => Err("write name=actions".to_owned()),
    };
    match result {
        Ok(()) => (StatusCode::OK, "set\n".to_owned()),
        Err(cause) => (StatusCode::BAD_REQUEST, cause),
    }
}

/// Encodes the metrics in the Prometheus text format.
#[must_use]
pub fn metrics_text(registry: &Registry) -> Response {
    let mut text = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut text) {
        Ok(()) => ([(header::CONTENT_TYPE, "text/plain; version=0.0.4")], text).into_response(),
        Err(cause) => (StatusCode::INTERNAL_SERVER_ERROR, cause.to_string()).into_response(),
    }
}

fn ready_status(ready: bool) -> (StatusCode, &'static str) {
    if ready {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// Serves `router` at `address` until the process ends.
///
/// # Errors
/// The address can't be bound, or the listener fails.
pub async fn serve(address: SocketAddr, router: Router, limits: Limits) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    serve_limited(listener, router, limits).await
}

/// Limits on the clients of an address.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Number of connections. A further one closes that whose request is incomplete for the longest.
    pub clients: usize,
    /// Size of a request body, in bytes.
    pub body_bytes: usize,
    /// Budget in which bodies beyond the floor of a connection count.
    pub meter: Option<Rc<Meter>>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            clients: 1_000,
            body_bytes: 4 << 20,
            meter: None,
        }
    }
}

/// Serves `router` on a bound listener until the process ends.
///
/// # Errors
/// Currently none; the return type allows for a listener that fails permanently.
pub async fn serve_on(listener: TcpListener, router: Router) -> io::Result<()> {
    serve_limited(listener, router, Limits::default()).await
}

/// As [`serve_on`], with limits on the clients.
///
/// # Errors
/// As [`serve_on`].
pub async fn serve_limited(
    listener: TcpListener,
    router: Router,
    limits: Limits,
) -> io::Result<()> {
    let mut clients = Clients::new(limits.clients);
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                let (has_room, closed) = clients.make_room();
                if let Some(meter) = limits.meter.as_ref().filter(|_| closed || !has_room) {
                    meter.record_excess();
                }
                if !has_room {
                    continue;
                }
                let state = ClientState::new(Cell::new(Activity::Waiting(Instant::now())));
                let connection = Connection {
                    account: limits
                        .meter
                        .as_ref()
                        .map(|meter| meter.account(stream.clone())),
                    stream,
                    body_bytes: limits.body_bytes,
                    state: Rc::clone(&state),
                };
                let task = compio::runtime::spawn(connection.serve(router.clone()));
                clients.add(state, task);
            }
            Err(cause) if cause.kind() == io::ErrorKind::ConnectionAborted => {}
            // Without free file descriptors `accept` fails immediately. Other connections may
            // close during the pause.
            Err(_cause) => compio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Pause after a failed accept.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);
