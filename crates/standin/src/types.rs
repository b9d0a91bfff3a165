//! Type inference for parameters and results of a statement.

use std::rc::Rc;

use crate::{
    command::{Aggregate, Command, Expr, Item, Operator},
    sql_error::SqlError,
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

/// Infers the types of the parameters; types given by the client take precedence.
///
/// # Errors
/// 42P01 or 42703 when a table or column does not exist.
pub fn parameter_types(
    command: &Command,
    tables: &Tables,
    given: &[Option<Type>],
) -> Result<Vec<Type>, SqlError> {
    let mut inference = ParameterTypes {
        types: given.to_vec(),
        schema: None,
    };
    match command {
        Command::Select(select) => {
            if let Some(name) = &select.table {
                inference.schema = Some(Rc::clone(&tables.get(name)?.schema));
            }
            inference.items(&select.items)?;
            inference.infer(select.filter.as_ref(), Some(Type::Bool))?;
            for order in &select.order_by {
                inference.infer(Some(&order.expr), None)?;
            }
            inference.infer(select.limit.as_ref(), Some(Type::Int8))?;
            inference.infer(select.offset.as_ref(), Some(Type::Int8))?;
        }
        Command::Sleep(seconds) => inference.infer(Some(seconds), Some(Type::Float8))?,
        Command::Insert(insert) => {
            let schema = Rc::clone(&tables.get(&insert.table)?.schema);
            inference.schema = Some(Rc::clone(&schema));
            for row in &insert.rows {
                for (i, value) in row.iter().enumerate() {
                    let column = match insert.columns.get(i) {
                        Some(name) => Some(schema.column(name)?),
                        None => Some(i),
                    };
                    let kind = column
                        .and_then(|i| schema.columns.get(i))
                        .map(|column| column.kind);
                    inference.infer(value.as_ref(), kind)?;
                }
            }
            if let crate::command::Conflict::Update(set) = &insert.conflict {
                inference.assignments(set, &schema)?;
            }
            inference.items(&insert.returning)?;
        }
        Command::Update(update) => {
            let schema = Rc::clone(&tables.get(&update.table)?.schema);
            inference.schema = Some(Rc::clone(&schema));
            inference.assignments(&update.set, &schema)?;
            inference.infer(update.filter.as_ref(), Some(Type::Bool))?;
            inference.items(&update.returning)?;
        }
        Command::Delete(delete) => {
            inference.schema = Some(Rc::clone(&tables.get(&delete.table)?.schema));
            inference.infer(delete.filter.as_ref(), Some(Type::Bool))?;
            inference.items(&delete.returning)?;
        }
        _ => {}
    }
    Ok(inference
        .types
        .into_iter()
        .map(|kind| kind.unwrap_or(Type::Text))
        .collect())
}

/// Columns of the result; `None` when the statement returns no rows.
///
/// # Errors
/// 42P01 or 42703 when a table or column does not exist.
pub fn result_fields(
    command: &Command,
    tables: &Tables,
    params: &[Type],
) -> Result<Option<Vec<Field>>, SqlError> {
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
                return Err(SqlError::new("42601", "SELECT * needs a table"));
            }
            (Item::Expr(expr, name), schema) => {
                let kind = expr_type(expr, schema.as_deref(), params)?.unwrap_or(Type::Text);
                fields.push(Field::new(name, kind));
            }
        }
    }
    Ok(Some(fields))
}

struct ParameterTypes {
    types: Vec<Option<Type>>,
    schema: Option<Rc<Schema>>,
}

impl ParameterTypes {
    fn items(&mut self, items: &[Item]) -> Result<(), SqlError> {
        for item in items {
            if let Item::Expr(expr, _) = item {
                self.infer(Some(expr), None)?;
            }
        }
        Ok(())
    }

    fn assignments(&mut self, set: &[(Rc<str>, Expr)], schema: &Schema) -> Result<(), SqlError> {
        for (name, value) in set {
            let kind = schema.columns[schema.column(name)?].kind;
            self.infer(Some(value), Some(kind))?;
        }
        Ok(())
    }

    fn known_type(&self, expr: &Expr) -> Result<Option<Type>, SqlError> {
        if let Expr::Param(i) = expr {
            return Ok(self.types.get(*i).copied().flatten());
        }
        let known: Vec<_> = self
            .types
            .iter()
            .map(|kind| kind.unwrap_or(Type::Text))
            .collect();
        match expr {
            // Operands may contain parameters of unknown type, so each operand is inspected by
            // itself.
            Expr::Binary(op, left, right) if !is_boolean(*op) => {
                Ok(self.known_type(left)?.or(self.known_type(right)?))
            }
            _ => expr_type(expr, self.schema.as_deref(), &known),
        }
    }

