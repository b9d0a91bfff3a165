//! HTTP side of every process: `/metrics`, `/dump` and `/ready`.

use std::{io, net::SocketAddr, rc::Rc};

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

/// What a process tells about itself.
#[derive(Clone)]
pub struct Report {
    /// Metrics of the process.
    pub metrics: Registry,
    /// Whole state of the process.
    pub dump: Rc<dyn Fn() -> Value>,
    /// Whether a balancer may send new work.
    pub ready: Rc<dyn Fn() -> bool>,
}

impl std::fmt::Debug for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Report").finish_non_exhaustive()
    }
}

/// Routes that every process serves; a daemon merges its own into them.
///
/// A process runs on one thread, so that the state may sit behind [`SendWrapper`].
pub fn routes(report: Report) -> Router {
    let report = SendWrapper::new(report);
    let (metrics, dump, ready) = (report.clone(), report.clone(), report);
    let router = Router::new();
    #[cfg(feature = "failpoints")]
    let router = router.route("/failpoint", axum::routing::post(set_point));
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

/// Sets a fault point of the running process from `name=actions`, as the variable `FAILPOINTS`
/// does at its start.
#[cfg(feature = "failpoints")]
async fn set_point(setting: String) -> (StatusCode, String) {
    let result = match setting.split_once('=') {
        Some((name, actions)) => fail::cfg(name.trim(), actions.trim()),
        None => Err("write name=actions".to_owned()),
    };
    match result {
        Ok(()) => (StatusCode::OK, "set\n".to_owned()),
        Err(cause) => (StatusCode::BAD_REQUEST, cause),
    }
}

/// Metrics as text.
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
pub async fn serve(address: SocketAddr, router: Router) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    serve_on(listener, router).await
}

/// Serves `router` on a bound listener until the process ends.
///
/// # Errors
/// None now; the type leaves room for a listener that fails for good.
pub async fn serve_on(listener: TcpListener, router: Router) -> io::Result<()> {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                compio::runtime::spawn(crate::http1::answer(stream, router.clone())).detach();
            }
            Err(cause) if cause.kind() == io::ErrorKind::ConnectionAborted => {}
            // Without descriptors an accept fails at once; others may end meanwhile.
            Err(_cause) => compio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Pause after a failed accept.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);
