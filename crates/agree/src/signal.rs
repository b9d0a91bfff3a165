//! Notification of tasks that wait for a change of shared state.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    task::{Poll, Waker},
};

/// Notifies waiting tasks, all on one thread.
#[derive(Debug, Default)]
pub struct Signal {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Signal {
    /// Wakes all waiting tasks.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        let waiting = std::mem::take(&mut *self.wakers.borrow_mut());
        for waker in waiting {
            waker.wake();
        }
    }

    /// Completes at the first notification after this call, even when polled later.
    pub fn changed(&self) -> impl Future<Output = ()> + '_ {
        let seen = self.count.get();
        poll_fn(move |context| {
            if self.count.get() != seen {
                return Poll::Ready(());
            }
            let mut waiting = self.wakers.borrow_mut();
            if !waiting.iter().any(|waker| waker.will_wake(context.waker())) {
                waiting.push(context.waker().clone());
            }
            Poll::Pending
        })
    }
}
