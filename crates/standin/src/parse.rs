//! From SQL text to the commands of the subset.

use std::rc::Rc;

use sqlparser::{
    ast::{
        self, AssignmentTarget, BinaryOperator, ColumnOption, ConflictTarget, DataType,
        DuplicateTreatment, FromTable, FunctionArg, FunctionArgExpr, FunctionArguments,
        GroupByExpr, LimitClause, LockType, ObjectName, OnConflictAction, OnInsert, OrderByKind,
        SelectItem, SetExpr, Statement, TableConstraint, TableFactor, TableObject, TableWithJoins,
        TransactionAccessMode, TransactionMode, UnaryOperator,
    },
    dialect::PostgreSqlDialect,
    keywords::Keyword,
    parser::Parser,
    tokenizer::{Token, Tokenizer},
};

use crate::{
    command::{
        Aggregate, Command, Conflict, Delete, Expr, Insert, Item, Operator, Order, Select, Update,
    },
    refusal::Refusal,
    table::{Column, Schema, TableName},
    value::{Type, Value},
};

type Parsed<T> = Result<T, Refusal>;

/// Most parameters of a statement, as in the protocol's 16-bit count.
const PARAMETERS: usize = 65_535;

/// Most keywords and operators of a statement. Chains of operators are as deep in memory as they
/// are long; 400 overflow the 2 MiB stack of a thread in a debug build.
const NESTING: usize = 200;

/// Parses all statements of a text.
///
/// # Errors
/// 42601 when it is not SQL, 54001 when it is too deep, 0A000 when it is outside the subset.
pub fn parse(sql: &str) -> Parsed<Vec<Rc<Command>>> {
    let dialect = PostgreSqlDialect {};
    let tokens = Tokenizer::new(&dialect, sql)
        .tokenize_with_location()
        .map_err(|cause| Refusal::new("42601", cause.to_string()))?;
    let too_deep = tokens
        .split(|token| token.token == Token::SemiColon)
        .any(|part| part.iter().filter(|token| nests(&token.token)).count() > NESTING);
    if too_deep {
        return Err(Refusal::new(
            "54001",
            format!("a statement has over {NESTING} keywords and operators"),
        ));
    }
    let statements = Parser::new(&dialect)
        .with_tokens_with_locations(tokens)
        .parse_statements()
        .map_err(|cause| Refusal::new("42601", cause.to_string()))?;
    statements
        .into_iter()
        .map(|statement| command(statement).map(Rc::new))
        .collect()
}

/// Whether a token may make an expression one level deeper.
const fn nests(token: &Token) -> bool {
    match token {
        Token::Comma
        | Token::LParen
        | Token::RParen
        | Token::Period
        | Token::Number(..)
        | Token::SingleQuotedString(_)
        | Token::Placeholder(_)
        | Token::Whitespace(_)
        | Token::EOF => false,
        Token::Word(word) => !matches!(
            word.keyword,
            Keyword::NoKeyword | Keyword::NULL | Keyword::TRUE | Keyword::FALSE | Keyword::DEFAULT
        ),
        _ => true,
    }
}

