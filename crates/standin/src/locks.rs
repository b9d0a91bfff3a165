//! Two-phase locks of read-write transactions, on tables and rows.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use base::{Map, Set};
use event_listener::{Event, EventListener};

use crate::{
    exec::LockRequest,
    sql_error::SqlError,
    table::{Key, TableName},
};

/// Maximum time that a statement waits for its locks.
pub const LOCK_TIMEOUT: Duration = Duration::from_secs(5);

/// Id of the transaction that owns a lock.
type Owner = u64;
/// A table, or a row of it.
type Resource = (TableName, Option<Key>);

/// Lock mode. Intent modes are taken on a table whose rows are locked individually.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    IntentShared,
    IntentExclusive,
    Shared,
    Exclusive,
}

impl Mode {
    const fn conflicts(self, other: Self) -> bool {
        match (self, other) {
            (Self::Exclusive, _)
            | (_, Self::Exclusive)
            | (Self::Shared, Self::IntentExclusive)
            | (Self::IntentExclusive, Self::Shared) => true,
            (Self::IntentShared | Self::IntentExclusive | Self::Shared, _) => false,
        }
    }
}

/// Locks of all transactions.
#[derive(Debug, Default)]
pub struct Locks {
    held: RefCell<Map<Resource, Vec<(Owner, Mode)>>>,
    /// Wait-for graph: the owners that block each waiting owner.
    wait_for: RefCell<Map<Owner, Vec<Owner>>>,
    released: Event,
    last_owner: Cell<Owner>,
}

impl Locks {
    /// Number of locked tables and rows, and of waiting transactions.
    pub fn counts(&self) -> (usize, usize) {
        (self.held.borrow().len(), self.wait_for.borrow().len())
    }

    /// Creates an empty set of locks for a new transaction.
    pub fn new_owner(self: &Rc<Self>) -> HeldLocks {
        self.last_owner.set(self.last_owner.get() + 1);
        HeldLocks {
            locks: Rc::clone(self),
            owner: self.last_owner.get(),
            resources: Vec::new(),
        }
    }

    fn try_grant(&self, owner: Owner, resource: &Resource, mode: Mode) -> Result<bool, Vec<Owner>> {
        let mut held = self.held.borrow_mut();
        let holders = held.entry(resource.clone()).or_default();
        let blockers: Vec<_> = holders
            .iter()
            .filter(|(other, taken)| *other != owner && taken.conflicts(mode))
            .map(|(other, _taken)| *other)
            .collect();
        if !blockers.is_empty() {
            return Err(blockers);
        }
        let is_new = !holders.iter().any(|(other, _taken)| *other == owner);
        if !holders.contains(&(owner, mode)) {
            holders.push((owner, mode));
        }
        Ok(is_new)
    }

    /// Whether waiting for `blockers` would close a cycle in the wait-for graph.
    fn would_deadlock(&self, owner: Owner, blockers: &[Owner]) -> bool {
        let wait_for = self.wait_for.borrow();
        let mut seen = Set::default();
        let mut next = blockers.to_vec();
        while let Some(other) = next.pop() {
            if other == owner {
                return true;
            }
            if seen.insert(other) {
                next.extend(wait_for.get(&other).into_iter().flatten());
            }
        }
        false
    }
}

/// Locks of one transaction, released when it is dropped.
#[derive(Debug)]
pub struct HeldLocks {
    locks: Rc<Locks>,
    owner: Owner,
    resources: Vec<Resource>,
}

impl HeldLocks {
    /// Acquires the locks of a statement without waiting. When another transaction holds one of
    /// them, returns a listener for the next release. Locks acquired so far are kept either way.
    ///
    /// # Errors
    /// 40P01 when waiting would be a deadlock.
    pub fn try_acquire(
        &mut self,
        request: &LockRequest,
    ) -> Result<Option<EventListener>, SqlError> {
        let on_table = |mode| vec![((Rc::clone(&request.table), None), mode)];
        let requested = match (&request.keys, request.exclusive) {
            (None, true) => on_table(Mode::Exclusive),
            (None, false) => on_table(Mode::Shared),
            (Some(keys), exclusive) => {
                let (table, row) = if exclusive {
                    (Mode::IntentExclusive, Mode::Exclusive)
                } else {
                    (Mode::IntentShared, Mode::Shared)
                };
                let mut requested = on_table(table);
                requested.extend(
                    keys.iter()
                        .map(|key| ((Rc::clone(&request.table), Some(Rc::clone(key))), row)),
                );
                requested
            }
        };
        for (resource, mode) in requested {
            match self.locks.try_grant(self.owner, &resource, mode) {
                Ok(true) => self.resources.push(resource),
                Ok(false) => {}
                Err(blockers) => {
                    if self.locks.would_deadlock(self.owner, &blockers) {
                        self.locks.wait_for.borrow_mut().remove(&self.owner);
                        return Err(SqlError::new("40P01", "deadlock detected"));
                    }
                    self.locks
                        .wait_for
                        .borrow_mut()
                        .insert(self.owner, blockers);
                    return Ok(Some(self.locks.released.listen()));
                }
            }
        }
        self.locks.wait_for.borrow_mut().remove(&self.owner);
        Ok(None)
    }

    /// Acquires the locks of a statement, waiting for other transactions.
    ///
    /// # Errors
    /// 40P01 on a deadlock, 55P03 after [`LOCK_TIMEOUT`].
    pub async fn acquire(&mut self, request: &LockRequest) -> Result<(), SqlError> {
        let waiting = async {
            while let Some(released) = self.try_acquire(request)? {
                released.await;
            }
            Ok(())
        };
        let outcome = compio::time::timeout(LOCK_TIMEOUT, waiting).await;
        self.locks.wait_for.borrow_mut().remove(&self.owner);
        outcome.unwrap_or_else(|_elapsed| {
            Err(SqlError::new(
                "55P03",
                "canceling statement due to lock timeout",
            ))
        })
    }
}

impl Drop for HeldLocks {
    fn drop(&mut self) {
        self.locks.wait_for.borrow_mut().remove(&self.owner);
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
