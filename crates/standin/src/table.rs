//! Tables and the logical changes that transactions make to them.

use std::rc::Rc;

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::{sql_error::SqlError, value::Type, value::Value};

/// Values of one row, in the order of the columns.
pub type Row = Rc<[Value]>;
/// Primary key values of a row; in a table without a primary key, a row number that is never
/// reused.
pub type Key = Rc<[Value]>;
/// Name of a table.
pub type TableName = Rc<str>;

/// A column of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Column {
    /// Name.
    pub name: Rc<str>,
    /// Type.
    pub kind: Type,
    /// Whether NULL is rejected.
    pub required: bool,
    /// Value used when an INSERT gives none.
    pub default: Value,
}

/// Definition of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schema {
    /// Name.
    pub name: TableName,
    /// Columns in order.
    pub columns: Vec<Column>,
    /// Indices of the columns of the primary key; empty when there is none.
    pub key: Vec<usize>,
}

impl Schema {
    /// Index of a column.
    ///
    /// # Errors
    /// 42703 when there is none of that name.
    pub fn column(&self, name: &str) -> Result<usize, SqlError> {
        self.columns
            .iter()
            .position(|column| &*column.name == name)
            .ok_or_else(|| SqlError::new("42703", format!("column \"{name}\" does not exist")))
    }

    /// Primary key of a row; `None` when the table has none.
    #[must_use]
    pub fn key_of(&self, row: &Row) -> Option<Key> {
        (!self.key.is_empty()).then(|| self.key.iter().map(|&i| row[i].clone()).collect())
    }
}

/// A table with its rows. Clones share rows until one side changes.
#[derive(Debug, Clone)]
pub struct Table {
    /// Definition.
    pub schema: Rc<Schema>,
    /// Rows by key.
    pub rows: OrdMap<Key, Row>,
}

/// One logical change of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Creates a table.
    Create(Rc<Schema>),
    /// Drops a table.
    Drop(TableName),
    /// Inserts or replaces a row.
    Put(TableName, Key, Row),
    /// Deletes a row.
    Delete(TableName, Key),
}

/// All tables. A clone is a cheap snapshot that shares structure.
#[derive(Debug, Clone, Default)]
pub struct Tables {
    tables: OrdMap<TableName, Table>,
}

impl Tables {
    /// Finds a table.
    ///
    /// # Errors
    /// 42P01 when there is none of that name.
    pub fn get(&self, name: &str) -> Result<&Table, SqlError> {
        self.tables
            .get(name)
            .ok_or_else(|| SqlError::new("42P01", format!("relation \"{name}\" does not exist")))
    }

    /// All tables in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Table> {
        self.tables.iter().map(|(_name, table)| table)
    }

    /// Applies one change; a change to a table that does not exist has no effect.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Create(schema) => {
                let table = Table {
                    schema: Rc::clone(schema),
                    rows: OrdMap::new(),
                };
                self.tables.insert(Rc::clone(&schema.name), table);
            }
            Change::Drop(name) => {
                self.tables.remove(name);
            }
            Change::Put(name, key, row) => {
                if let Some(table) = self.tables.get_mut(name) {
                    table.rows.insert(Rc::clone(key), Rc::clone(row));
                }
            }
            Change::Delete(name, key) => {
                if let Some(table) = self.tables.get_mut(name) {
                    table.rows.remove(key);
                }
            }
        }
    }
}