fn command(statement: Statement) -> Parsed<Command> {
    match statement {
        Statement::StartTransaction { modes, .. } => Ok(begin(&modes)),
        Statement::Commit { .. } => Ok(Command::Commit),
        Statement::Rollback {
            savepoint: None, ..
        } => Ok(Command::Rollback),
        Statement::Set(set) => assign(set),
        Statement::Reset(reset) => match reset.reset {
            ast::Reset::ALL => Ok(Command::ResetAll),
            ast::Reset::ConfigurationParameter(name) => {
                Ok(Command::Set(name.to_string().to_lowercase(), None))
            }
            ast::Reset::SessionAuthorization => Err(Refusal::unsupported("this RESET")),
        },
        Statement::ShowVariable { variable } => {
            let name: Vec<_> = variable
                .iter()
                .map(|part| part.value.to_lowercase())
                .collect();
            Ok(Command::Show(name.join(".")))
        }
        Statement::Discard { .. } => Ok(Command::Discard),
        Statement::Deallocate { name, .. } => {
            let all = name.quote_style.is_none() && name.value.eq_ignore_ascii_case("all");
            Ok(Command::Deallocate(
                (!all).then(|| ident(&name).to_string()),
            ))
        }
        Statement::CreateTable(table) => create(&table),
        Statement::Drop {
            object_type: ast::ObjectType::Table,
            if_exists,
            names,
            ..
        } => match names.as_slice() {
            [name] => Ok(Command::Drop(object(name)?, if_exists)),
            _ => Err(Refusal::unsupported("DROP of several tables")),
        },
        Statement::Query(query) => select(*query),
        Statement::Insert(found) => insert(found).map(Command::Insert),
        Statement::Update(update) => {
            if update.from.is_some() || update.limit.is_some() || !update.order_by.is_empty() {
                return Err(Refusal::unsupported("UPDATE with FROM, ORDER BY or LIMIT"));
            }
            Ok(Command::Update(Update {
                table: relation(&update.table)?,
                set: assignments(update.assignments)?,
                filter: update.selection.as_ref().map(expr).transpose()?,
                returning: items(update.returning.unwrap_or_default())?,
            }))
        }
        Statement::Delete(delete) => {
            let (FromTable::WithFromKeyword(tables) | FromTable::WithoutKeyword(tables)) =
                &delete.from;
            let [table] = tables.as_slice() else {
                return Err(Refusal::unsupported("DELETE from several tables"));
            };
            if delete.using.is_some() || delete.limit.is_some() || !delete.order_by.is_empty() {
                return Err(Refusal::unsupported("DELETE with USING, ORDER BY or LIMIT"));
            }
            Ok(Command::Delete(Delete {
                table: relation(table)?,
                filter: delete.selection.as_ref().map(expr).transpose()?,
                returning: items(delete.returning.unwrap_or_default())?,
            }))
        }
        other => {
            let text = other.to_string();
            let verb = text.split_whitespace().next().unwrap_or_default();
            Err(Refusal::unsupported(format!("statement {verb}")))
        }
    }
}

fn begin(modes: &[TransactionMode]) -> Command {
    let mut read_only = false;
    for mode in modes {
        // Every isolation level is accepted, as transactions are serializable.
        if let TransactionMode::AccessMode(access) = mode {
            read_only = *access == TransactionAccessMode::ReadOnly;
        }
    }
    Command::Begin(read_only)
}

fn assign(set: ast::Set) -> Parsed<Command> {
    let ast::Set::SingleAssignment {
        variable, values, ..
    } = set
    else {
        return Err(Refusal::unsupported("this form of SET"));
    };
    let name = variable.to_string().to_lowercase();
    let texts: Vec<_> = values.iter().map(setting).collect();
    let reset = texts.len() == 1 && texts[0].eq_ignore_ascii_case("default");
    Ok(Command::Set(name, (!reset).then(|| texts.join(", "))))
}

fn setting(value: &ast::Expr) -> String {
    match value {
        ast::Expr::Value(value) => match value.value.clone().into_string() {
            Some(text) => text,
            None => value.to_string(),
        },
        other => other.to_string(),
    }
}

fn create(table: &ast::CreateTable) -> Parsed<Command> {
    if table.query.is_some() || table.or_replace || table.like.is_some() {
        return Err(Refusal::unsupported("this form of CREATE TABLE"));
    }
    let name = object(&table.name)?;
    let mut columns = Vec::new();
    let mut key: Vec<Rc<str>> = Vec::new();
    for found in &table.columns {
        let (column, primary) = column(found)?;
        if primary {
            key.push(Rc::clone(&column.name));
        }
        if columns
            .iter()
            .any(|other: &Column| other.name == column.name)
        {
            let message = format!("column \"{}\" specified more than once", column.name);
            return Err(Refusal::new("42701", message));
        }
        columns.push(column);
    }
    for constraint in &table.constraints {
        let TableConstraint::PrimaryKey(primary) = constraint else {
            return Err(Refusal::unsupported("a constraint other than PRIMARY KEY"));
        };
        for column in &primary.columns {
            let ast::Expr::Identifier(found) = &column.column.expr else {
                return Err(Refusal::unsupported("a key over an expression"));
            };
            key.push(ident(found));
        }
    }
    let mut schema = Schema {
        name,
        columns,
        key: Vec::new(),
    };
    for name in key {
        let i = schema.column(&name)?;
        if schema.key.contains(&i) {
            return Err(Refusal::new(
                "42P16",
                "multiple primary keys are not allowed",
            ));
        }
        schema.columns[i].required = true;
        schema.key.push(i);
    }
    Ok(Command::Create(Rc::new(schema), table.if_not_exists))
}

