//! Two-phase locks of read-write transactions, on tables and rows.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use base::{Map, Set};
use event_listener::{Event, EventListener};

use crate::{
    exec::Need,
    refusal::Refusal,
    table::{Key, TableName},
};

/// How long a statement waits for a lock.
pub const LOCK_WAIT: Duration = Duration::from_secs(5);

/// Number of a transaction.
type Owner = u64;
/// A table, or a row of it.
type Resource = (TableName, Option<Key>);

/// Strength of a lock; the intentions are on tables whose rows are locked one by one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    IntendShared,
    IntendExclusive,
    Shared,
    Exclusive,
}

impl Mode {
    const fn conflicts(self, other: Self) -> bool {
        match (self, other) {
            (Self::Exclusive, _)
            | (_, Self::Exclusive)
            | (Self::Shared, Self::IntendExclusive)
            | (Self::IntendExclusive, Self::Shared) => true,
            (Self::IntendShared | Self::IntendExclusive | Self::Shared, _) => false,
        }
    }
}

/// Locks of all transactions.
#[derive(Debug, Default)]
pub struct Locks {
    held: RefCell<Map<Resource, Vec<(Owner, Mode)>>>,
    /// Who waits for whom.
    waits: RefCell<Map<Owner, Vec<Owner>>>,
    released: Event,
    last: Cell<Owner>,
}

impl Locks {
    /// Number of locked tables and rows, and of waiting transactions.
    pub fn counts(&self) -> (usize, usize) {
        (self.held.borrow().len(), self.waits.borrow().len())
    }

    /// Starts the locks of a transaction.
    pub fn owner(self: &Rc<Self>) -> Held {
        self.last.set(self.last.get() + 1);
        Held {
            locks: Rc::clone(self),
            owner: self.last.get(),
            resources: Vec::new(),
        }
    }

    fn grant(&self, owner: Owner, resource: &Resource, mode: Mode) -> Result<bool, Vec<Owner>> {
        let mut held = self.held.borrow_mut();
        let holders = held.entry(resource.clone()).or_default();
        let others: Vec<_> = holders
            .iter()
            .filter(|(other, taken)| *other != owner && taken.conflicts(mode))
            .map(|(other, _taken)| *other)
            .collect();
        if !others.is_empty() {
            return Err(others);
        }
        let fresh = !holders.iter().any(|(other, _taken)| *other == owner);
        if !holders.contains(&(owner, mode)) {
            holders.push((owner, mode));
        }
        Ok(fresh)
    }

    /// Whether `owner` would wait for itself through others.
    fn deadlock(&self, owner: Owner, others: &[Owner]) -> bool {
        let waits = self.waits.borrow();
        let mut seen = Set::default();
        let mut next = others.to_vec();
        while let Some(other) = next.pop() {
            if other == owner {
                return true;
            }
            if seen.insert(other) {
                next.extend(waits.get(&other).into_iter().flatten());
            }
        }
        false
    }
}

/// Locks of one transaction, released when it is dropped.
#[derive(Debug)]
pub struct Held {
    locks: Rc<Locks>,
    owner: Owner,
    resources: Vec<Resource>,
}

impl Held {
    /// Takes the locks of a statement without waiting; returns what to wait for when one is held
    /// by another transaction. Locks taken so far are kept in either case.
    ///
    /// # Errors
    /// 40P01 when waiting would never end.
    pub fn take(&mut self, need: &Need) -> Result<Option<EventListener>, Refusal> {
        let whole = |mode| vec![((Rc::clone(&need.table), None), mode)];
        let wanted = match (&need.keys, need.exclusive) {
            (None, true) => whole(Mode::Exclusive),
            (None, false) => whole(Mode::Shared),
            (Some(keys), exclusive) => {
                let (table, row) = if exclusive {
                    (Mode::IntendExclusive, Mode::Exclusive)
                } else {
                    (Mode::IntendShared, Mode::Shared)
                };
                let mut wanted = whole(table);
                wanted.extend(
                    keys.iter()
                        .map(|key| ((Rc::clone(&need.table), Some(Rc::clone(key))), row)),
                );
                wanted
            }
        };
        for (resource, mode) in wanted {
            match self.locks.grant(self.owner, &resource, mode) {
                Ok(true) => self.resources.push(resource),
                Ok(false) => {}
                Err(others) => {
                    if self.locks.deadlock(self.owner, &others) {
                        self.locks.waits.borrow_mut().remove(&self.owner);
                        return Err(Refusal::new("40P01", "deadlock detected"));
                    }
                    self.locks.waits.borrow_mut().insert(self.owner, others);
                    return Ok(Some(self.locks.released.listen()));
                }
            }
        }
        self.locks.waits.borrow_mut().remove(&self.owner);
        Ok(None)
    }

    /// Takes the locks of a statement, waiting for other transactions.
    ///
    /// # Errors
    /// 40P01 on a deadlock, 55P03 when a lock stays held for too long.
    pub async fn wait(&mut self, need: &Need) -> Result<(), Refusal> {
        let waiting = async {
            while let Some(released) = self.take(need)? {
                released.await;
            }
            Ok(())
        };
        let outcome = compio::time::timeout(LOCK_WAIT, waiting).await;
        self.locks.waits.borrow_mut().remove(&self.owner);
        outcome.unwrap_or_else(|_elapsed| {
            Err(Refusal::new(
                "55P03",
                "canceling statement due to lock timeout",
            ))
        })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.locks.waits.borrow_mut().remove(&self.owner);
        if self.resources.is_empty() {
            return;
        }
        let mut held = self.locks.held.borrow_mut();
        for resource in &self.resources {
            if let Some(holders) = held.get_mut(resource) {
                holders.retain(|(owner, _mode)| *owner != self.owner);
                if holders.is_empty() {
                    held.remove(resource);
                }
            }
        }
        drop(held);
        self.locks.released.notify(usize::MAX);
    }
}
