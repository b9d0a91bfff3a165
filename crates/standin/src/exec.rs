//! Execution of statements on a snapshot of the tables.

use std::{cmp::Ordering, rc::Rc};

use crate::{
    command::{Command, Conflict, Delete, Expr, Insert, Item, Operator, Select, Update},
    eval::Scope,
    sql_error::SqlError,
    table::{Change, Key, Row, Schema, Table, TableName, Tables},
    types::{Field, result_fields},
    value::{Type, Value},
};

/// Rows of a result.
#[derive(Debug, Clone, Default)]
pub struct Rows {
    /// Columns.
    pub fields: Vec<Field>,
    /// Values in the order of the columns.
    pub rows: Vec<Vec<Value>>,
}

/// Result of a statement.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Command tag; for SELECT without the row count.
    pub tag: String,
    /// Result rows, if the statement returns any.
    pub rows: Option<Rows>,
}

impl Outcome {
    /// Creates a result without rows.
    pub fn tag(tag: impl Into<String>) -> Self {
        Self {
            tag: tag.into(),
            rows: None,
        }
    }
}

/// Private tables of a transaction with its uncommitted changes.
#[derive(Debug, Clone, Default)]
pub struct Workspace {
    /// Tables with the changes applied.
    pub tables: Tables,
    /// Changes in order.
    pub changes: Vec<Change>,
}

impl Workspace {
    fn change(&mut self, change: Change) {
        self.tables.apply(&change);
        self.changes.push(change);
    }

    /// Runs a statement; `next_row` is the last row number given in tables without a primary key.
    ///
    /// # Errors
    /// The SQLSTATE that PostgreSQL reports. Changes made before the error stay in `self`, which
    /// the caller must then discard.
    pub fn run(
        &mut self,
        command: &Command,
        params: &[Value],
        types: &[Type],
        next_row: &mut i64,
    ) -> Result<Outcome, SqlError> {
        match command {
            Command::Select(select) => self.select(command, select, params, types),
            Command::Insert(insert) => self.insert(command, insert, params, types, next_row),
            Command::Update(update) => self.update(command, update, params, types),
            Command::Delete(delete) => self.delete(command, delete, params, types),
            Command::Create(schema, if_not_exists) => {
                if self.tables.get(&schema.name).is_err() {
                    self.change(Change::Create(Rc::clone(schema)));
                } else if !if_not_exists {
                    let message = format!("relation \"{}\" already exists", schema.name);
                    return Err(SqlError::new("42P07", message));
                }
                Ok(Outcome::tag("CREATE TABLE"))
            }
            Command::Drop(name, if_exists) => {
                if self.tables.get(name).is_ok() {
                    self.change(Change::Drop(Rc::clone(name)));
                } else if !if_exists {
                    let message = format!("table \"{name}\" does not exist");
                    return Err(SqlError::new("42P01", message));
                }
                Ok(Outcome::tag("DROP TABLE"))
            }
            other => Err(SqlError::new(
                "XX000",
                format!("{} does not run on tables", other.verb()),
            )),
        }
    }

    fn select(
        &self,
        command: &Command,
        select: &Select,
        params: &[Value],
        types: &[Type],
    ) -> Result<Outcome, SqlError> {
        let fields = result_fields(command, &self.tables, types)?.unwrap_or_default();
        let scope = Scope::without_table(params);
        let skip = eval_row_count(&scope, select.offset.as_ref())?.unwrap_or(0);
        let row_limit = eval_row_count(&scope, select.limit.as_ref())?.unwrap_or(usize::MAX);
        let Some(name) = &select.table else {
            let passes = scope.passes(select.filter.as_ref())?;
            let row = project(&select.items, &scope)?;
            let rows = (passes && skip == 0 && row_limit > 0).then_some(row);
            return Ok(row_result("SELECT", fields, rows.into_iter().collect()));
        };
        let table = self.tables.get(name)?;
        let aggregate = select.items.iter().any(|item| match item {
            Item::Expr(expr, _) => has_aggregate(expr),
            Item::All => false,
        });
        // Rows are scanned in key order; without ORDER BY or aggregates the scan stops at the
        // limit.
        let limit = if aggregate || !select.order_by.is_empty() {
            usize::MAX
        } else {
            skip.saturating_add(row_limit)
        };
        let mut matches = matching_rows(table, select.filter.as_ref(), params, limit)?;
        if aggregate {
            let rows: Vec<Row> = matches.into_iter().map(|(_key, row)| row).collect();
            let scope = Scope {
                schema: Some(&table.schema),
                group: Some(&rows),
                ..scope
            };
            let row = project(&select.items, &scope)?;
            return Ok(row_result("SELECT", fields, vec![row]));
        }
        if !select.order_by.is_empty() {
            matches = sort_rows(select, &table.schema, matches, params)?;
        }
        let rows = matches
            .iter()
            .skip(skip)
            .take(row_limit)
            .map(|(_key, row)| project(&select.items, &Scope::row(&table.schema, row, params)))
            .collect::<Result<_, _>>()?;
        Ok(row_result("SELECT", fields, rows))
    }

