//! Parses SQL text into commands of the supported subset.

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
        Aggregate, Command, Conflict, Delete, Expr, Insert, Item, Operator, OrderBy, Select, Update,
    },
    sql_error::SqlError,
    table::{Column, Schema, TableName},
    value::{Type, Value},
};

type ParseResult<T> = Result<T, SqlError>;

/// Maximum number of parameters of a statement; the protocol counts them in 16 bits.
const MAX_PARAMETERS: usize = 65_535;

/// Maximum number of keywords and operators of a statement. A chain of operators parses into a tree
/// as deep as the chain is long; 400 overflow the 2 MiB stack of a thread in a debug build.
const MAX_OPERATORS: usize = 200;

/// Parses all statements of a text.
///
/// # Errors
/// 42601 on a syntax error, 54001 when a statement is too complex, 0A000 when it is outside the
/// subset.
pub fn parse(sql: &str) -> ParseResult<Vec<Rc<Command>>> {
    let dialect = PostgreSqlDialect {};
    let tokens = Tokenizer::new(&dialect, sql)
        .tokenize_with_location()
        .map_err(|cause| SqlError::new("42601", cause.to_string()))?;
    let too_deep = tokens
        .split(|token| token.token == Token::SemiColon)
        .any(|part| part.iter().filter(|token| adds_depth(&token.token)).count() > MAX_OPERATORS);
    if too_deep {
        return Err(SqlError::new(
            "54001",
            format!("a statement has over {MAX_OPERATORS} keywords and operators"),
        ));
    }
    let statements = Parser::new(&dialect)
        .with_tokens_with_locations(tokens)
        .parse_statements()
        .map_err(|cause| SqlError::new("42601", cause.to_string()))?;
    statements
        .into_iter()
        .map(|statement| command(statement).map(Rc::new))
        .collect()
}

/// Whether a token may add a level to the expression tree.
const fn adds_depth(token: &Token) -> bool {
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

fn command(statement: Statement) -> ParseResult<Command> {
    match statement {
        Statement::StartTransaction { modes, .. } => Ok(begin(&modes)),
        Statement::Commit { .. } => Ok(Command::Commit),
        Statement::Rollback {
            savepoint: None, ..
        } => Ok(Command::Rollback),
        Statement::Set(set) => set_variable(set),
        Statement::Reset(reset) => match reset.reset {
            ast::Reset::ALL => Ok(Command::ResetAll),
            ast::Reset::ConfigurationParameter(name) => {
                Ok(Command::Set(name.to_string().to_lowercase(), None))
            }
            ast::Reset::SessionAuthorization => Err(SqlError::unsupported("this RESET")),
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
                (!all).then(|| identifier(&name).to_string()),
            ))
        }
        Statement::CreateTable(table) => create_table(&table),
        Statement::Drop {
            object_type: ast::ObjectType::Table,
            if_exists,
            names,
            ..
        } => match names.as_slice() {
            [name] => Ok(Command::Drop(object_name(name)?, if_exists)),
            _ => Err(SqlError::unsupported("DROP of several tables")),
        },
        Statement::Query(query) => select(*query),
        Statement::Insert(statement) => insert(statement).map(Command::Insert),
        Statement::Update(update) => {
            if update.from.is_some() || update.limit.is_some() || !update.order_by.is_empty() {
                return Err(SqlError::unsupported("UPDATE with FROM, ORDER BY or LIMIT"));
            }
            Ok(Command::Update(Update {
                table: table_name(&update.table)?,
                set: assignments(update.assignments)?,
                filter: update.selection.as_ref().map(expr).transpose()?,
                returning: items(update.returning.unwrap_or_default())?,
            }))
        }
        Statement::Delete(delete) => {
            let (FromTable::WithFromKeyword(tables) | FromTable::WithoutKeyword(tables)) =
                &delete.from;
            let [table] = tables.as_slice() else {
                return Err(SqlError::unsupported("DELETE from several tables"));
            };
            if delete.using.is_some() || delete.limit.is_some() || !delete.order_by.is_empty() {
                return Err(SqlError::unsupported(
                    "DELETE with USING, ORDER BY or LIMIT",
                ));
            }
            Ok(Command::Delete(Delete {
                table: table_name(table)?,
                filter: delete.selection.as_ref().map(expr).transpose()?,
                returning: items(delete.returning.unwrap_or_default())?,
            }))
        }
        other => {
            let text = other.to_string();
            let verb = text.split_whitespace().next().unwrap_or_default();
            Err(SqlError::unsupported(format!("statement {verb}")))
        }
    }
}

