//! Execution slots, which limit concurrent statements. Waiters queue in FIFO order.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
};

use futures_channel::oneshot;

/// Slots of a member.
#[derive(Debug)]
pub struct Slots {
    free: Cell<u32>,
    queue: RefCell<VecDeque<oneshot::Sender<Slot>>>,
}

/// Permission to run one statement, released on drop.
#[derive(Debug)]
pub struct Slot {
    slots: Option<Rc<Slots>>,
}

impl Slots {
    /// Creates `count` free slots.
    pub fn new(count: u32) -> Rc<Self> {
        Rc::new(Self {
            free: Cell::new(count),
            queue: RefCell::default(),
        })
    }

    /// Number of free slots and of waiting statements.
    pub fn counts(&self) -> (u32, usize) {
        let queue = self.queue.borrow();
        let waiting = queue.iter().filter(|waiter| !waiter.is_canceled()).count();
        (self.free.get(), waiting)
    }

    /// Acquires a slot if one is free.
    pub fn try_acquire(self: &Rc<Self>) -> Option<Slot> {
        let remaining = self.free.get().checked_sub(1)?;
        self.free.set(remaining);
        Some(Slot {
            slots: Some(Rc::clone(self)),
        })
    }

    /// Waits for a slot. Dropping the future cancels the wait.
    pub async fn acquire(self: &Rc<Self>) -> Slot {
        if let Some(slot) = self.try_acquire() {
            return slot;
        }
        let (sender, receiver) = oneshot::channel();
        self.queue.borrow_mut().push_back(sender);
        receiver.await.expect("the queue outlives its waiters")
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(slots) = self.slots.take() else {
            return;
        };
        let mut slot = Self {
            slots: Some(Rc::clone(&slots)),
        };
        loop {
            let next = slots.queue.borrow_mut().pop_front();
            let Some(waiter) = next else {
                slot.slots = None;
                slots.free.set(slots.free.get() + 1);
                return;
            };
            match waiter.send(slot) {
                Ok(()) => return,
                // The waiter was cancelled.
                Err(returned) => slot = returned,
            }
        }
    }
}
