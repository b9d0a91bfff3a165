//! Wakes the tasks of this thread that wait for a change.

use std::{
    cell::{Cell, RefCell},
    pin::Pin,
    task::{Context, Poll, Waker},
};

use base::Map;

/// A counter that tasks can wait on.
#[derive(Debug, Default)]
pub struct Notify {
    count: Cell<u64>,
    ids: Cell<u64>,
    wakers: RefCell<Map<u64, Waker>>,
}

impl Notify {
    /// Number of changes so far; pass it to [`Notify::changed_after`].
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

    /// Waits until there were more changes than `count`.
    pub fn changed_after(&self, count: u64) -> ChangedAfter<'_> {
        let id = self.ids.get();
        self.ids.set(id + 1);
        ChangedAfter {
            notify: self,
            count,
            id,
        }
    }
}

/// A wait for a change. Dropping it leaves nothing behind, so that polls that end without a change
/// do not add up.
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
