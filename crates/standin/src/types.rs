//! Types of parameters and results, found without running a statement.

use std::rc::Rc;

use crate::{
    command::{Aggregate, Command, Expr, Item, Operator},
    refusal::Refusal,
    table::{Schema, Tables},
    value::{Type, Value},
};

/// A column of a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// Name.
    pub name: Rc<str>,
    /// Type.
    pub kind: Type,
}

impl Field {
    /// Makes a column from its parts.
    pub fn new(name: &str, kind: Type) -> Self {
        Self {
            name: name.into(),
            kind,
        }
    }
}

/// Types of the parameters, with those that the client gave already.
///
/// # Errors
/// 42P01 or 42703 when a table or column does not exist.
pub fn parameters(
    command: &Command,
    tables: &Tables,
    given: &[Option<Type>],
) -> Result<Vec<Type>, Refusal> {
    let mut found = Parameters {
        types: given.to_vec(),
        schema: None,
    };
    match command {
        Command::Select(select) => {
            if let Some(name) = &select.table {
                found.schema = Some(Rc::clone(&tables.get(name)?.schema));
            }
            found.items(&select.items)?;
            found.walk(select.filter.as_ref(), Some(Type::Bool))?;
            for order in &select.order {
                found.walk(Some(&order.expr), None)?;
            }
            found.walk(select.limit.as_ref(), Some(Type::Int8))?;
            found.walk(select.offset.as_ref(), Some(Type::Int8))?;
        }
        Command::Sleep(seconds) => found.walk(Some(seconds), Some(Type::Float8))?,
        Command::Insert(insert) => {
            let schema = Rc::clone(&tables.get(&insert.table)?.schema);
            found.schema = Some(Rc::clone(&schema));
            for row in &insert.rows {
                for (i, value) in row.iter().enumerate() {
                    let column = match insert.columns.get(i) {
                        Some(name) => Some(schema.column(name)?),
                        None => Some(i),
                    };
                    let kind = column
                        .and_then(|i| schema.columns.get(i))
                        .map(|column| column.kind);
                    found.walk(value.as_ref(), kind)?;
                }
            }
            if let crate::command::Conflict::Update(set) = &insert.conflict {
                found.assignments(set, &schema)?;
            }
            found.items(&insert.returning)?;
        }
        Command::Update(update) => {
            let schema = Rc::clone(&tables.get(&update.table)?.schema);
            found.schema = Some(Rc::clone(&schema));
            found.assignments(&update.set, &schema)?;
            found.walk(update.filter.as_ref(), Some(Type::Bool))?;
            found.items(&update.returning)?;
        }
        Command::Delete(delete) => {
            found.schema = Some(Rc::clone(&tables.get(&delete.table)?.schema));
            found.walk(delete.filter.as_ref(), Some(Type::Bool))?;
            found.items(&delete.returning)?;
        }
        _ => {}
    }
    Ok(found
        .types
        .into_iter()
        .map(|kind| kind.unwrap_or(Type::Text))
        .collect())
}

/// Columns of the result; `None` when the statement returns no rows.
///
/// # Errors
/// 42P01 or 42703 when a table or column does not exist.
pub fn fields(
    command: &Command,
    tables: &Tables,
    params: &[Type],
) -> Result<Option<Vec<Field>>, Refusal> {
    let (table, items) = match command {
        Command::Select(select) => (select.table.as_ref(), &select.items),
        Command::Insert(insert) => (Some(&insert.table), &insert.returning),
        Command::Update(update) => (Some(&update.table), &update.returning),
        Command::Delete(delete) => (Some(&delete.table), &delete.returning),
        Command::Sleep(_) => return Ok(Some(vec![Field::new("pg_sleep", Type::Void)])),
        Command::Show(name) => return Ok(Some(vec![Field::new(name, Type::Text)])),
        _ => return Ok(None),
    };
    let schema = table
        .map(|name| tables.get(name).map(|table| Rc::clone(&table.schema)))
        .transpose()?;
    if items.is_empty() && !matches!(command, Command::Select(_)) {
        return Ok(None);
    }
    let mut fields = Vec::new();
    for item in items {
        match (item, &schema) {
            (Item::All, Some(schema)) => fields.extend(schema.columns.iter().map(|column| Field {
                name: Rc::clone(&column.name),
                kind: column.kind,
            })),
            (Item::All, None) => {
                return Err(Refusal::new("42601", "SELECT * needs a table"));
            }
            (Item::Expr(expr, name), schema) => {
                let kind = kind(expr, schema.as_deref(), params)?.unwrap_or(Type::Text);
                fields.push(Field::new(name, kind));
            }
        }
    }
    Ok(Some(fields))
}

struct Parameters {
    types: Vec<Option<Type>>,
    schema: Option<Rc<Schema>>,
}

impl Parameters {
    fn items(&mut self, items: &[Item]) -> Result<(), Refusal> {
        for item in items {
            if let Item::Expr(expr, _) = item {
                self.walk(Some(expr), None)?;
            }
        }
        Ok(())
    }

    fn assignments(&mut self, set: &[(Rc<str>, Expr)], schema: &Schema) -> Result<(), Refusal> {
        for (name, value) in set {
            let kind = schema.columns[schema.column(name)?].kind;
            self.walk(Some(value), Some(kind))?;
        }
        Ok(())
    }

