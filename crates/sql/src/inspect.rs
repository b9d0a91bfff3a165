//! Classification of a parsed statement.

use std::ops::ControlFlow;

use base::document::Verb;
use sqlparser::ast::{
    Expr, FromTable, ObjectName, ObjectNamePart, OnInsert, Query, Select, SetExpr, Statement,
    TableFactor, TableObject, TableWithJoins, TransactionAccessMode, TransactionMode, Visit,
    Visitor,
};

use crate::{Kind, TableChange, functions};

/// Classifies a statement and lists the tables that it changes.
pub(crate) fn inspect(statement: &Statement) -> (Kind, Vec<TableChange>) {
    let mut visitor = StatementVisitor::default();
    let _never_breaks: ControlFlow<()> = statement.visit(&mut visitor);
    if let Some(function) = visitor.session_bound {
        return (Kind::SessionBound(function), visitor.changes);
    }
    let kind = match statement {
        Statement::StartTransaction {
            modes, statements, ..
        } if statements.is_empty() => Kind::Begin {
            read_only: modes.iter().rev().copied().find_map(is_read_only) == Some(true),
        },
        Statement::Commit { .. } => Kind::Commit,
        Statement::Rollback { savepoint, .. } if savepoint.is_none() => Kind::Rollback,
        Statement::Query(_) if visitor.pure => Kind::Read,
        Statement::Explain {
            analyze: false,
            statement,
            ..
        } if matches!(**statement, Statement::Query(_)) && visitor.pure => Kind::Read,
        Statement::Insert(_)
        | Statement::Update(_)
        | Statement::Delete(_)
        | Statement::Merge(_)
        | Statement::Truncate(_)
        | Statement::CreateTable(_)
        | Statement::CreateView(_)
        | Statement::CreateIndex(_)
        | Statement::AlterTable(_)
        | Statement::Drop { .. } => Kind::Write,
        _ => Kind::Unknown,
    };
    (kind, visitor.changes)
}

fn is_read_only(mode: TransactionMode) -> Option<bool> {
    match mode {
        TransactionMode::AccessMode(mode) => Some(mode == TransactionAccessMode::ReadOnly),
        TransactionMode::IsolationLevel(_) => None,
    }
}

struct StatementVisitor {
    pure: bool,
    session_bound: Option<&'static str>,
    changes: Vec<TableChange>,
}

impl Default for StatementVisitor {
    fn default() -> Self {
        Self {
            pure: true,
            session_bound: None,
            changes: Vec::new(),
        }
    }
}

impl StatementVisitor {
    fn add_change(&mut self, table: &ObjectName, verbs: &[Verb]) {
        self.pure = false;
        let Some(ObjectNamePart::Identifier(ident)) = table.0.last() else {
            return;
        };
        let table = if ident.quote_style.is_some() {
            ident.value.clone()
        } else {
            ident.value.to_lowercase()
        };
        self.changes.extend(verbs.iter().map(|&verb| TableChange {
            table: table.clone(),
            verb,
        }));
    }

    fn add_factor(&mut self, table: &TableFactor, verbs: &[Verb]) {
        if let TableFactor::Table { name, .. } = table {
            self.add_change(name, verbs);
        }
    }

    fn add_joined_tables(&mut self, tables: &[TableWithJoins], verb: Verb) {
        for table in tables {
            self.add_factor(&table.relation, &[verb]);
        }
    }
}

impl Visitor for StatementVisitor {
    type Break = ();

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        match statement {
            Statement::Insert(insert) => {
                let upsert = matches!(insert.on, Some(OnInsert::OnConflict(_)));
                let verbs: &[Verb] = if upsert {
                    &[Verb::Insert, Verb::Update]
                } else {
                    &[Verb::Insert]
                };
                self.pure = false;
                if let TableObject::TableName(name) = &insert.table {
                    self.add_change(name, verbs);
                }
            }
            Statement::Update(update) => self.add_factor(&update.table.relation, &[Verb::Update]),
            Statement::Delete(delete) => {
                let (FromTable::WithFromKeyword(tables) | FromTable::WithoutKeyword(tables)) =
                    &delete.from;
                self.add_joined_tables(tables, Verb::Delete);
            }
            Statement::Merge(merge) => {
                self.add_factor(&merge.table, &[Verb::Insert, Verb::Update, Verb::Delete]);
            }
            Statement::Truncate(truncate) => {
                for target in &truncate.table_names {
                    self.add_change(&target.name, &[Verb::Delete]);
                }
            }
            Statement::Query(_) | Statement::Explain { .. } => {}
            _ => self.pure = false,
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let writes = matches!(
            *query.body,
            SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_)
        );
        if !query.locks.is_empty() || writes {
            self.pure = false;
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        if select.into.is_some() {
            self.pure = false;
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, table: &TableFactor) -> ControlFlow<()> {
        match table {
            TableFactor::Table {
                name,
                args: Some(_),
                ..
            }
            | TableFactor::Function { name, .. } => {
                self.pure &= functions::is_pure(name);
                self.session_bound = self
                    .session_bound
                    .or_else(|| functions::session_bound(name));
            }
            TableFactor::TableFunction { .. } => self.pure = false,
            _ => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        if let Expr::Function(function) = expr {
            self.pure &= functions::is_pure(&function.name);
            self.session_bound = self
                .session_bound
                .or_else(|| functions::session_bound(&function.name));
        }
        ControlFlow::Continue(())
    }
}
