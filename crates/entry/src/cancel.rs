//! Cancel requests that arrive at another entry process than the session's.
//!
//! A load balancer sends a cancel request to any entry process. The control hosts pass it on over
//! the connections that the entry processes hold to them anyway.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use base::Map;
use capnp::Error;
use proto::schema::{canceller, control};
use slog::debug;

use crate::{dialect::Dialect, network::Network, registry::Registry};

/// Limit on one call. A driver waits for the connection of its cancel request to close.
const CALL: Duration = Duration::from_secs(1);
/// Cancel requests that are passed on at once, and in each second after that. Anyone can send them,
/// and each costs the control hosts a call; sessions that run at once are a few hundred.
const RATE: f64 = 50.0;

/// Links over which cancel requests are passed on.
pub(crate) struct CancelRelay {
    links: RefCell<Map<SocketAddr, control::Client>>,
    left: Cell<f64>,
    filled: Cell<Option<Instant>>,
}

impl std::fmt::Debug for CancelRelay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CancelRelay").finish_non_exhaustive()
    }
}

impl Default for CancelRelay {
    fn default() -> Self {
        Self {
            links: RefCell::default(),
            left: Cell::new(RATE),
            filled: Cell::default(),
        }
    }
}

/// A link that is used until this is dropped.
pub(crate) struct LinkGuard<'a> {
    relay: &'a CancelRelay,
    address: SocketAddr,
}

impl Drop for LinkGuard<'_> {
    fn drop(&mut self) {
        self.relay.links.borrow_mut().remove(&self.address);
    }
}

impl CancelRelay {
    /// Registers a control host as a relay, and offers to receive cancel requests from it.
    pub(crate) async fn register<'a, D: Dialect>(
        &'a self,
        network: &Network<D>,
        address: SocketAddr,
        control: &control::Client,
    ) -> Result<LinkGuard<'a>, String> {
        let mut request = control.listen_request();
        let registry = Rc::clone(&network.registry);
        let mut call = request.get();
        call.set_run(network.run);
        call.set_canceller(capnp_rpc::new_client(Receiver { registry }));
        match compio::time::timeout(CALL, request.send().promise).await {
            Ok(Ok(_listening)) => {}
            // A control host of an earlier version doesn't know the call and is used without it.
            Ok(Err(cause)) if cause.kind == capnp::ErrorKind::Unimplemented => {
                debug!(network.log, "control host passes no cancel requests on";
                    "address" => %address);
            }
            Ok(Err(cause)) => return Err(cause.to_string()),
            Err(_elapsed) => return Err("listen: no answer".to_owned()),
        }
        self.links.borrow_mut().insert(address, control.clone());
        Ok(LinkGuard {
            relay: self,
            address,
        })
    }

    /// Passes a cancel request on over the first control host that reaches an entry process.
    pub(crate) async fn relay(&self, pid: i32, secret: i32, now: Instant) {
        if !self.take(now) {
            return;
        }
        let links: Vec<_> = self.links.borrow().values().cloned().collect();
        for link in links {
            let mut request = link.cancel_request();
            request.get().set_pid(pid);
            request.get().set_secret(secret);
            let answer = compio::time::timeout(CALL, request.send().promise).await;
            if let Ok(Ok(answer)) = answer
                && answer.get().is_ok_and(|answer| answer.get_reached() > 0)
            {
                return;
            }
        }
    }

    /// Takes one request of the rate; false when it is used up.
    fn take(&self, now: Instant) -> bool {
        let since = self.filled.replace(Some(now));
        let passed = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let left = (self.left.get() + passed.as_secs_f64() * RATE).min(RATE);
        let taken = left >= 1.0;
        self.left.set(if taken { left - 1.0 } else { left });
        taken
    }
}

/// Receives cancel requests for the sessions of this process.
struct Receiver {
    registry: Rc<Registry>,
}

impl canceller::Server for Receiver {
    async fn cancel(
        self: Rc<Self>,
        params: canceller::CancelParams,
        _results: canceller::CancelResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        self.registry
            .cancel(params.get_pid(), params.get_secret())
            .await;
        Ok(())
    }
}