fn column(found: &ast::ColumnDef) -> Parsed<(Column, bool)> {
    let mut column = Column {
        name: ident(&found.name),
        kind: kind(&found.data_type)?,
        required: false,
        default: Value::Null,
    };
    let mut primary = false;
    for option in &found.options {
        match &option.option {
            ColumnOption::Null => {}
            ColumnOption::NotNull => column.required = true,
            ColumnOption::PrimaryKey(_) => primary = true,
            ColumnOption::Default(value) => {
                let Expr::Literal(value) = expr(value)? else {
                    return Err(Refusal::unsupported("a default that is not a constant"));
                };
                column.default = value.cast(column.kind)?;
            }
            other => return Err(Refusal::unsupported(format!("column option {other}"))),
        }
    }
    Ok((column, primary))
}

fn kind(data_type: &DataType) -> Parsed<Type> {
    Ok(match data_type {
        DataType::Int4(_) | DataType::Int(_) | DataType::Integer(_) | DataType::SmallInt(_) => {
            Type::Int4
        }
        DataType::Int8(_) | DataType::BigInt(_) => Type::Int8,
        DataType::Text | DataType::Varchar(_) | DataType::CharacterVarying(_) => Type::Text,
        DataType::Bool | DataType::Boolean => Type::Bool,
        DataType::Float8 | DataType::DoublePrecision => Type::Float8,
        other => return Err(Refusal::unsupported(format!("type {other}"))),
    })
}

fn select(query: ast::Query) -> Parsed<Command> {
    if query.with.is_some() || query.fetch.is_some() || !query.pipe_operators.is_empty() {
        return Err(Refusal::unsupported("WITH or FETCH"));
    }
    let SetExpr::Select(body) = *query.body else {
        return Err(Refusal::unsupported("a query other than SELECT"));
    };
    if body.distinct.is_some() || body.having.is_some() || body.into.is_some() {
        return Err(Refusal::unsupported("DISTINCT, HAVING or INTO"));
    }
    if !matches!(&body.group_by, GroupByExpr::Expressions(groups, _) if groups.is_empty()) {
        return Err(Refusal::unsupported("GROUP BY"));
    }
    let table = match body.from.as_slice() {
        [] => None,
        [table] => Some(relation(table)?),
        _ => return Err(Refusal::unsupported("a join")),
    };
    if table.is_none()
        && let [SelectItem::UnnamedExpr(ast::Expr::Function(function))] = body.projection.as_slice()
        && function.name.to_string().eq_ignore_ascii_case("pg_sleep")
    {
        return sleep(function);
    }
    let (limit, offset) = match query.limit_clause {
        None => (None, None),
        Some(LimitClause::LimitOffset {
            limit,
            offset,
            limit_by,
        }) if limit_by.is_empty() => (
            limit.as_ref().map(expr).transpose()?,
            offset.map(|offset| expr(&offset.value)).transpose()?,
        ),
        Some(_) => return Err(Refusal::unsupported("this form of LIMIT")),
    };
    let update = match query.locks.as_slice() {
        [] => false,
        [lock] if lock.nonblock.is_none() => lock.lock_type == LockType::Update,
        _ => return Err(Refusal::unsupported("NOWAIT or SKIP LOCKED")),
    };
    Ok(Command::Select(Select {
        items: items(body.projection)?,
        table,
        filter: body.selection.as_ref().map(expr).transpose()?,
        order: order(query.order_by)?,
        limit,
        offset,
        update,
    }))
}