fn begin(modes: &[TransactionMode]) -> Command {
    let mut read_only = false;
    for mode in modes {
        // Any isolation level is accepted: transactions are always serializable.
        if let TransactionMode::AccessMode(access) = mode {
            read_only = *access == TransactionAccessMode::ReadOnly;
        }
    }
    Command::Begin(read_only)
}

fn set_variable(set: ast::Set) -> ParseResult<Command> {
    let ast::Set::SingleAssignment {
        variable, values, ..
    } = set
    else {
        return Err(SqlError::unsupported("this form of SET"));
    };
    let name = variable.to_string().to_lowercase();
    let texts: Vec<_> = values.iter().map(setting_value).collect();
    let reset = texts.len() == 1 && texts[0].eq_ignore_ascii_case("default");
    Ok(Command::Set(name, (!reset).then(|| texts.join(", "))))
}

fn setting_value(value: &ast::Expr) -> String {
    match value {
        ast::Expr::Value(value) => match value.value.clone().into_string() {
            Some(text) => text,
            None => value.to_string(),
        },
        other => other.to_string(),
    }
}

fn create_table(table: &ast::CreateTable) -> ParseResult<Command> {
    if table.query.is_some() || table.or_replace || table.like.is_some() {
        return Err(SqlError::unsupported("this form of CREATE TABLE"));
    }
    let name = object_name(&table.name)?;
    let mut columns = Vec::new();
    let mut key: Vec<Rc<str>> = Vec::new();
    for definition in &table.columns {
        let (column, primary) = column(definition)?;
        if primary {
            key.push(Rc::clone(&column.name));
        }
        if columns
            .iter()
            .any(|other: &Column| other.name == column.name)
        {
            let message = format!("column \"{}\" specified more than once", column.name);
            return Err(SqlError::new("42701", message));
        }
        columns.push(column);
    }
    for constraint in &table.constraints {
        let TableConstraint::PrimaryKey(primary) = constraint else {
            return Err(SqlError::unsupported("a constraint other than PRIMARY KEY"));
        };
        for column in &primary.columns {
            let ast::Expr::Identifier(name) = &column.column.expr else {
                return Err(SqlError::unsupported("a key over an expression"));
            };
            key.push(identifier(name));
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
            return Err(SqlError::new(
                "42P16",
                "multiple primary keys are not allowed",
            ));
        }
        schema.columns[i].required = true;
        schema.key.push(i);
    }
    Ok(Command::Create(Rc::new(schema), table.if_not_exists))
}

fn column(definition: &ast::ColumnDef) -> ParseResult<(Column, bool)> {
    let mut column = Column {
        name: identifier(&definition.name),
        kind: kind(&definition.data_type)?,
        required: false,
        default: Value::Null,
    };
    let mut primary = false;
    for option in &definition.options {
        match &option.option {
            ColumnOption::Null => {}
            ColumnOption::NotNull => column.required = true,
            ColumnOption::PrimaryKey(_) => primary = true,
            ColumnOption::Default(value) => {
                let Expr::Literal(value) = expr(value)? else {
                    return Err(SqlError::unsupported("a default that is not a constant"));
                };
                column.default = value.cast(column.kind)?;
            }
            other => return Err(SqlError::unsupported(format!("column option {other}"))),
        }
    }
    Ok((column, primary))
}

fn kind(data_type: &DataType) -> ParseResult<Type> {
    Ok(match data_type {
        DataType::Int4(_) | DataType::Int(_) | DataType::Integer(_) | DataType::SmallInt(_) => {
            Type::Int4
        }
        DataType::Int8(_) | DataType::BigInt(_) => Type::Int8,
        DataType::Text | DataType::Varchar(_) | DataType::CharacterVarying(_) => Type::Text,
        DataType::Bool | DataType::Boolean => Type::Bool,
        DataType::Float8 | DataType::DoublePrecision => Type::Float8,
        other => return Err(SqlError::unsupported(format!("type {other}"))),
    })
}

