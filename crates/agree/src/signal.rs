//! Wakes tasks that wait for a change of shared state.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    task::{Poll, Waker},
};

#[derive(Debug, Default)]
pub struct Signal {
    count: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl Signal {
    /// Wakes every task that waits now.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
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
            let mut waiting = self.waiting.borrow_mut();
            if !waiting.iter().any(|waker| waker.will_wake(context.waker())) {
                waiting.push(context.waker().clone());
            }
            Poll::Pending
        })
    }
}