    fn insert(
        &mut self,
        command: &Command,
        insert: &Insert,
        params: &[Value],
        types: &[Type],
        next_row: &mut i64,
    ) -> Result<Outcome, SqlError> {
        let fields = result_fields(command, &self.tables, types)?;
        let schema = Rc::clone(&self.tables.get(&insert.table)?.schema);
        let mut returning = Vec::new();
        let mut written = 0;
        for values in &insert.rows {
            let row = new_row(&schema, insert, values, params)?;
            let key = schema.key_of(&row).unwrap_or_else(|| {
                *next_row += 1;
                [Value::Int(*next_row)].into()
            });
            let old = self.tables.get(&insert.table)?.rows.get(&key).cloned();
            let row = match (old, &insert.conflict) {
                (None, _) => row,
                (Some(_), Conflict::Nothing) => continue,
                (Some(_), Conflict::Fail) => return Err(duplicate_key(&schema, &key)),
                (Some(old), Conflict::Update(set)) => {
                    let scope = Scope {
                        excluded: Some(&row),
                        ..Scope::row(&schema, &old, params)
                    };
                    let row = apply_assignments(&schema, set, &old, &scope)?;
                    if schema.key_of(&row) != Some(Rc::clone(&key)) {
                        return Err(SqlError::unsupported("an upsert that changes the key"));
                    }
                    row
                }
            };
            written += 1;
            if fields.is_some() {
                let scope = Scope::row(&schema, &row, params);
                returning.push(project(&insert.returning, &scope)?);
            }
            self.change(Change::Put(Rc::clone(&schema.name), key, row));
        }
        Ok(write_result(
            format!("INSERT 0 {written}"),
            fields,
            returning,
        ))
    }

    fn update(
        &mut self,
        command: &Command,
        update: &Update,
        params: &[Value],
        types: &[Type],
    ) -> Result<Outcome, SqlError> {
        let fields = result_fields(command, &self.tables, types)?;
        let table = self.tables.get(&update.table)?;
        let schema = Rc::clone(&table.schema);
        let matches = matching_rows(table, update.filter.as_ref(), params, usize::MAX)?;
        let mut returning = Vec::new();
        let mut moved_rows = Vec::new();
        for (key, old) in &matches {
            let scope = Scope::row(&schema, old, params);
            let row = apply_assignments(&schema, &update.set, old, &scope)?;
            if fields.is_some() {
                let scope = Scope::row(&schema, &row, params);
                returning.push(project(&update.returning, &scope)?);
            }
            match schema.key_of(&row) {
                Some(new) if new != *key => {
                    self.change(Change::Delete(Rc::clone(&schema.name), Rc::clone(key)));
                    moved_rows.push((new, row));
                }
                _ => self.change(Change::Put(Rc::clone(&schema.name), Rc::clone(key), row)),
            }
        }
        for (key, row) in moved_rows {
            if self.tables.get(&update.table)?.rows.contains_key(&key) {
                return Err(duplicate_key(&schema, &key));
            }
            self.change(Change::Put(Rc::clone(&schema.name), key, row));
        }
        Ok(write_result(
            format!("UPDATE {}", matches.len()),
            fields,
            returning,
        ))
    }

