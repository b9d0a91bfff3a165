//! Notification of tasks on the same thread that wait for a change.

use std::{
    cell::{Cell, RefCell},
    pin::Pin,
    task::{Context, Poll, Waker},
};

use base::Map;

/// A counter of changes that tasks can wait on.
#[derive(Debug, Default)]
pub struct Notify {
    count: Cell<u64>,
    next_id: Cell<u64>,
    wakers: RefCell<Map<u64, Waker>>,
}

impl Notify {
    /// Number of changes so far, for [`Notify::changed_after`].
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Number of waiting tasks.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.wakers.borrow().len()
    }

    /// Reports a change and wakes all waiting tasks.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        for (_, waker) in self.wakers.take() {
            waker.wake();
        }
    }

    /// Waits until there have been more than `count` changes.
    pub fn changed_after(&self, count: u64) -> ChangedAfter<'_> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        ChangedAfter {
            notify: self,
            count,
            id,
        }
    }
}

/// Future that waits for a change. Dropping it removes its waker, so polls that time out don't
/// accumulate wakers.
#[derive(Debug)]
pub struct ChangedAfter<'a> {
    notify: &'a Notify,
    count: u64,
    id: u64,
}

impl Future for ChangedAfter<'_> {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.notify.count.get() > self.count {
            return Poll::Ready(());
        }
        let mut wakers = self.notify.wakers.borrow_mut();
        wakers.insert(self.id, cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for ChangedAfter<'_> {
    fn drop(&mut self) {
        self.notify.wakers.borrow_mut().remove(&self.id);
    }
}
