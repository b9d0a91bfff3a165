//! Transactions of a session.

use crate::{
    exec::Workspace,
    locks::HeldLocks,
    sql_error::SqlError,
    store::{Snapshot, Store},
    table::Tables,
};

/// A running transaction.
///
/// A read-write transaction locks the rows and tables it uses until it ends. A read-only
/// transaction, or one on a replica, reads a snapshot. Uncommitted changes are visible only to the
/// transaction itself.
#[derive(Debug, Default)]
pub struct Tx {
    /// Whether it was opened with BEGIN; an implicit transaction ends with its query or at Sync.
    pub explicit: bool,
    /// Whether a statement failed; only COMMIT and ROLLBACK are accepted then.
    pub failed: bool,
    /// Whether it was opened with BEGIN READ ONLY.
    pub read_only: bool,
    /// Snapshot for reads; `None` for transactions that lock.
    pub snapshot: Option<Snapshot>,
    /// Locks held until the transaction ends.
    pub locks: Option<HeldLocks>,
    /// Uncommitted changes, with the log offset of the tables that they are based on.
    workspace: Option<(u64, Workspace)>,
    /// [`Store::epoch`] when the first lock was requested.
    epoch: u64,
}

impl Tx {
    /// Tables as the transaction sees them, when they differ from the committed ones.
    pub fn tables(&self) -> Option<&Tables> {
        match (&self.workspace, &self.snapshot) {
            (Some((_, workspace)), _) => Some(&workspace.tables),
            (None, Some(snapshot)) => Some(&snapshot.tables),
            (None, None) => None,
        }
    }

    /// Whether the transaction changed anything.
    pub fn has_changes(&self) -> bool {
        self.workspace
            .as_ref()
            .is_some_and(|(_, workspace)| !workspace.changes.is_empty())
    }

    /// Records the store epoch before the first lock is taken.
    pub const fn record_epoch(&mut self, epoch: u64) {
        if self.locks.is_none() {
            self.epoch = epoch;
        }
    }

    /// Checks that the member has not changed its role or truncated its log since the first lock.
    ///
    /// # Errors
    /// 40001 when it did.
    pub fn check_epoch(&self, store: &Store) -> Result<(), SqlError> {
        if self.locks.is_some() && self.epoch != store.epoch() {
            return Err(SqlError::new(
                "40001",
                "the role of this member changed during the transaction; run it again",
            ));
        }
        Ok(())
    }

    /// Reapplies the changes made so far to the latest committed tables.
    pub fn rebase(&mut self, store: &Store) -> &mut Workspace {
        let offset = store.position().offset;
        let (base, workspace) = self.workspace.get_or_insert_with(|| {
            let workspace = Workspace {
                tables: store.tables().clone(),
                changes: Vec::new(),
            };
            (offset, workspace)
        });
        if *base != offset {
            *base = offset;
            workspace.tables = store.tables().clone();
            for change in &workspace.changes {
                workspace.tables.apply(change);
            }
        }
        workspace
    }

    /// Commits the changes, if there are any, and returns whether there were.
    ///
    /// # Errors
    /// 25006 or 40001 when the member is no longer the primary that the changes were made on.
    pub fn commit(mut self, store: &mut Store) -> Result<bool, SqlError> {
        if !self.has_changes() {
            return Ok(false);
        }
        if !store.is_primary() {
            return Err(read_only_error("COMMIT"));
        }
        self.check_epoch(store)?;
        self.rebase(store);
        if let Some((_, workspace)) = self.workspace.take() {
            store.commit(workspace);
        }
        Ok(true)
    }
}

/// Error of a write on a replica or in a read-only transaction.
pub fn read_only_error(verb: &str) -> SqlError {
    SqlError::new(
        "25006",
        format!("cannot execute {verb} in a read-only transaction"),
    )
}