    fn delete(
        &mut self,
        command: &Command,
        delete: &Delete,
        params: &[Value],
        types: &[Type],
    ) -> Result<Outcome, SqlError> {
        let fields = result_fields(command, &self.tables, types)?;
        let table = self.tables.get(&delete.table)?;
        let schema = Rc::clone(&table.schema);
        let matches = matching_rows(table, delete.filter.as_ref(), params, usize::MAX)?;
        let mut returning = Vec::new();
        for (key, row) in &matches {
            if fields.is_some() {
                let scope = Scope::row(&schema, row, params);
                returning.push(project(&delete.returning, &scope)?);
            }
            self.change(Change::Delete(Rc::clone(&schema.name), Rc::clone(key)));
        }
        Ok(write_result(
            format!("DELETE {}", matches.len()),
            fields,
            returning,
        ))
    }
}

fn write_result(tag: String, fields: Option<Vec<Field>>, rows: Vec<Vec<Value>>) -> Outcome {
    Outcome {
        tag,
        rows: fields.map(|fields| Rows { fields, rows }),
    }
}

fn row_result(verb: &str, fields: Vec<Field>, rows: Vec<Vec<Value>>) -> Outcome {
    Outcome {
        tag: verb.to_owned(),
        rows: Some(Rows { fields, rows }),
    }
}

fn duplicate_key(schema: &Schema, key: &Key) -> SqlError {
    SqlError::new(
        "23505",
        format!(
            "duplicate key value violates unique constraint \"{}_pkey\": {key:?}",
            schema.name
        ),
    )
}

fn eval_row_count(scope: &Scope<'_>, expr: Option<&Expr>) -> Result<Option<usize>, SqlError> {
    let Some(expr) = expr else {
        return Ok(None);
    };
    match scope.eval(expr)?.cast(Type::Int8)? {
        Value::Int(n) => usize::try_from(n)
            .map(Some)
            .map_err(|_negative| SqlError::new("2201W", "LIMIT and OFFSET must not be negative")),
        _ => Ok(None),
    }
}

fn has_aggregate(expr: &Expr) -> bool {
    match expr {
        Expr::Aggregate(..) => true,
        Expr::Literal(_) | Expr::Param(_) | Expr::Column(_) => false,
        Expr::Binary(_, left, right) => has_aggregate(left) || has_aggregate(right),
        Expr::Not(inner) | Expr::Negate(inner) | Expr::IsNull(inner) | Expr::Cast(inner, _) => {
            has_aggregate(inner)
        }
        Expr::In(inner, list) => has_aggregate(inner) || list.iter().any(has_aggregate),
        Expr::Coalesce(list) => list.iter().any(has_aggregate),
    }
}

fn project(items: &[Item], scope: &Scope<'_>) -> Result<Vec<Value>, SqlError> {
    let mut values = Vec::with_capacity(items.len());
    for item in items {
        match (item, scope.row) {
            (Item::All, Some(row)) => values.extend(row.iter().cloned()),
            (Item::All, None) => {
                return Err(SqlError::new("42803", "* can't stand beside an aggregate"));
            }
            (Item::Expr(expr, _), _) => values.push(scope.eval(expr)?),
        }
    }
    Ok(values)
}

fn sort_rows(
    select: &Select,
    schema: &Schema,
    rows: Vec<(Key, Row)>,
    params: &[Value],
) -> Result<Vec<(Key, Row)>, SqlError> {
    let mut keyed = Vec::with_capacity(rows.len());
    for (key, row) in rows {
        let scope = Scope::row(schema, &row, params);
        let values = select
            .order_by
            .iter()
            .map(|order| scope.eval(resolve_order_expr(select, &order.expr)))
            .collect::<Result<Vec<_>, _>>()?;
        keyed.push((values, (key, row)));
    }
    keyed.sort_by(|(left, _), (right, _)| {
        for (i, order) in select.order_by.iter().enumerate() {
            let (a, b) = (&left[i], &right[i]);
            let by = match (a.is_null(), b.is_null()) {
                (true, true) => Ordering::Equal,
                (true, false) if order.nulls_first => Ordering::Less,
                (true, false) => Ordering::Greater,
                (false, true) if order.nulls_first => Ordering::Greater,
                (false, true) => Ordering::Less,
                (false, false) if order.descending => b.cmp(a),
                (false, false) => a.cmp(b),
            };
            if by.is_ne() {
                return by;
            }
        }
        Ordering::Equal
    });
    Ok(keyed.into_iter().map(|(_values, row)| row).collect())
}