    fn infer(&mut self, expr: Option<&Expr>, expected: Option<Type>) -> Result<(), SqlError> {
        match expr {
            None | Some(Expr::Literal(_)) => Ok(()),
            Some(Expr::Column(name)) => match &self.schema {
                Some(schema) => schema
                    .column(name.strip_prefix("excluded.").unwrap_or(name))
                    .map(|_index| ()),
                None => Err(SqlError::new(
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
                self.infer(Some(left), Some(Type::Bool))?;
                self.infer(Some(right), Some(Type::Bool))
            }
            Some(Expr::Binary(op, left, right)) => {
                let fallback = match op {
                    Operator::Concat => Some(Type::Text),
                    op if is_boolean(*op) => None,
                    _ => expected.or(Some(Type::Int8)),
                };
                let left_type = self.known_type(right)?.or(fallback);
                self.infer(Some(left), left_type)?;
                let right_type = self.known_type(left)?.or(fallback);
                self.infer(Some(right), right_type)
            }
            Some(Expr::Not(inner)) => self.infer(Some(inner), Some(Type::Bool)),
            Some(Expr::Negate(inner)) => self.infer(Some(inner), expected.or(Some(Type::Int8))),
            Some(Expr::IsNull(inner)) => self.infer(Some(inner), None),
            Some(Expr::In(inner, list)) => {
                let kind = self.known_type(inner)?;
                self.infer(Some(inner), None)?;
                list.iter()
                    .try_for_each(|item| self.infer(Some(item), kind))
            }
            Some(Expr::Cast(inner, kind)) => self.infer(Some(inner), Some(*kind)),
            Some(Expr::Coalesce(list)) => list
                .iter()
                .try_for_each(|item| self.infer(Some(item), expected)),
            Some(Expr::Aggregate(_, operand)) => self.infer(operand.as_deref(), None),
        }
    }
}

const fn is_boolean(op: Operator) -> bool {
    matches!(
        op,
        Operator::Equal
            | Operator::NotEqual
            | Operator::Less
            | Operator::LessOrEqual
            | Operator::Greater
            | Operator::GreaterOrEqual
            | Operator::And
            | Operator::Or
    )
}

/// Type of an expression; `None` when it is undetermined, as for NULL.
fn expr_type(
    expr: &Expr,
    schema: Option<&Schema>,
    params: &[Type],
) -> Result<Option<Type>, SqlError> {
    Ok(match expr {
        Expr::Literal(Value::Bool(_)) | Expr::Not(_) | Expr::IsNull(_) | Expr::In(..) => {
            Some(Type::Bool)
        }
        Expr::Literal(Value::Int(n)) if i32::try_from(*n).is_ok() => Some(Type::Int4),
        Expr::Literal(Value::Int(_)) | Expr::Aggregate(Aggregate::Count | Aggregate::Sum, _) => {
            Some(Type::Int8)
        }
        // A string literal takes its type from the context.
        Expr::Literal(Value::Text(_) | Value::Null) => None,
        Expr::Param(i) => params.get(*i).copied(),
        Expr::Column(name) => {
            let name = name.strip_prefix("excluded.").unwrap_or(name);
            match schema {
                Some(schema) => Some(schema.columns[schema.column(name)?].kind),
                None => {
                    return Err(SqlError::new(
                        "42703",
                        format!("column \"{name}\" does not exist"),
                    ));
                }
            }
        }
        Expr::Binary(op, ..) if is_boolean(*op) => Some(Type::Bool),
        Expr::Binary(Operator::Concat, ..) => Some(Type::Text),
        Expr::Binary(_, left, right) => {
            match (
                expr_type(left, schema, params)?,
                expr_type(right, schema, params)?,
            ) {
                (Some(Type::Int4) | None, Some(Type::Int4)) | (Some(Type::Int4), None) => {
                    Some(Type::Int4)
                }
                _ => Some(Type::Int8),
            }
        }
        Expr::Negate(inner) => expr_type(inner, schema, params)?,
        Expr::Cast(_, kind) => Some(*kind),
        Expr::Coalesce(list) => {
            let mut found = None;
            for item in list {
                found = found.or(expr_type(item, schema, params)?);
            }
            found
        }
        Expr::Aggregate(_, operand) => match operand {
            Some(operand) => expr_type(operand, schema, params)?,
            None => None,
        },
    })
}
