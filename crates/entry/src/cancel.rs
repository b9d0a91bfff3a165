//! Cancel requests that arrive at an entry process other than the session's.
//!
//! A load balancer sends a cancel request to any entry process. The control hosts relay it over the
//! connections that the entry processes keep to them anyway.

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

/// Time limit of one call. A driver waits until the connection of its cancel request is closed.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Burst of cancel requests that may be relayed, and the rate per second after it. Anyone can send
/// them, and each costs the control hosts a call; only a few hundred sessions run a query at once.
const RELAYS_PER_SECOND: f64 = 50.0;

/// Relays cancel requests over the connections to the control hosts.
pub(crate) struct CancelRelay {
    links: RefCell<Map<SocketAddr, control::Client>>,
    tokens: Cell<f64>,
    refilled_at: Cell<Option<Instant>>,
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
            tokens: Cell::new(RELAYS_PER_SECOND),
            refilled_at: Cell::default(),
        }
    }
}

/// A registered control host; dropping this removes it.
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
        call.set_canceller(capnp_rpc::new_client(CancelReceiver { registry }));
        match compio::time::timeout(CALL_TIMEOUT, request.send().promise).await {
            Ok(Ok(_listening)) => {}
            // A control host of an earlier version lacks the call and is used without it.
            Ok(Err(cause)) if cause.kind == capnp::ErrorKind::Unimplemented => {
                debug!(network.log, "control host does not relay cancel requests";
                    "address" => %address);
            }
            Ok(Err(cause)) => return Err(cause.to_string()),
            Err(_elapsed) => return Err("no answer to the listen call".to_owned()),
        }
        self.links.borrow_mut().insert(address, control.clone());
        Ok(LinkGuard {
            relay: self,
            address,
        })
    }

    /// Relays a cancel request through the control hosts, up to the first one that reaches an entry
    /// process.
    pub(crate) async fn relay(&self, pid: i32, secret: i32, now: Instant) {
        if !self.take_token(now) {
            return;
        }
        let links: Vec<_> = self.links.borrow().values().cloned().collect();
        for link in links {
            let mut request = link.cancel_request();
            request.get().set_pid(pid);
            request.get().set_secret(secret);
            let answer = compio::time::timeout(CALL_TIMEOUT, request.send().promise).await;
            if let Ok(Ok(answer)) = answer
                && answer.get().is_ok_and(|answer| answer.get_reached() > 0)
            {
                return;
            }
        }
    }

    /// Takes a token from the bucket; returns false if it is empty.
    fn take_token(&self, now: Instant) -> bool {
        let since = self.refilled_at.replace(Some(now));
        let passed = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let tokens =
            (self.tokens.get() + passed.as_secs_f64() * RELAYS_PER_SECOND).min(RELAYS_PER_SECOND);
        let available = tokens >= 1.0;
        self.tokens
            .set(if available { tokens - 1.0 } else { tokens });
        available
    }
}

/// Receives cancel requests for the sessions of this process.
struct CancelReceiver {
    registry: Rc<Registry>,
}

impl canceller::Server for CancelReceiver {
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
