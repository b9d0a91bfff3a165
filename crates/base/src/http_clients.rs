//! Limit on the connections of HTTP clients to one address.

use std::{cell::Cell, collections::VecDeque, rc::Rc, time::Instant};

use compio::runtime::JoinHandle;

/// What a client is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Activity {
    /// The process waits for a request, or the rest of one, since then.
    Waiting(Instant),
    /// Its request is being answered.
    Served,
    /// Its connection has ended.
    Ended,
}

/// State of a client, shared with its connection.
pub(crate) type ClientState = Rc<Cell<Activity>>;

/// Connections to one address, oldest first.
#[derive(Debug)]
pub(crate) struct Clients {
    limit: usize,
    open: VecDeque<(ClientState, JoinHandle<()>)>,
}

impl Clients {
    pub(crate) const fn new(limit: usize) -> Self {
        Self {
            limit,
            open: VecDeque::new(),
        }
    }

    /// Makes room for another connection, if need be by closing the one whose request is incomplete
    /// for the longest. Returns whether there is room, and whether one was closed.
    pub(crate) fn make_room(&mut self) -> (bool, bool) {
        self.open
            .retain(|(state, _)| state.get() != Activity::Ended);
        if self.open.len() < self.limit {
            return (true, false);
        }
        let waiting = |(i, (state, _)): (usize, &(ClientState, _))| match state.get() {
            Activity::Waiting(since) => Some((since, i)),
            Activity::Served | Activity::Ended => None,
        };
        let longest = self.open.iter().enumerate().filter_map(waiting).min();
        // Dropping the handle closes the connection.
        let closed = longest.and_then(|(_, i)| self.open.remove(i)).is_some();
        (closed, closed)
    }

    pub(crate) fn add(&mut self, state: ClientState, task: JoinHandle<()>) {
        self.open.push_back((state, task));
    }
}
