//! Wakes the tasks of this thread that wait for a change.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    task::{Poll, Waker},
};

/// A counter that tasks can wait on.
#[derive(Debug, Default)]
pub struct Notify {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Number of changes so far; pass it to [`Notify::after`].
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Reports a change and wakes all waiting tasks.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Waits until there were more changes than `count`.
    pub async fn after(&self, count: u64) {
        poll_fn(|context| {
            if self.count.get() > count {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(context.waker())) {
                wakers.push(context.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