/// Resolves `ORDER BY 1` and `ORDER BY alias` to the expression of the select list.
fn resolve_order_expr<'a>(select: &'a Select, expr: &'a Expr) -> &'a Expr {
    let item = match expr {
        Expr::Literal(Value::Int(n)) => usize::try_from(*n)
            .ok()
            .and_then(|n| select.items.get(n.wrapping_sub(1))),
        Expr::Column(name) => select
            .items
            .iter()
            .find(|item| matches!(item, Item::Expr(_, alias) if **alias == **name)),
        _ => None,
    };
    match item {
        Some(Item::Expr(found, _)) => found,
        _ => expr,
    }
}

fn new_row(
    schema: &Schema,
    insert: &Insert,
    values: &[Option<Expr>],
    params: &[Value],
) -> Result<Row, SqlError> {
    let expected = if insert.columns.is_empty() {
        schema.columns.len()
    } else {
        insert.columns.len()
    };
    if values.len() > expected || (values.len() < expected && !insert.columns.is_empty()) {
        return Err(SqlError::new(
            "42601",
            "INSERT has not as many expressions as target columns",
        ));
    }
    let scope = Scope::without_table(params);
    let mut row: Vec<Value> = schema
        .columns
        .iter()
        .map(|column| column.default.clone())
        .collect();
    for (i, value) in values.iter().enumerate() {
        let i = match insert.columns.get(i) {
            Some(name) => schema.column(name)?,
            None => i,
        };
        if let Some(expr) = value {
            row[i] = scope.eval(expr)?.cast(schema.columns[i].kind)?;
        }
    }
    check_not_null(schema, row)
}

fn apply_assignments(
    schema: &Schema,
    set: &[(Rc<str>, Expr)],
    old: &Row,
    scope: &Scope<'_>,
) -> Result<Row, SqlError> {
    let mut row = old.to_vec();
    for (name, expr) in set {
        let i = schema.column(name)?;
        row[i] = scope.eval(expr)?.cast(schema.columns[i].kind)?;
    }
    check_not_null(schema, row)
}

fn check_not_null(schema: &Schema, row: Vec<Value>) -> Result<Row, SqlError> {
    for (column, value) in schema.columns.iter().zip(&row) {
        if column.required && value.is_null() {
            return Err(SqlError::new(
                "23502",
                format!(
                    "null value in column \"{}\" of relation \"{}\" violates not-null constraint",
                    column.name, schema.name
                ),
            ));
        }
    }
    Ok(row.into())
}

/// Returns the first `limit` rows that pass a filter, in key order.
fn matching_rows(
    table: &Table,
    filter: Option<&Expr>,
    params: &[Value],
    limit: usize,
) -> Result<Vec<(Key, Row)>, SqlError> {
    let mut matches = Vec::new();
    let mut visit = |key: &Key, row: &Row| {
        if Scope::row(&table.schema, row, params).passes(filter)? {
            matches.push((Rc::clone(key), Rc::clone(row)));
        }
        Ok::<_, SqlError>(matches.len() < limit)
    };
    if limit == 0 {
        return Ok(Vec::new());
    }
    if let Some(keys) = filter.and_then(|filter| filter_keys(&table.schema, filter, params)) {
        for key in keys {
            if let Some(row) = table.rows.get(&key)
                && !visit(&key, row)?
            {
                break;
            }
        }
    } else {
        for (key, row) in &table.rows {
            if !visit(key, row)? {
                break;
            }
        }
    }
    Ok(matches)
}