fn select(query: ast::Query) -> ParseResult<Command> {
    if query.with.is_some() || query.fetch.is_some() || !query.pipe_operators.is_empty() {
        return Err(SqlError::unsupported("WITH or FETCH"));
    }
    let SetExpr::Select(body) = *query.body else {
        return Err(SqlError::unsupported("a query other than SELECT"));
    };
    if body.distinct.is_some() || body.having.is_some() || body.into.is_some() {
        return Err(SqlError::unsupported("DISTINCT, HAVING or INTO"));
    }
    if !matches!(&body.group_by, GroupByExpr::Expressions(groups, _) if groups.is_empty()) {
        return Err(SqlError::unsupported("GROUP BY"));
    }
    let table = match body.from.as_slice() {
        [] => None,
        [table] => Some(table_name(table)?),
        _ => return Err(SqlError::unsupported("a join")),
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
        Some(_) => return Err(SqlError::unsupported("this form of LIMIT")),
    };
    let for_update = match query.locks.as_slice() {
        [] => false,
        [lock] if lock.nonblock.is_none() => lock.lock_type == LockType::Update,
        _ => return Err(SqlError::unsupported("NOWAIT or SKIP LOCKED")),
    };
    Ok(Command::Select(Select {
        items: items(body.projection)?,
        table,
        filter: body.selection.as_ref().map(expr).transpose()?,
        order_by: order_by(query.order_by)?,
        limit,
        offset,
        for_update,
    }))
}

fn sleep(function: &ast::Function) -> ParseResult<Command> {
    let mut args = arguments(&function.args)?;
    match (args.pop(), args.is_empty()) {
        (Some(Some(ast::Expr::Value(value))), true) => {
            // Only pg_sleep accepts fractional numbers.
            if let ast::Value::Number(text, _) = &value.value {
                return Ok(Command::Sleep(Expr::Literal(Value::text(text))));
            }
            Ok(Command::Sleep(literal(&value.value)?))
        }
        (Some(Some(other)), true) => Ok(Command::Sleep(expr(&other)?)),
        _ => Err(SqlError::new(
            "42883",
            "pg_sleep takes one number of seconds",
        )),
    }
}

fn order_by(order: Option<ast::OrderBy>) -> ParseResult<Vec<OrderBy>> {
    let Some(order) = order else {
        return Ok(Vec::new());
    };
    let OrderByKind::Expressions(exprs) = order.kind else {
        return Err(SqlError::unsupported("ORDER BY ALL"));
    };
    exprs
        .into_iter()
        .map(|order| {
            let options = order.options.to_string().to_uppercase();
            let descending = options.contains("DESC");
            let nulls_first =
                options.contains("NULLS FIRST") || (descending && !options.contains("NULLS LAST"));
            Ok(OrderBy {
                expr: expr(&order.expr)?,
                descending,
                nulls_first,
            })
        })
        .collect()
}

fn insert(statement: ast::Insert) -> ParseResult<Insert> {
    let TableObject::TableName(name) = &statement.table else {
        return Err(SqlError::unsupported(
            "INSERT into something other than a table",
        ));
    };
    let conflict = match statement.on {
        None => Conflict::Fail,
        Some(OnInsert::OnConflict(conflict)) => {
            if matches!(
                conflict.conflict_target,
                Some(ConflictTarget::Columns {
                    predicate: Some(_),
                    ..
                })
            ) {
                return Err(SqlError::unsupported("ON CONFLICT with a predicate"));
            }
            match conflict.action {
                OnConflictAction::DoNothing => Conflict::Nothing,
                OnConflictAction::DoUpdate(update) if update.selection.is_none() => {
                    Conflict::Update(assignments(update.assignments)?)
                }
                OnConflictAction::DoUpdate(_) => {
                    return Err(SqlError::unsupported("DO UPDATE with WHERE"));
                }
            }
        }
        Some(_) => return Err(SqlError::unsupported("ON DUPLICATE KEY")),
    };
    let rows = match statement.source.map(|source| *source.body) {
        Some(SetExpr::Values(values)) => values.rows,
        _ => return Err(SqlError::unsupported("INSERT without VALUES")),
    };
    let rows = rows
        .into_iter()
        .map(|row| row.content.iter().map(value_or_default).collect())
        .collect::<ParseResult<_>>()?;
    Ok(Insert {
        table: object_name(name)?,
        columns: statement
            .columns
            .iter()
            .map(object_name)
            .collect::<ParseResult<_>>()?,
        rows,
        conflict,
        returning: items(statement.returning.unwrap_or_default())?,
    })
}

