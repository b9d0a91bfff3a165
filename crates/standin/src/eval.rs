//! Evaluation of expressions.

use std::cmp::Ordering;

use crate::{
    command::{Aggregate, Expr, Operator},
    sql_error::SqlError,
    table::{Row, Schema},
    value::{Type, Value},
};

/// Names and rows visible to an expression.
#[derive(Debug, Clone, Copy)]
pub struct Scope<'a> {
    /// Table of the row.
    pub schema: Option<&'a Schema>,
    /// Current row.
    pub row: Option<&'a Row>,
    /// Row proposed for insertion, visible as `excluded` in an upsert.
    pub excluded: Option<&'a Row>,
    /// Rows that aggregates run over.
    pub group: Option<&'a [Row]>,
    /// Parameters.
    pub params: &'a [Value],
}

impl<'a> Scope<'a> {
    /// Creates a scope without a table.
    pub const fn without_table(params: &'a [Value]) -> Self {
        Self {
            schema: None,
            row: None,
            excluded: None,
            group: None,
            params,
        }
    }

    /// Creates a scope for one row of a table.
    pub const fn row(schema: &'a Schema, row: &'a Row, params: &'a [Value]) -> Self {
        Self {
            schema: Some(schema),
            row: Some(row),
            excluded: None,
            group: None,
            params,
        }
    }

    /// Evaluates an expression.
    ///
    /// # Errors
    /// The SQLSTATE that PostgreSQL reports for the same error.
    pub fn eval(&self, expr: &Expr) -> Result<Value, SqlError> {
        match expr {
            Expr::Literal(value) => Ok(value.clone()),
            Expr::Param(i) => {
                self.params.get(*i).cloned().ok_or_else(|| {
                    SqlError::new("42P02", format!("there is no parameter ${}", i + 1))
                })
            }
            Expr::Column(name) => self.column(name),
            Expr::Binary(Operator::And, left, right) => match to_bool(&self.eval(left)?)? {
                Some(false) => Ok(Value::Bool(false)),
                left => Ok(match (left, to_bool(&self.eval(right)?)?) {
                    (_, Some(false)) => Value::Bool(false),
                    (Some(true), Some(true)) => Value::Bool(true),
                    _ => Value::Null,
                }),
            },
            Expr::Binary(Operator::Or, left, right) => match to_bool(&self.eval(left)?)? {
                Some(true) => Ok(Value::Bool(true)),
                left => Ok(match (left, to_bool(&self.eval(right)?)?) {
                    (_, Some(true)) => Value::Bool(true),
                    (Some(false), Some(false)) => Value::Bool(false),
                    _ => Value::Null,
                }),
            },
            Expr::Binary(op, left, right) => binary(*op, self.eval(left)?, self.eval(right)?),
            Expr::Not(inner) => {
                Ok(to_bool(&self.eval(inner)?)?.map_or(Value::Null, |truth| Value::Bool(!truth)))
            }
            Expr::Negate(inner) => binary(Operator::Subtract, Value::Int(0), self.eval(inner)?),
            Expr::IsNull(inner) => Ok(Value::Bool(self.eval(inner)?.is_null())),
            Expr::In(inner, list) => {
                let value = self.eval(inner)?;
                let mut unknown = value.is_null();
                for item in list {
                    match binary(Operator::Equal, value.clone(), self.eval(item)?)? {
                        Value::Bool(true) => return Ok(Value::Bool(true)),
                        Value::Null => unknown = true,
                        _ => {}
                    }
                }
                Ok(if unknown {
                    Value::Null
                } else {
                    Value::Bool(false)
                })
            }
            Expr::Cast(inner, kind) => match (self.eval(inner)?, kind) {
                (Value::Bool(truth), Type::Int4 | Type::Int8) => Ok(Value::Int(truth.into())),
                (Value::Int(n), Type::Bool) => Ok(Value::Bool(n != 0)),
                (value, kind) => value.cast(*kind),
            },
            Expr::Coalesce(list) => {
                for item in list {
                    let value = self.eval(item)?;
                    if !value.is_null() {
                        return Ok(value);
                    }
                }
                Ok(Value::Null)
            }
            Expr::Aggregate(aggregate, operand) => self.aggregate(*aggregate, operand.as_deref()),
        }
    }

    /// Whether a row passes a filter; no filter lets every row pass.
    ///
    /// # Errors
    /// As [`Scope::eval`].
    pub fn passes(&self, filter: Option<&Expr>) -> Result<bool, SqlError> {
        match filter {
            None => Ok(true),
            Some(filter) => Ok(to_bool(&self.eval(filter)?)? == Some(true)),
        }
    }