/// Sorted keys that a filter restricts a statement to; `None` when a full scan is needed.
fn filter_keys(schema: &Schema, filter: &Expr, params: &[Value]) -> Option<Vec<Key>> {
    if schema.key.is_empty() {
        return None;
    }
    if let ([i], Expr::In(inner, list)) = (schema.key.as_slice(), filter)
        && matches!(&**inner, Expr::Column(name) if *name == schema.columns[*i].name)
    {
        let mut keys = list
            .iter()
            .map(|item| constant_value(schema, *i, item, params).map(|value| [value].into()))
            .collect::<Option<Vec<Key>>>()?;
        keys.sort_unstable();
        keys.dedup();
        return Some(keys);
    }
    let mut values = vec![None; schema.columns.len()];
    collect_equalities(schema, filter, params, &mut values);
    let key: Option<Key> = schema.key.iter().map(|&i| values[i].take()).collect();
    key.map(|key| vec![key])
}

fn collect_equalities(
    schema: &Schema,
    filter: &Expr,
    params: &[Value],
    values: &mut [Option<Value>],
) {
    match filter {
        Expr::Binary(Operator::And, left, right) => {
            collect_equalities(schema, left, params, values);
            collect_equalities(schema, right, params, values);
        }
        Expr::Binary(Operator::Equal, left, right) => {
            let ((Expr::Column(name), other) | (other, Expr::Column(name))) = (&**left, &**right)
            else {
                return;
            };
            if let Ok(i) = schema.column(name)
                && let Some(value) = constant_value(schema, i, other, params)
            {
                values[i] = Some(value);
            }
        }
        _ => {}
    }
}

fn constant_value(schema: &Schema, i: usize, expr: &Expr, params: &[Value]) -> Option<Value> {
    if !matches!(expr, Expr::Literal(_) | Expr::Param(_)) {
        return None;
    }
    let value = Scope::without_table(params).eval(expr).ok()?;
    // If the value cannot be cast to the column type, evaluating the filter reports the error.
    value.cast(schema.columns[i].kind).ok()
}

/// Locks that a statement takes before it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LockRequest {
    /// Table.
    pub table: TableName,
    /// Rows; `None` for the whole table.
    pub keys: Option<Vec<Key>>,
    /// Whether the locks exclude readers.
    pub exclusive: bool,
}

/// Returns the locks that a statement needs; `None` if it needs none or its table does not exist.
pub fn required_locks(command: &Command, tables: &Tables, params: &[Value]) -> Option<LockRequest> {
    let (name, filter, exclusive) = match command {
        Command::Select(select) => (select.table.as_ref()?, &select.filter, select.for_update),
        Command::Update(update) => {
            let schema = &tables.get(&update.table).ok()?.schema;
            // An update of the key may write rows outside the filter, so it locks the whole table.
            let changes_key = update
                .set
                .iter()
                .any(|(name, _)| schema.key.iter().any(|&i| schema.columns[i].name == *name));
            let filter = if changes_key { &None } else { &update.filter };
            (&update.table, filter, true)
        }
        Command::Delete(delete) => (&delete.table, &delete.filter, true),
        Command::Insert(insert) => {
            let schema = &tables.get(&insert.table).ok()?.schema;
            let keys = insert
                .rows
                .iter()
                .map(|values| {
                    let row = new_row(schema, insert, values, params).ok()?;
                    schema.key_of(&row)
                })
                .collect();
            return Some(LockRequest {
                table: Rc::clone(&insert.table),
                // Rows without a primary key cannot conflict; the intent lock still blocks readers
                // of the whole table.
                keys: if schema.key.is_empty() {
                    Some(Vec::new())
                } else {
                    keys
                },
                exclusive: true,
            });
        }
        Command::Create(schema, _) => (&schema.name, &None, true),
        Command::Drop(name, _) => (name, &None, true),
        _ => return None,
    };
    let keys = filter
        .as_ref()
        .zip(tables.get(name).ok())
        .and_then(|(filter, table)| filter_keys(&table.schema, filter, params));
    Some(LockRequest {
        table: Rc::clone(name),
        keys,
        exclusive,
    })
}
