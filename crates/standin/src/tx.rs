//! Transactions of a session.

use crate::{
    exec::Work,
    locks::Held,
    refusal::Refusal,
    store::{Snapshot, Store},
    table::Tables,
};

/// A running transaction.
///
/// One that may write locks what it touches until it ends. A read-only one, or one on a replica,
/// reads a snapshot instead. Its own changes stay with it until it commits.
#[derive(Debug, Default)]
pub struct Tx {
    /// Whether BEGIN opened it; otherwise it ends with the message or at Sync.
    pub block: bool,
    /// Whether a statement failed, so that only its end is accepted.
    pub failed: bool,
    /// Whether BEGIN READ ONLY opened it.
    pub read_only: bool,
    /// Snapshot that it reads.
    pub snapshot: Option<Snapshot>,
    /// Locks that it holds.
    pub held: Option<Held>,
    /// Changes with the tables that they apply to, and the offset of those tables.
    work: Option<(u64, Work)>,
    /// Count of role changes of the store when the first lock was taken.
    epoch: u64,
}

impl Tx {
    /// Tables as the transaction sees them, when they differ from the committed ones.
    pub fn tables(&self) -> Option<&Tables> {
        match (&self.work, &self.snapshot) {
            (Some((_, work)), _) => Some(&work.tables),
            (None, Some(snapshot)) => Some(&snapshot.tables),
            (None, None) => None,
        }
    }

    /// Whether the transaction changed anything.
    pub fn has_changes(&self) -> bool {
        self.work
            .as_ref()
            .is_some_and(|(_, work)| !work.changes.is_empty())
    }

    /// Remembers the state of the store that the locks belong to.
    pub const fn enter(&mut self, epoch: u64) {
        if self.held.is_none() {
            self.epoch = epoch;
        }
    }

    /// Checks that the member did not change its role since the first lock.
    ///
    /// # Errors
    /// 40001 when it did.
    pub fn check(&self, store: &Store) -> Result<(), Refusal> {
        if self.held.is_some() && self.epoch != store.epoch() {
            return Err(Refusal::new(
                "40001",
                "the role of this member changed during the transaction; run it again",
            ));
        }
        Ok(())
    }

    /// Brings the tables up to the committed ones, with the changes made so far.
    pub fn refresh(&mut self, store: &Store) -> &mut Work {
        let offset = store.position().offset;
        let (base, work) = self.work.get_or_insert_with(|| {
            let work = Work {
                tables: store.tables().clone(),
                changes: Vec::new(),
            };
            (offset, work)
        });
        if *base != offset {
            *base = offset;
            work.tables = store.tables().clone();
            for change in &work.changes {
                work.tables.apply(change);
            }
        }
        work
    }

    /// Commits the changes, if there are any, and returns whether there were.
    ///
    /// # Errors
    /// 25006 or 40001 when the member is no longer the primary that the changes were made on.
    pub fn commit(mut self, store: &mut Store) -> Result<bool, Refusal> {
        if !self.has_changes() {
            return Ok(false);
        }
        if !store.is_primary() {
            return Err(read_only("COMMIT"));
        }
        self.check(store)?;
        self.refresh(store);
        if let Some((_, work)) = self.work.take() {
            store.commit(work);
        }
        Ok(true)
    }
}

/// A write on a replica or in a read-only transaction.
pub fn read_only(verb: &str) -> Refusal {
    Refusal::new(
        "25006",
        format!("cannot execute {verb} in a read-only transaction"),
    )
}
