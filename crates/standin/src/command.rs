//! Statements of the SQL subset.

use std::rc::Rc;

use crate::{
    table::{Schema, TableName},
    value::{Type, Value},
};

/// Binary operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operator {
    /// `=`
    Equal,
    /// `<>`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
    /// `AND`
    And,
    /// `OR`
    Or,
    /// `+`
    Add,
    /// `-`
    Subtract,
    /// `*`
    Multiply,
    /// `/`
    Divide,
    /// `%`
    Modulo,
    /// `||`
    Concat,
}

/// Aggregate function.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Aggregate {
    /// `count(*)` or `count(x)`.
    Count,
    /// `sum(x)`.
    Sum,
    /// `min(x)`.
    Min,
    /// `max(x)`.
    Max,
}

/// An expression.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expr {
    /// Constant.
    Literal(Value),
    /// Parameter, by zero-based index.
    Param(usize),
    /// Column by name.
    Column(Rc<str>),
    /// Binary operation.
    Binary(Operator, Box<Expr>, Box<Expr>),
    /// `NOT x`
    Not(Box<Expr>),
    /// `-x`
    Negate(Box<Expr>),
    /// `x IS NULL`
    IsNull(Box<Expr>),
    /// `x IN (…)`
    In(Box<Expr>, Vec<Expr>),
    /// `x::type`
    Cast(Box<Expr>, Type),
    /// `coalesce(…)`
    Coalesce(Vec<Expr>),
    /// Aggregate function; no operand for `count(*)`.
    Aggregate(Aggregate, Option<Box<Expr>>),
}

/// An item of a select list or of RETURNING.
#[derive(Debug, Clone)]
pub enum Item {
    /// `*`
    All,
    /// Expression with the name of its result column.
    Expr(Expr, String),
}

/// One sort key of ORDER BY.
#[derive(Debug, Clone)]
pub struct OrderBy {
    /// Expression to sort by.
    pub expr: Expr,
    /// Whether the order is descending.
    pub descending: bool,
    /// Whether NULL sorts first.
    pub nulls_first: bool,
}

/// `SELECT`
#[derive(Debug, Clone)]
pub struct Select {
    /// Select list.
    pub items: Vec<Item>,
    /// Table; `None` for a select without FROM.
    pub table: Option<TableName>,
    /// WHERE.
    pub filter: Option<Expr>,
    /// ORDER BY.
    pub order_by: Vec<OrderBy>,
    /// LIMIT.
    pub limit: Option<Expr>,
    /// OFFSET.
    pub offset: Option<Expr>,
    /// Whether rows are locked with FOR UPDATE.
    pub for_update: bool,
}

/// ON CONFLICT behaviour for a duplicate key.
#[derive(Debug, Clone)]
pub enum Conflict {
    /// The statement fails.
    Fail,
    /// The row is skipped.
    Nothing,
    /// The existing row is updated.
    Update(Vec<(Rc<str>, Expr)>),
}

/// `INSERT`
#[derive(Debug, Clone)]
pub struct Insert {
    /// Table.
    pub table: TableName,
    /// Columns given; empty for all.
    pub columns: Vec<Rc<str>>,
    /// Rows of expressions; `None` stands for DEFAULT.
    pub rows: Vec<Vec<Option<Expr>>>,
    /// ON CONFLICT.
    pub conflict: Conflict,
    /// RETURNING.
    pub returning: Vec<Item>,
}

/// `UPDATE`
#[derive(Debug, Clone)]
pub struct Update {
    /// Table.
    pub table: TableName,
    /// Assignments.
    pub set: Vec<(Rc<str>, Expr)>,
    /// WHERE.
    pub filter: Option<Expr>,
    /// RETURNING.
    pub returning: Vec<Item>,
}

/// `DELETE`
#[derive(Debug, Clone)]
pub struct Delete {
    /// Table.
    pub table: TableName,
    /// WHERE.
    pub filter: Option<Expr>,
    /// RETURNING.
    pub returning: Vec<Item>,
}

/// A statement.
#[derive(Debug, Clone)]
pub enum Command {
    /// BEGIN; true for READ ONLY.
    Begin(bool),
    /// COMMIT.
    Commit,
    /// ROLLBACK.
    Rollback,
    /// SET of a session variable; `None` resets it.
    Set(String, Option<String>),
    /// SHOW of a session variable.
    Show(String),
    /// DISCARD ALL.
    Discard,
    /// RESET ALL, which keeps prepared statements and portals.
    ResetAll,
    /// DEALLOCATE; `None` for all.
    Deallocate(Option<String>),
    /// CREATE TABLE; true with IF NOT EXISTS.
    Create(Rc<Schema>, bool),
    /// DROP TABLE; true with IF EXISTS.
    Drop(TableName, bool),
    /// SELECT.
    Select(Select),
    /// `SELECT pg_sleep(x)`, in seconds.
    Sleep(Expr),
    /// INSERT.
    Insert(Insert),
    /// UPDATE.
    Update(Update),
    /// DELETE.
    Delete(Delete),
}

impl Command {
    /// Whether the statement changes data.
    pub const fn writes(&self) -> bool {
        matches!(
            self,
            Self::Create(..) | Self::Drop(..) | Self::Insert(_) | Self::Update(_) | Self::Delete(_)
        )
    }

    /// Verb used in command tags and metrics.
    pub const fn verb(&self) -> &'static str {
        match self {
            Self::Begin(_) => "BEGIN",
            Self::Commit => "COMMIT",
            Self::Rollback => "ROLLBACK",
            Self::Set(..) => "SET",
            Self::Show(_) => "SHOW",
            Self::Discard => "DISCARD ALL",
            Self::ResetAll => "RESET",
            Self::Deallocate(_) => "DEALLOCATE",
            Self::Create(..) => "CREATE TABLE",
            Self::Drop(..) => "DROP TABLE",
            Self::Select(_) | Self::Sleep(_) => "SELECT",
            Self::Insert(_) => "INSERT",
            Self::Update(_) => "UPDATE",
            Self::Delete(_) => "DELETE",
        }
    }
}
