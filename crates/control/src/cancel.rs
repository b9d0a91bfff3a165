//! Cancel requests, and the entry processes that receive them.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use base::Map;
use compio::time::timeout;
use futures_util::future::join_all;
use proto::schema::canceller;
use route::process_id::{entry_tag, entry_tag_of};

/// Time limit on forwarding one request.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of requests forwarded concurrently. Further ones are dropped, because they are
/// best-effort and share the process with renewals of the write lease.
const MAX_RUNNING: usize = 200;

/// Entry processes registered for cancel requests, by run.
#[derive(Default)]
pub struct Cancellers {
    registered: RefCell<Map<u64, (u64, canceller::Client)>>,
    last_id: Cell<u64>,
    running: Cell<usize>,
}

impl std::fmt::Debug for Cancellers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Cancellers")
            .field("listening", &self.registered.borrow().len())
            .finish_non_exhaustive()
    }
}

/// Registration of an entry process for cancel requests. Dropping it ends the registration.
#[derive(Debug)]
pub struct Registration {
    cancellers: Rc<Cancellers>,
    run: u64,
    id: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut registered = self.cancellers.registered.borrow_mut();
        // A later connection of the same run may have replaced this registration.
        if registered
            .get(&self.run)
            .is_some_and(|(id, _)| *id == self.id)
        {
            registered.remove(&self.run);
        }
    }
}

impl Cancellers {
    /// Registers an entry process. This replaces an earlier registration of the same run.
    pub fn register(self: &Rc<Self>, run: u64, canceller: canceller::Client) -> Registration {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.registered.borrow_mut().insert(run, (id, canceller));
        Registration {
            cancellers: Rc::clone(self),
            run,
            id,
        }
    }

    /// Number of registered entry processes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.registered.borrow().len()
    }

    /// Whether no entry process is registered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Forwards a request to the entry processes whose tag is part of the process number `pid`.
    /// Returns how many answered. The entry processes check the secret.
    pub async fn cancel(&self, pid: i32, secret: i32) -> u32 {
        if self.running.get() >= MAX_RUNNING {
            return 0;
        }
        let wanted_tag = entry_tag_of(pid);
        let calls: Vec<_> = self
            .registered
            .borrow()
            .iter()
            .filter(|(run, _)| entry_tag(**run) == wanted_tag)
            .map(|(_, (_, canceller))| {
                let mut request = canceller.cancel_request();
                request.get().set_pid(pid);
                request.get().set_secret(secret);
                timeout(CALL_TIMEOUT, request.send().promise)
            })
            .collect();
        self.running.set(self.running.get() + 1);
        let answers = join_all(calls).await;
        self.running.set(self.running.get() - 1);
        let reached = answers.iter().filter(|answer| matches!(answer, Ok(Ok(_))));
        u32::try_from(reached.count()).unwrap_or(u32::MAX)
    }
}
