//! Entry processes that receive cancel requests.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use base::Map;
use compio::time::timeout;
use futures_util::future::join_all;
use proto::schema::canceller;
use route::process_number::{mark, mark_of};

/// Limit on passing one request on.
const CALL: Duration = Duration::from_millis(800);
/// Requests that are passed on at once. More are dropped: they are best-effort, and renewals of the
/// write lease share the process.
const RUNNING: usize = 200;

/// Entry processes that receive cancel requests, by run.
#[derive(Default)]
pub struct Cancellers {
    listening: RefCell<Map<u64, (u64, canceller::Client)>>,
    last: Cell<u64>,
    running: Cell<usize>,
}

impl std::fmt::Debug for Cancellers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Cancellers")
            .field("listening", &self.listening.borrow().len())
            .finish_non_exhaustive()
    }
}

/// An entry process that receives until this is dropped.
#[derive(Debug)]
pub struct Registration {
    cancellers: Rc<Cancellers>,
    run: u64,
    number: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut listening = self.cancellers.listening.borrow_mut();
        // A later connection of the same run may have taken its place.
        if listening
            .get(&self.run)
            .is_some_and(|(number, _)| *number == self.number)
        {
            listening.remove(&self.run);
        }
    }
}

impl Cancellers {
    /// Adds an entry process, in place of an earlier connection of the same run.
    pub fn register(self: &Rc<Self>, run: u64, canceller: canceller::Client) -> Registration {
        let number = self.last.get() + 1;
        self.last.set(number);
        self.listening.borrow_mut().insert(run, (number, canceller));
        Registration {
            cancellers: Rc::clone(self),
            run,
            number,
        }
    }

    /// Number of entry processes that receive.
    #[must_use]
    pub fn len(&self) -> usize {
        self.listening.borrow().len()
    }

    /// Whether no entry process receives.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Passes a request on to the entry processes whose mark the process number carries, and
    /// returns how many answered. They compare the secret.
    pub async fn cancel(&self, pid: i32, secret: i32) -> u32 {
        if self.running.get() >= RUNNING {
            return 0;
        }
        let wanted = mark_of(pid);
        let calls: Vec<_> = self
            .listening
            .borrow()
            .iter()
            .filter(|(run, _)| mark(**run) == wanted)
            .map(|(_, (_, canceller))| {
                let mut request = canceller.cancel_request();
                request.get().set_pid(pid);
                request.get().set_secret(secret);
                timeout(CALL, request.send().promise)
            })
            .collect();
        self.running.set(self.running.get() + 1);
        let answers = join_all(calls).await;
        self.running.set(self.running.get() - 1);
        let reached = answers.iter().filter(|answer| matches!(answer, Ok(Ok(_))));
        u32::try_from(reached.count()).unwrap_or(u32::MAX)
    }
}