fn sleep(function: &ast::Function) -> Parsed<Command> {
    let mut found = arguments(&function.args)?;
    match (found.pop(), found.is_empty()) {
        (Some(Some(ast::Expr::Value(value))), true) => {
            // A number with a fraction is no value of the subset elsewhere.
            if let ast::Value::Number(text, _) = &value.value {
                return Ok(Command::Sleep(Expr::Literal(Value::text(text))));
            }
            Ok(Command::Sleep(literal(&value.value)?))
        }
        (Some(Some(other)), true) => Ok(Command::Sleep(expr(&other)?)),
        _ => Err(Refusal::new(
            "42883",
            "pg_sleep takes one number of seconds",
        )),
    }
}

fn order(order: Option<ast::OrderBy>) -> Parsed<Vec<Order>> {
    let Some(order) = order else {
        return Ok(Vec::new());
    };
    let OrderByKind::Expressions(found) = order.kind else {
        return Err(Refusal::unsupported("ORDER BY ALL"));
    };
    found
        .into_iter()
        .map(|order| {
            let options = order.options.to_string().to_uppercase();
            let descending = options.contains("DESC");
            let nulls_first =
                options.contains("NULLS FIRST") || (descending && !options.contains("NULLS LAST"));
            Ok(Order {
                expr: expr(&order.expr)?,
                descending,
                nulls_first,
            })
        })
        .collect()
}

fn insert(found: ast::Insert) -> Parsed<Insert> {
    let TableObject::TableName(name) = &found.table else {
        return Err(Refusal::unsupported(
            "INSERT into something other than a table",
        ));
    };
    let conflict = match found.on {
        None => Conflict::Fail,
        Some(OnInsert::OnConflict(conflict)) => {
            if matches!(
                conflict.conflict_target,
                Some(ConflictTarget::Columns {
                    predicate: Some(_),
                    ..
                })
            ) {
                return Err(Refusal::unsupported("ON CONFLICT with a predicate"));
            }
            match conflict.action {
                OnConflictAction::DoNothing => Conflict::Nothing,
                OnConflictAction::DoUpdate(update) if update.selection.is_none() => {
                    Conflict::Update(assignments(update.assignments)?)
                }
                OnConflictAction::DoUpdate(_) => {
                    return Err(Refusal::unsupported("DO UPDATE with WHERE"));
                }
            }
        }
        Some(_) => return Err(Refusal::unsupported("ON DUPLICATE KEY")),
    };
    let rows = match found.source.map(|source| *source.body) {
        Some(SetExpr::Values(values)) => values.rows,
        _ => return Err(Refusal::unsupported("INSERT without VALUES")),
    };
    let rows = rows
        .into_iter()
        .map(|row| row.content.iter().map(given).collect())
        .collect::<Parsed<_>>()?;
    Ok(Insert {
        table: object(name)?,
        columns: found.columns.iter().map(object).collect::<Parsed<_>>()?,
        rows,
        conflict,
        returning: items(found.returning.unwrap_or_default())?,
    })
}

fn given(value: &ast::Expr) -> Parsed<Option<Expr>> {
    match value {
        ast::Expr::Identifier(found)
            if found.quote_style.is_none() && found.value.eq_ignore_ascii_case("default") =>
        {
            Ok(None)
        }
        _ => expr(value).map(Some),
    }
}

fn assignments(found: Vec<ast::Assignment>) -> Parsed<Vec<(Rc<str>, Expr)>> {
    found
        .into_iter()
        .map(|assignment| match assignment.target {
            AssignmentTarget::ColumnName(name) => Ok((object(&name)?, expr(&assignment.value)?)),
            AssignmentTarget::Tuple(_) => Err(Refusal::unsupported("assignment of a tuple")),
        })
        .collect()
}

fn items(found: Vec<SelectItem>) -> Parsed<Vec<Item>> {
    found
        .into_iter()
        .map(|item| match item {
            SelectItem::Wildcard(_) | SelectItem::QualifiedWildcard(..) => Ok(Item::All),
            SelectItem::UnnamedExpr(found) => {
                let name = label(&found);
                Ok(Item::Expr(expr(&found)?, name))
            }
            SelectItem::ExprWithAlias { expr: found, alias } => {
                Ok(Item::Expr(expr(&found)?, ident(&alias).to_string()))
            }
            SelectItem::ExprWithAliases { .. } => Err(Refusal::unsupported("several aliases")),
        })
        .collect()
}