fn value_or_default(value: &ast::Expr) -> ParseResult<Option<Expr>> {
    match value {
        ast::Expr::Identifier(name)
            if name.quote_style.is_none() && name.value.eq_ignore_ascii_case("default") =>
        {
            Ok(None)
        }
        _ => expr(value).map(Some),
    }
}

fn assignments(assignments: Vec<ast::Assignment>) -> ParseResult<Vec<(Rc<str>, Expr)>> {
    assignments
        .into_iter()
        .map(|assignment| match assignment.target {
            AssignmentTarget::ColumnName(name) => {
                Ok((object_name(&name)?, expr(&assignment.value)?))
            }
            AssignmentTarget::Tuple(_) => Err(SqlError::unsupported("assignment of a tuple")),
        })
        .collect()
}

fn items(items: Vec<SelectItem>) -> ParseResult<Vec<Item>> {
    items
        .into_iter()
        .map(|item| match item {
            SelectItem::Wildcard(_) | SelectItem::QualifiedWildcard(..) => Ok(Item::All),
            SelectItem::UnnamedExpr(value) => {
                let name = column_label(&value);
                Ok(Item::Expr(expr(&value)?, name))
            }
            SelectItem::ExprWithAlias { expr: value, alias } => {
                Ok(Item::Expr(expr(&value)?, identifier(&alias).to_string()))
            }
            SelectItem::ExprWithAliases { .. } => Err(SqlError::unsupported("several aliases")),
        })
        .collect()
}

/// Name of a result column without alias, as PostgreSQL chooses it.
fn column_label(value: &ast::Expr) -> String {
    match value {
        ast::Expr::Identifier(name) => identifier(name).to_string(),
        ast::Expr::CompoundIdentifier(parts) => parts
            .last()
            .map(|name| identifier(name).to_string())
            .unwrap_or_default(),
        ast::Expr::Function(function) => function.name.to_string().to_lowercase(),
        ast::Expr::Cast { expr, .. } | ast::Expr::Nested(expr) => column_label(expr),
        _ => "?column?".to_owned(),
    }
}

fn table_name(table: &TableWithJoins) -> ParseResult<TableName> {
    if !table.joins.is_empty() {
        return Err(SqlError::unsupported("a join"));
    }
    match &table.relation {
        TableFactor::Table {
            name, args: None, ..
        } => object_name(name),
        _ => Err(SqlError::unsupported("a relation other than a table")),
    }
}

/// Last part of a qualified name; the schema is ignored because there is only one.
fn object_name(name: &ObjectName) -> ParseResult<Rc<str>> {
    name.0
        .last()
        .and_then(|part| part.as_ident())
        .map(identifier)
        .ok_or_else(|| SqlError::unsupported(format!("name {name}")))
}

fn identifier(ident: &ast::Ident) -> Rc<str> {
    if ident.quote_style.is_some() {
        ident.value.as_str().into()
    } else {
        ident.value.to_lowercase().into()
    }
}

fn expr(input: &ast::Expr) -> ParseResult<Expr> {
    Ok(match input {
        ast::Expr::Identifier(name) => Expr::Column(identifier(name)),
        ast::Expr::CompoundIdentifier(parts) => match parts.as_slice() {
            // The prefix distinguishes `excluded.x` of an upsert from the column of the table.
            [table, name] if table.value.eq_ignore_ascii_case("excluded") => {
                Expr::Column(format!("excluded.{}", identifier(name)).into())
            }
            [.., name] => Expr::Column(identifier(name)),
            [] => return Err(SqlError::unsupported("an empty name")),
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
                other => return Err(SqlError::unsupported(format!("operator {other}"))),
            }
        }
        ast::Expr::In {
            expr: inner,
            target: ast::InTarget::List(list),
            negated,
            ..
        } => {
            let list = list.iter().map(expr).collect::<ParseResult<_>>()?;
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
                Operator::GreaterOrEqual,
                Box::new(inner.clone()),
                Box::new(expr(low)?),
            );
            let high = Expr::Binary(
                Operator::LessOrEqual,
                Box::new(inner),
                Box::new(expr(high)?),
            );
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
        ast::Expr::Function(function) => function_call(function)?,
        other => return Err(SqlError::unsupported(format!("expression {other}"))),
    })
}