    fn column(&self, name: &str) -> Result<Value, SqlError> {
        let unknown = || SqlError::new("42703", format!("column \"{name}\" does not exist"));
        let schema = self.schema.ok_or_else(unknown)?;
        if let Some(name) = name.strip_prefix("excluded.") {
            let row = self.excluded.ok_or_else(unknown)?;
            return Ok(row[schema.column(name)?].clone());
        }
        let i = schema.column(name)?;
        match self.row {
            Some(row) => Ok(row[i].clone()),
            None => Err(SqlError::new(
                "42803",
                format!("column \"{name}\" must be used in an aggregate function"),
            )),
        }
    }

    fn aggregate(&self, aggregate: Aggregate, operand: Option<&Expr>) -> Result<Value, SqlError> {
        let rows = self
            .group
            .ok_or_else(|| SqlError::new("42803", "aggregate functions are not allowed here"))?;
        let Some(operand) = operand else {
            return Ok(Value::Int(i64::try_from(rows.len()).unwrap_or(i64::MAX)));
        };
        let mut count = 0;
        let mut result = Value::Null;
        for row in rows {
            let scope = Scope {
                row: Some(row),
                group: None,
                ..*self
            };
            let value = scope.eval(operand)?;
            if value.is_null() {
                continue;
            }
            count += 1;
            result = match (aggregate, result) {
                (_, Value::Null) => value,
                (Aggregate::Sum, sum) => binary(Operator::Add, sum, value)?,
                (Aggregate::Min, least) => least.min(value),
                (Aggregate::Max, most) => most.max(value),
                (Aggregate::Count, any) => any,
            };
        }
        Ok(if aggregate == Aggregate::Count {
            Value::Int(count)
        } else {
            result
        })
    }
}

fn to_bool(value: &Value) -> Result<Option<bool>, SqlError> {
    match value {
        Value::Null => Ok(None),
        Value::Bool(truth) => Ok(Some(*truth)),
        other => Err(SqlError::new(
            "42804",
            format!("{other:?} is not a boolean"),
        )),
    }
}

/// Compares two values; text compared with an integer or boolean is parsed as that type.
fn compare(left: &Value, right: &Value) -> Result<Ordering, SqlError> {
    let kind = |value: &Value| match value {
        Value::Int(_) => Some(Type::Int8),
        Value::Bool(_) => Some(Type::Bool),
        Value::Text(_) | Value::Null => None,
    };
    match (left, right) {
        (Value::Text(text), other) if kind(other).is_some() => {
            let kind = kind(other).unwrap_or(Type::Text);
            Ok(Value::parse(kind, text)?.cmp(other))
        }
        (other, Value::Text(text)) if kind(other).is_some() => {
            let kind = kind(other).unwrap_or(Type::Text);
            Ok(other.cmp(&Value::parse(kind, text)?))
        }
        (Value::Int(_), Value::Bool(_)) | (Value::Bool(_), Value::Int(_)) => Err(SqlError::new(
            "42883",
            "there is no operator between integer and boolean",
        )),
        _ => Ok(left.cmp(right)),
    }
}

fn binary(op: Operator, left: Value, right: Value) -> Result<Value, SqlError> {
    if left.is_null() || right.is_null() {
        return Ok(Value::Null);
    }
    let truth = |truth| Ok(Value::Bool(truth));
    match op {
        Operator::Equal => truth(compare(&left, &right)?.is_eq()),
        Operator::NotEqual => truth(compare(&left, &right)?.is_ne()),
        Operator::Less => truth(compare(&left, &right)?.is_lt()),
        Operator::LessOrEqual => truth(compare(&left, &right)?.is_le()),
        Operator::Greater => truth(compare(&left, &right)?.is_gt()),
        Operator::GreaterOrEqual => truth(compare(&left, &right)?.is_ge()),
        Operator::Concat => match (left.cast(Type::Text)?, right.cast(Type::Text)?) {
            (Value::Text(left), Value::Text(right)) => {
                Ok(Value::Text(format!("{left}{right}").into()))
            }
            _ => Ok(Value::Null),
        },
        Operator::And | Operator::Or => Err(SqlError::unsupported("this use of AND or OR")),
        Operator::Add
        | Operator::Subtract
        | Operator::Multiply
        | Operator::Divide
        | Operator::Modulo => arithmetic(op, left.cast(Type::Int8)?, right.cast(Type::Int8)?),
    }
}

fn arithmetic(op: Operator, left: Value, right: Value) -> Result<Value, SqlError> {
    let (Value::Int(a), Value::Int(b)) = (left, right) else {
        return Err(SqlError::new("42883", "arithmetic needs two numbers"));
    };
    let result = match op {
        Operator::Add => a.checked_add(b),
        Operator::Subtract => a.checked_sub(b),
        Operator::Multiply => a.checked_mul(b),
        Operator::Divide | Operator::Modulo if b == 0 => {
            return Err(SqlError::new("22012", "division by zero"));
        }
        Operator::Divide => a.checked_div(b),
        _ => a.checked_rem(b),
    };
    result
        .map(Value::Int)
        .ok_or_else(|| SqlError::new("22003", "bigint out of range"))
}
