//! Periodic work of a pool.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use super::{OPEN_TIMEOUT, PERMIT_MARGIN, Pool, idle::Conn, state::count};
use crate::dialect::{Client as _, Dialect};

/// Idle time after which a connection is checked.
const CHECK_AFTER: Duration = Duration::from_secs(5);
/// Idle time after which a connection of the base share is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Like [`IDLE_TIMEOUT`], for databases that report overload. It is short because such a database
/// still counts the former connections for some seconds after a power failure of a host, and new
/// ones must fit beside them.
const LEARNED_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Like [`LEARNED_IDLE_TIMEOUT`], for connections beyond an equal share, for which other processes
/// may be waiting.
const EXCESS_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a lent connection is closed, so that other processes can have it.
const LENT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Length of the windows in which the peak demand is measured.
const PEAK_WINDOW: Duration = Duration::from_millis(500);

impl<D: Dialect> Pool<D> {
    /// Performs the periodic work: closes connections that were idle for too long or exceed the
    /// share, checks idle connections, and removes requests that gave up.
    pub fn maintain(self: &Rc<Self>, now: Instant) {
        let mut closing = Vec::new();
        let mut checking = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            state.queue.retain(|request| !request.sender.is_canceled());
            if now.saturating_duration_since(state.window_start) >= PEAK_WINDOW {
                state.peak_demand = (count(state.held.len()), state.peak_demand.0);
                state.window_start = now;
            }
            let base = state.share.base();
            let mut total = state.total();
            let mut retained = Vec::new();
            for conn in std::mem::take(&mut state.idle.0) {
                let idle = now.saturating_duration_since(conn.last_used);
                let limit = match &state.learned {
                    Some(_) if total > base.max(1) => EXCESS_IDLE_TIMEOUT,
                    Some(_) => LEARNED_IDLE_TIMEOUT,
                    None if total > base => LENT_IDLE_TIMEOUT,
                    None => IDLE_TIMEOUT,
                };
                if idle >= limit || total > state.target(now) {
                    total -= 1;
                    closing.push(conn);
                } else if idle >= CHECK_AFTER && now - conn.last_checked >= CHECK_AFTER {
                    checking.push(conn);
                } else {
                    retained.push(conn);
                }
            }
            state.idle.0 = retained;
            for conn in &checking {
                state.add_pending(&conn.owner);
            }
            let limit = match &state.learned {
                // The database itself refuses connections that it has no room for.
                Some(_) => u32::MAX,
                None => state.share.limit(now, PERMIT_MARGIN),
            };
            let over = total.saturating_sub(limit);
            for held in state.held.values().take(over as usize) {
                held.shut_down();
            }
        }
        drop(closing);
        for conn in checking {
            compio::runtime::spawn(Rc::clone(self).check(conn)).detach();
        }
        self.dispatch(now);
    }

    /// Checks an idle connection with an empty exchange, which uses no slot.
    async fn check(self: Rc<Self>, mut conn: Conn<D::Client>) {
        let answer = compio::time::timeout(OPEN_TIMEOUT, conn.client.check()).await;
        let now = Instant::now();
        {
            let mut state = self.state.borrow_mut();
            state.remove_pending(&conn.owner);
            if matches!(answer, Ok(true)) && !state.draining {
                conn.last_checked = now;
                state.idle.0.insert(0, conn);
            }
        }
        self.dispatch(now);
    }
}