fn negate(inner: Expr, negated: bool) -> Expr {
    if negated {
        Expr::Not(Box::new(inner))
    } else {
        inner
    }
}

fn literal(value: &ast::Value) -> ParseResult<Expr> {
    Ok(match value {
        ast::Value::Number(text, _) => {
            let number: i64 = text
                .parse()
                .map_err(|_invalid| SqlError::unsupported(format!("number {text}")))?;
            Expr::Literal(Value::Int(number))
        }
        ast::Value::Boolean(truth) => Expr::Literal(Value::Bool(*truth)),
        ast::Value::Null => Expr::Literal(Value::Null),
        ast::Value::Placeholder(name) => {
            let number = name
                .strip_prefix('$')
                .and_then(|digits| digits.parse::<usize>().ok())
                .filter(|number| (1..=MAX_PARAMETERS).contains(number))
                .ok_or_else(|| SqlError::new("42601", format!("parameter {name} is not $n")))?;
            Expr::Param(number - 1)
        }
        other => match other.clone().into_string() {
            Some(text) => Expr::Literal(Value::text(&text)),
            None => return Err(SqlError::unsupported("this constant")),
        },
    })
}

fn operator(op: &BinaryOperator) -> ParseResult<Operator> {
    Ok(match op {
        BinaryOperator::Eq => Operator::Equal,
        BinaryOperator::NotEq => Operator::NotEqual,
        BinaryOperator::Lt => Operator::Less,
        BinaryOperator::LtEq => Operator::LessOrEqual,
        BinaryOperator::Gt => Operator::Greater,
        BinaryOperator::GtEq => Operator::GreaterOrEqual,
        BinaryOperator::And => Operator::And,
        BinaryOperator::Or => Operator::Or,
        BinaryOperator::Plus => Operator::Add,
        BinaryOperator::Minus => Operator::Subtract,
        BinaryOperator::Multiply => Operator::Multiply,
        BinaryOperator::Divide => Operator::Divide,
        BinaryOperator::Modulo => Operator::Modulo,
        BinaryOperator::StringConcat => Operator::Concat,
        other => return Err(SqlError::unsupported(format!("operator {other}"))),
    })
}

fn arguments(arguments: &FunctionArguments) -> ParseResult<Vec<Option<ast::Expr>>> {
    let FunctionArguments::List(list) = arguments else {
        return Ok(Vec::new());
    };
    if list.duplicate_treatment == Some(DuplicateTreatment::Distinct) || !list.clauses.is_empty() {
        return Err(SqlError::unsupported("DISTINCT in a function"));
    }
    list.args
        .iter()
        .map(|argument| match argument {
            FunctionArg::Unnamed(FunctionArgExpr::Expr(value)) => Ok(Some(value.clone())),
            FunctionArg::Unnamed(FunctionArgExpr::Wildcard) => Ok(None),
            _ => Err(SqlError::unsupported("this form of argument")),
        })
        .collect()
}

fn function_call(function: &ast::Function) -> ParseResult<Expr> {
    let name = function.name.to_string().to_lowercase();
    if function.over.is_some() || function.filter.is_some() {
        return Err(SqlError::unsupported("OVER or FILTER"));
    }
    let mut args = arguments(&function.args)?
        .into_iter()
        .map(|argument| argument.as_ref().map(expr).transpose())
        .collect::<ParseResult<Vec<_>>>()?;
    let aggregate = match name.as_str() {
        "count" => Aggregate::Count,
        "sum" => Aggregate::Sum,
        "min" => Aggregate::Min,
        "max" => Aggregate::Max,
        "coalesce" => {
            let args: Option<Vec<_>> = args.into_iter().collect();
            return args
                .map(Expr::Coalesce)
                .ok_or_else(|| SqlError::new("42601", "coalesce(*) is not a function"));
        }
        "version" => {
            return Ok(Expr::Literal(Value::text(crate::session::VERSION)));
        }
        _ => {
            return Err(SqlError::new(
                "42883",
                format!("function {name} does not exist"),
            ));
        }
    };
    match (args.pop(), args.is_empty()) {
        (Some(None), true) if aggregate == Aggregate::Count => Ok(Expr::Aggregate(aggregate, None)),
        (Some(Some(operand)), true) => Ok(Expr::Aggregate(aggregate, Some(Box::new(operand)))),
        _ => Err(SqlError::new("42883", format!("{name} takes one argument"))),
    }
}