    fn kind(&self, expr: &Expr) -> Result<Option<Type>, Refusal> {
        if let Expr::Param(i) = expr {
            return Ok(self.types.get(*i).copied().flatten());
        }
        let known: Vec<_> = self
            .types
            .iter()
            .map(|kind| kind.unwrap_or(Type::Text))
            .collect();
        match expr {
            // A parameter deep in the expression may be open, so that only its shape counts.
            Expr::Binary(op, left, right) if !is_truth(*op) => {
                Ok(self.kind(left)?.or(self.kind(right)?))
            }
            _ => kind(expr, self.schema.as_deref(), &known),
        }
    }

    fn walk(&mut self, expr: Option<&Expr>, expected: Option<Type>) -> Result<(), Refusal> {
        match expr {
            None | Some(Expr::Literal(_)) => Ok(()),
            Some(Expr::Column(name)) => match &self.schema {
                Some(schema) => schema
                    .column(name.strip_prefix("excluded.").unwrap_or(name))
                    .map(|_index| ()),
                None => Err(Refusal::new(
                    "42703",
                    format!("column \"{name}\" does not exist"),
                )),
            },
            Some(Expr::Param(i)) => {
                if self.types.len() <= *i {
                    self.types.resize(i + 1, None);
                }
                if self.types[*i].is_none() {
                    self.types[*i] = expected;
                }
                Ok(())
            }
            Some(Expr::Binary(Operator::And | Operator::Or, left, right)) => {
                self.walk(Some(left), Some(Type::Bool))?;
                self.walk(Some(right), Some(Type::Bool))
            }
            Some(Expr::Binary(op, left, right)) => {
                let fallback = match op {
                    Operator::Concat => Some(Type::Text),
                    op if is_truth(*op) => None,
                    _ => expected.or(Some(Type::Int8)),
                };
                let of_left = self.kind(right)?.or(fallback);
                self.walk(Some(left), of_left)?;
                let of_right = self.kind(left)?.or(fallback);
                self.walk(Some(right), of_right)
            }
            Some(Expr::Not(inner)) => self.walk(Some(inner), Some(Type::Bool)),
            Some(Expr::Negate(inner)) => self.walk(Some(inner), expected.or(Some(Type::Int8))),
            Some(Expr::IsNull(inner)) => self.walk(Some(inner), None),
            Some(Expr::In(inner, list)) => {
                let kind = self.kind(inner)?;
                self.walk(Some(inner), None)?;
                list.iter().try_for_each(|item| self.walk(Some(item), kind))
            }
            Some(Expr::Cast(inner, kind)) => self.walk(Some(inner), Some(*kind)),
            Some(Expr::Coalesce(list)) => list
                .iter()
                .try_for_each(|item| self.walk(Some(item), expected)),
            Some(Expr::Aggregate(_, operand)) => self.walk(operand.as_deref(), None),
        }
    }
}

const fn is_truth(op: Operator) -> bool {
    matches!(
        op,
        Operator::Equal
            | Operator::Differ
            | Operator::Less
            | Operator::AtMost
            | Operator::Greater
            | Operator::AtLeast
            | Operator::And
            | Operator::Or
    )
}

/// Type of an expression; `None` when it is open, as for NULL.
fn kind(expr: &Expr, schema: Option<&Schema>, params: &[Type]) -> Result<Option<Type>, Refusal> {
    Ok(match expr {
        Expr::Literal(Value::Bool(_)) | Expr::Not(_) | Expr::IsNull(_) | Expr::In(..) => {
            Some(Type::Bool)
        }
        Expr::Literal(Value::Int(n)) if i32::try_from(*n).is_ok() => Some(Type::Int4),
        Expr::Literal(Value::Int(_)) | Expr::Aggregate(Aggregate::Count | Aggregate::Sum, _) => {
            Some(Type::Int8)
        }
        // A quoted constant takes the type of what stands beside it.
        Expr::Literal(Value::Text(_) | Value::Null) => None,
        Expr::Param(i) => params.get(*i).copied(),
        Expr::Column(name) => {
            let name = name.strip_prefix("excluded.").unwrap_or(name);
            match schema {
                Some(schema) => Some(schema.columns[schema.column(name)?].kind),
                None => {
                    return Err(Refusal::new(
                        "42703",
                        format!("column \"{name}\" does not exist"),
                    ));
                }
            }
        }
        Expr::Binary(op, ..) if is_truth(*op) => Some(Type::Bool),
        Expr::Binary(Operator::Concat, ..) => Some(Type::Text),
        Expr::Binary(_, left, right) => {
            match (kind(left, schema, params)?, kind(right, schema, params)?) {
                (Some(Type::Int4) | None, Some(Type::Int4)) | (Some(Type::Int4), None) => {
                    Some(Type::Int4)
                }
                _ => Some(Type::Int8),
            }
        }
        Expr::Negate(inner) => kind(inner, schema, params)?,
        Expr::Cast(_, kind) => Some(*kind),
        Expr::Coalesce(list) => {
            let mut found = None;
            for item in list {
                found = found.or(kind(item, schema, params)?);
            }
            found
        }
        Expr::Aggregate(_, operand) => match operand {
            Some(operand) => kind(operand, schema, params)?,
            None => None,
        },
    })
}
