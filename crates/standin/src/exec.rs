//! Execution of statements on a snapshot of the tables.

use std::{cmp::Ordering, rc::Rc};

use crate::{
    command::{Command, Conflict, Delete, Expr, Insert, Item, Operator, Select, Update},
    eval::Scope,
    refusal::Refusal,
    table::{Change, Key, Row, Schema, Table, TableName, Tables},
    types::{Field, fields},
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

/// Outcome of a statement.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Command tag without a count of returned rows.
    pub tag: String,
    /// Result, when the statement has one.
    pub rows: Option<Rows>,
}

impl Outcome {
    /// An outcome without rows.
    pub fn tag(tag: impl Into<String>) -> Self {
        Self {
            tag: tag.into(),
            rows: None,
        }
    }
}

/// Tables as one transaction sees them, with the changes that it made.
#[derive(Debug, Clone, Default)]
pub struct Work {
    /// Tables with the changes applied.
    pub tables: Tables,
    /// Changes in order.
    pub changes: Vec<Change>,
}

impl Work {
    fn change(&mut self, change: Change) {
        self.tables.apply(&change);
        self.changes.push(change);
    }

    /// Runs a statement; `next_row` numbers the rows of tables without a primary key.
    ///
    /// # Errors
    /// The SQLSTATE that PostgreSQL gives. Changes made before the error stay in `self`, which the
    /// caller must then discard.
    pub fn run(
        &mut self,
        command: &Command,
        params: &[Value],
        types: &[Type],
        next_row: &mut i64,
    ) -> Result<Outcome, Refusal> {
        match command {
            Command::Select(select) => self.select(command, select, params, types),
            Command::Insert(insert) => self.insert(command, insert, params, types, next_row),
            Command::Update(update) => self.update(command, update, params, types),
            Command::Delete(delete) => self.delete(command, delete, params, types),
            Command::Create(schema, lenient) => {
                if self.tables.get(&schema.name).is_err() {
                    self.change(Change::Create(Rc::clone(schema)));
                } else if !lenient {
                    let message = format!("relation \"{}\" already exists", schema.name);
                    return Err(Refusal::new("42P07", message));
                }
                Ok(Outcome::tag("CREATE TABLE"))
            }
            Command::Drop(name, lenient) => {
                if self.tables.get(name).is_ok() {
                    self.change(Change::Drop(Rc::clone(name)));
                } else if !lenient {
                    let message = format!("table \"{name}\" does not exist");
                    return Err(Refusal::new("42P01", message));
                }
                Ok(Outcome::tag("DROP TABLE"))
            }
            other => Err(Refusal::new(
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
    ) -> Result<Outcome, Refusal> {
        let fields = fields(command, &self.tables, types)?.unwrap_or_default();
        let bare = Scope::bare(params);
        let skip = count(&bare, select.offset.as_ref())?.unwrap_or(0);
        let most = count(&bare, select.limit.as_ref())?.unwrap_or(usize::MAX);
        let Some(name) = &select.table else {
            let passes = bare.passes(select.filter.as_ref())?;
            let row = project(&select.items, &bare)?;
            let rows = (passes && skip == 0 && most > 0).then_some(row);
            return Ok(returned("SELECT", fields, rows.into_iter().collect()));
        };
        let table = self.tables.get(name)?;
        let aggregate = select.items.iter().any(|item| match item {
            Item::Expr(expr, _) => has_aggregate(expr),
            Item::All => false,
        });
        // Rows are read in the order of the key, so that without ORDER BY the limit ends the scan.
        let enough = if aggregate || !select.order.is_empty() {
            usize::MAX
        } else {
            skip.saturating_add(most)
        };
        let mut found = matching(table, select.filter.as_ref(), params, enough)?;
        if aggregate {
            let rows: Vec<Row> = found.into_iter().map(|(_key, row)| row).collect();
            let scope = Scope {
                schema: Some(&table.schema),
                group: Some(&rows),
                ..bare
            };
            let row = project(&select.items, &scope)?;
            return Ok(returned("SELECT", fields, vec![row]));
        }
        if !select.order.is_empty() {
            found = sorted(select, &table.schema, found, params)?;
        }
        let rows = found
            .iter()
            .skip(skip)
            .take(most)
            .map(|(_key, row)| project(&select.items, &Scope::row(&table.schema, row, params)))
            .collect::<Result<_, _>>()?;
        Ok(returned("SELECT", fields, rows))
    }

    fn insert(
        &mut self,
        command: &Command,
        insert: &Insert,
        params: &[Value],
        types: &[Type],
        next_row: &mut i64,
    ) -> Result<Outcome, Refusal> {
        let fields = fields(command, &self.tables, types)?;
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
                (Some(_), Conflict::Fail) => return Err(duplicate(&schema, &key)),
                (Some(old), Conflict::Update(set)) => {
                    let scope = Scope {
                        excluded: Some(&row),
                        ..Scope::row(&schema, &old, params)
                    };
                    let row = assigned(&schema, set, &old, &scope)?;
                    if schema.key_of(&row) != Some(Rc::clone(&key)) {
                        return Err(Refusal::unsupported("an upsert that changes the key"));
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
        Ok(outcome(format!("INSERT 0 {written}"), fields, returning))
    }

    fn update(
        &mut self,
        command: &Command,
        update: &Update,
        params: &[Value],
        types: &[Type],
    ) -> Result<Outcome, Refusal> {
        let fields = fields(command, &self.tables, types)?;
        let table = self.tables.get(&update.table)?;
        let schema = Rc::clone(&table.schema);
        let found = matching(table, update.filter.as_ref(), params, usize::MAX)?;
        let mut returning = Vec::new();
        let mut moved = Vec::new();
        for (key, old) in &found {
            let scope = Scope::row(&schema, old, params);
            let row = assigned(&schema, &update.set, old, &scope)?;
            if fields.is_some() {
                let scope = Scope::row(&schema, &row, params);
                returning.push(project(&update.returning, &scope)?);
            }
            match schema.key_of(&row) {
                Some(new) if new != *key => {
                    self.change(Change::Delete(Rc::clone(&schema.name), Rc::clone(key)));
                    moved.push((new, row));
                }
                _ => self.change(Change::Put(Rc::clone(&schema.name), Rc::clone(key), row)),
            }
        }
        for (key, row) in moved {
            if self.tables.get(&update.table)?.rows.contains_key(&key) {
                return Err(duplicate(&schema, &key));
            }
            self.change(Change::Put(Rc::clone(&schema.name), key, row));
        }
        Ok(outcome(
            format!("UPDATE {}", found.len()),
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
    ) -> Result<Outcome, Refusal> {
        let fields = fields(command, &self.tables, types)?;
        let table = self.tables.get(&delete.table)?;
        let schema = Rc::clone(&table.schema);
        let found = matching(table, delete.filter.as_ref(), params, usize::MAX)?;
        let mut returning = Vec::new();
        for (key, row) in &found {
            if fields.is_some() {
                let scope = Scope::row(&schema, row, params);
                returning.push(project(&delete.returning, &scope)?);
            }
            self.change(Change::Delete(Rc::clone(&schema.name), Rc::clone(key)));
        }
        Ok(outcome(
            format!("DELETE {}", found.len()),
            fields,
            returning,
        ))
    }
}

fn outcome(tag: String, fields: Option<Vec<Field>>, rows: Vec<Vec<Value>>) -> Outcome {
    Outcome {
        tag,
        rows: fields.map(|fields| Rows { fields, rows }),
    }
}

fn returned(verb: &str, fields: Vec<Field>, rows: Vec<Vec<Value>>) -> Outcome {
    Outcome {
        tag: verb.to_owned(),
        rows: Some(Rows { fields, rows }),
    }
}

fn duplicate(schema: &Schema, key: &Key) -> Refusal {
    Refusal::new(
        "23505",
        format!(
            "duplicate key value violates unique constraint \"{}_pkey\": {key:?}",
            schema.name
        ),
    )
}

fn count(scope: &Scope<'_>, expr: Option<&Expr>) -> Result<Option<usize>, Refusal> {
    let Some(expr) = expr else {
        return Ok(None);
    };
    match scope.eval(expr)?.cast(Type::Int8)? {
        Value::Int(n) => usize::try_from(n)
            .map(Some)
            .map_err(|_negative| Refusal::new("2201W", "LIMIT and OFFSET must not be negative")),
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

fn project(items: &[Item], scope: &Scope<'_>) -> Result<Vec<Value>, Refusal> {
    let mut values = Vec::with_capacity(items.len());
    for item in items {
        match (item, scope.row) {
            (Item::All, Some(row)) => values.extend(row.iter().cloned()),
            (Item::All, None) => {
                return Err(Refusal::new("42803", "* can't stand beside an aggregate"));
            }
            (Item::Expr(expr, _), _) => values.push(scope.eval(expr)?),
        }
    }
    Ok(values)
}

fn sorted(
    select: &Select,
    schema: &Schema,
    found: Vec<(Key, Row)>,
    params: &[Value],
) -> Result<Vec<(Key, Row)>, Refusal> {
    let mut keyed = Vec::with_capacity(found.len());
    for (key, row) in found {
        let scope = Scope::row(schema, &row, params);
        let values = select
            .order
            .iter()
            .map(|order| scope.eval(order_expr(select, &order.expr)))
            .collect::<Result<Vec<_>, _>>()?;
        keyed.push((values, (key, row)));
    }
    keyed.sort_by(|(left, _), (right, _)| {
        for (i, order) in select.order.iter().enumerate() {
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
fn order_expr<'a>(select: &'a Select, expr: &'a Expr) -> &'a Expr {
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
) -> Result<Row, Refusal> {
    let expected = if insert.columns.is_empty() {
        schema.columns.len()
    } else {
        insert.columns.len()
    };
    if values.len() > expected || (values.len() < expected && !insert.columns.is_empty()) {
        return Err(Refusal::new(
            "42601",
            "INSERT has not as many expressions as target columns",
        ));
    }
    let scope = Scope::bare(params);
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
    checked(schema, row)
}

fn assigned(
    schema: &Schema,
    set: &[(Rc<str>, Expr)],
    old: &Row,
    scope: &Scope<'_>,
) -> Result<Row, Refusal> {
    let mut row = old.to_vec();
    for (name, expr) in set {
        let i = schema.column(name)?;
        row[i] = scope.eval(expr)?.cast(schema.columns[i].kind)?;
    }
    checked(schema, row)
}

fn checked(schema: &Schema, row: Vec<Value>) -> Result<Row, Refusal> {
    for (column, value) in schema.columns.iter().zip(&row) {
        if column.required && value.is_null() {
            return Err(Refusal::new(
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

/// Rows that pass a filter, in the order of their keys, at most `enough`.
fn matching(
    table: &Table,
    filter: Option<&Expr>,
    params: &[Value],
    enough: usize,
) -> Result<Vec<(Key, Row)>, Refusal> {
    let mut found = Vec::new();
    let mut visit = |key: &Key, row: &Row| {
        if Scope::row(&table.schema, row, params).passes(filter)? {
            found.push((Rc::clone(key), Rc::clone(row)));
        }
        Ok::<_, Refusal>(found.len() < enough)
    };
    if enough == 0 {
        return Ok(Vec::new());
    }
    if let Some(keys) = filter.and_then(|filter| keys(&table.schema, filter, params)) {
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
    Ok(found)
}

/// Keys that a filter limits a statement to, sorted; `None` when it may need other rows.
fn keys(schema: &Schema, filter: &Expr, params: &[Value]) -> Option<Vec<Key>> {
    if schema.key.is_empty() {
        return None;
    }
    if let ([i], Expr::In(inner, list)) = (schema.key.as_slice(), filter)
        && matches!(&**inner, Expr::Column(name) if *name == schema.columns[*i].name)
    {
        let mut keys = list
            .iter()
            .map(|item| constant(schema, *i, item, params).map(|value| [value].into()))
            .collect::<Option<Vec<Key>>>()?;
        keys.sort_unstable();
        keys.dedup();
        return Some(keys);
    }
    let mut values = vec![None; schema.columns.len()];
    equalities(schema, filter, params, &mut values);
    let key: Option<Key> = schema.key.iter().map(|&i| values[i].take()).collect();
    key.map(|key| vec![key])
}

fn equalities(schema: &Schema, filter: &Expr, params: &[Value], values: &mut [Option<Value>]) {
    match filter {
        Expr::Binary(Operator::And, left, right) => {
            equalities(schema, left, params, values);
            equalities(schema, right, params, values);
        }
        Expr::Binary(Operator::Equal, left, right) => {
            let ((Expr::Column(name), other) | (other, Expr::Column(name))) = (&**left, &**right)
            else {
                return;
            };
            if let Ok(i) = schema.column(name)
                && let Some(value) = constant(schema, i, other, params)
            {
                values[i] = Some(value);
            }
        }
        _ => {}
    }
}

fn constant(schema: &Schema, i: usize, expr: &Expr, params: &[Value]) -> Option<Value> {
    if !matches!(expr, Expr::Literal(_) | Expr::Param(_)) {
        return None;
    }
    let value = Scope::bare(params).eval(expr).ok()?;
    // A value that does not fit the column is left to the filter, which reports it.
    value.cast(schema.columns[i].kind).ok()
}

/// What a statement of a transaction locks before it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Need {
    /// Table.
    pub table: TableName,
    /// Rows; `None` for the whole table.
    pub keys: Option<Vec<Key>>,
    /// Whether other transactions must not read.
    pub exclusive: bool,
}

/// Finds the locks that a statement needs; a table that does not exist needs none.
pub fn need(command: &Command, tables: &Tables, params: &[Value]) -> Option<Need> {
    let (name, filter, exclusive) = match command {
        Command::Select(select) => (select.table.as_ref()?, &select.filter, select.update),
        Command::Update(update) => {
            let schema = &tables.get(&update.table).ok()?.schema;
            // A changed key touches rows that the filter does not name.
            let moves = update
                .set
                .iter()
                .any(|(name, _)| schema.key.iter().any(|&i| schema.columns[i].name == *name));
            let filter = if moves { &None } else { &update.filter };
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
            return Some(Need {
                table: Rc::clone(&insert.table),
                // Rows without key can't collide, but whoever reads the whole table must wait.
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
        .and_then(|(filter, table)| keys(&table.schema, filter, params));
    Some(Need {
        table: Rc::clone(name),
        keys,
        exclusive,
    })
}