/// Name of a result column without alias, as PostgreSQL chooses it.
fn label(found: &ast::Expr) -> String {
    match found {
        ast::Expr::Identifier(name) => ident(name).to_string(),
        ast::Expr::CompoundIdentifier(parts) => parts
            .last()
            .map(|name| ident(name).to_string())
            .unwrap_or_default(),
        ast::Expr::Function(function) => function.name.to_string().to_lowercase(),
        ast::Expr::Cast { expr, .. } | ast::Expr::Nested(expr) => label(expr),
        _ => "?column?".to_owned(),
    }
}

fn relation(table: &TableWithJoins) -> Parsed<TableName> {
    if !table.joins.is_empty() {
        return Err(Refusal::unsupported("a join"));
    }
    match &table.relation {
        TableFactor::Table {
            name, args: None, ..
        } => object(name),
        _ => Err(Refusal::unsupported("a relation other than a table")),
    }
}

/// Last part of a name; the schema before it is ignored, as there is only one.
fn object(name: &ObjectName) -> Parsed<Rc<str>> {
    name.0
        .last()
        .and_then(|part| part.as_ident())
        .map(ident)
        .ok_or_else(|| Refusal::unsupported(format!("name {name}")))
}

fn ident(found: &ast::Ident) -> Rc<str> {
    if found.quote_style.is_some() {
        found.value.as_str().into()
    } else {
        found.value.to_lowercase().into()
    }
}

fn expr(found: &ast::Expr) -> Parsed<Expr> {
    Ok(match found {
        ast::Expr::Identifier(name) => Expr::Column(ident(name)),
        ast::Expr::CompoundIdentifier(parts) => match parts.as_slice() {
            // `excluded.x` of an upsert stays apart from the column of the table.
            [table, name] if table.value.eq_ignore_ascii_case("excluded") => {
                Expr::Column(format!("excluded.{}", ident(name)).into())
            }
            [.., name] => Expr::Column(ident(name)),
            [] => return Err(Refusal::unsupported("an empty name")),
        },
        ast::Expr::Value(value) => literal(&value.value)?,
        ast::Expr::Nested(inner) => expr(inner)?,
        ast::Expr::BinaryOp { left, op, right } => {
            Expr::Binary(operator(op)?, Box::new(expr(left)?), Box::new(expr(right)?))
        }
        ast::Expr::UnaryOp { op, expr: inner } => {
            let inner = expr(inner)?;
            match op {
                UnaryOperator::Not => Expr::Not(Box::new(inner)),
                UnaryOperator::Minus => match inner {
                    Expr::Literal(Value::Int(n)) => Expr::Literal(Value::Int(-n)),
                    inner => Expr::Negate(Box::new(inner)),
                },
                UnaryOperator::Plus => inner,
                other => return Err(Refusal::unsupported(format!("operator {other}"))),
            }
        }
        ast::Expr::In {
            expr: inner,
            target: ast::InTarget::List(list),
            negated,
            ..
        } => {
            let list = list.iter().map(expr).collect::<Parsed<_>>()?;
            negate(Expr::In(Box::new(expr(inner)?), list), *negated)
        }
        ast::Expr::Between {
            expr: inner,
            negated,
            low,
            high,
        } => {
            let inner = expr(inner)?;
            let low = Expr::Binary(
                Operator::AtLeast,
                Box::new(inner.clone()),
                Box::new(expr(low)?),
            );
            let high = Expr::Binary(Operator::AtMost, Box::new(inner), Box::new(expr(high)?));
            let both = Expr::Binary(Operator::And, Box::new(low), Box::new(high));
            negate(both, *negated)
        }
        ast::Expr::IsNull(inner) => Expr::IsNull(Box::new(expr(inner)?)),
        ast::Expr::IsNotNull(inner) => Expr::Not(Box::new(Expr::IsNull(Box::new(expr(inner)?)))),
        ast::Expr::Cast {
            expr: inner,
            data_type,
            ..
        } => Expr::Cast(Box::new(expr(inner)?), kind(data_type)?),
        ast::Expr::Function(function) => call(function)?,
        other => return Err(Refusal::unsupported(format!("expression {other}"))),
    })
}

fn negate(inner: Expr, negated: bool) -> Expr {
    if negated {
        Expr::Not(Box::new(inner))
    } else {
        inner
    }
}

fn literal(value: &ast::Value) -> Parsed<Expr> {
    Ok(match value {
        ast::Value::Number(text, _) => {
            let number: i64 = text
                .parse()
                .map_err(|_invalid| Refusal::unsupported(format!("number {text}")))?;
            Expr::Literal(Value::Int(number))
        }
        ast::Value::Boolean(truth) => Expr::Literal(Value::Bool(*truth)),
        ast::Value::Null => Expr::Literal(Value::Null),
        ast::Value::Placeholder(name) => {
            let number = name
                .strip_prefix('$')
                .and_then(|digits| digits.parse::<usize>().ok())
                .filter(|number| (1..=PARAMETERS).contains(number))
                .ok_or_else(|| Refusal::new("42601", format!("parameter {name} is not $n")))?;
            Expr::Param(number - 1)
        }
        other => match other.clone().into_string() {
            Some(text) => Expr::Literal(Value::text(&text)),
            None => return Err(Refusal::unsupported("this constant")),
        },
    })
}

fn operator(op: &BinaryOperator) -> Parsed<Operator> {
    Ok(match op {
        BinaryOperator::Eq => Operator::Equal,
        BinaryOperator::NotEq => Operator::Differ,
        BinaryOperator::Lt => Operator::Less,
        BinaryOperator::LtEq => Operator::AtMost,
        BinaryOperator::Gt => Operator::Greater,
        BinaryOperator::GtEq => Operator::AtLeast,
        BinaryOperator::And => Operator::And,
        BinaryOperator::Or => Operator::Or,
        BinaryOperator::Plus => Operator::Add,
        BinaryOperator::Minus => Operator::Subtract,
        BinaryOperator::Multiply => Operator::Multiply,
        BinaryOperator::Divide => Operator::Divide,
        BinaryOperator::Modulo => Operator::Modulo,
        BinaryOperator::StringConcat => Operator::Concat,
        other => return Err(Refusal::unsupported(format!("operator {other}"))),
    })
}

fn arguments(found: &FunctionArguments) -> Parsed<Vec<Option<ast::Expr>>> {
    let FunctionArguments::List(list) = found else {
        return Ok(Vec::new());
    };
    if list.duplicate_treatment == Some(DuplicateTreatment::Distinct) || !list.clauses.is_empty() {
        return Err(Refusal::unsupported("DISTINCT in a function"));
    }
    list.args
        .iter()
        .map(|argument| match argument {
            FunctionArg::Unnamed(FunctionArgExpr::Expr(found)) => Ok(Some(found.clone())),
            FunctionArg::Unnamed(FunctionArgExpr::Wildcard) => Ok(None),
            _ => Err(Refusal::unsupported("this form of argument")),
        })
        .collect()
}

fn call(function: &ast::Function) -> Parsed<Expr> {
    let name = function.name.to_string().to_lowercase();
    if function.over.is_some() || function.filter.is_some() {
        return Err(Refusal::unsupported("OVER or FILTER"));
    }
    let mut found = arguments(&function.args)?
        .into_iter()
        .map(|argument| argument.as_ref().map(expr).transpose())
        .collect::<Parsed<Vec<_>>>()?;
    let aggregate = match name.as_str() {
        "count" => Aggregate::Count,
        "sum" => Aggregate::Sum,
        "min" => Aggregate::Min,
        "max" => Aggregate::Max,
        "coalesce" => {
            let found: Option<Vec<_>> = found.into_iter().collect();
            return found
                .map(Expr::Coalesce)
                .ok_or_else(|| Refusal::new("42601", "coalesce(*) is not a function"));
        }
        "version" => {
            return Ok(Expr::Literal(Value::text(crate::session::VERSION)));
        }
        _ => {
            return Err(Refusal::new(
                "42883",
                format!("function {name} does not exist"),
            ));
        }
    };
    match (found.pop(), found.is_empty()) {
        (Some(None), true) if aggregate == Aggregate::Count => Ok(Expr::Aggregate(aggregate, None)),
        (Some(Some(operand)), true) => Ok(Expr::Aggregate(aggregate, Some(Box::new(operand)))),
        _ => Err(Refusal::new("42883", format!("{name} takes one argument"))),
    }
}
