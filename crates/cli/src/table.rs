//! Renders the JSON answers of the API as text.

use std::fmt::Write as _;

use serde_json::{Map, Value};

/// Replaces control characters, which could manipulate the operator's terminal.
pub fn printable(text: &str) -> String {
    text.chars()
        .map(|char| if char.is_control() { '\u{fffd}' } else { char })
        .collect()
}

/// Renders a value on one line.
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) if text.is_empty() => "-".into(),
        Value::String(text) => printable(text),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(", "),
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| format!("{}={}", printable(name), cell(value)))
            .collect::<Vec<_>>()
            .join(" "),
        other => other.to_string(),
    }
}

/// Fields that identify a row. Their columns come first.
const KEY_COLUMNS: [&str; 4] = ["group", "entry", "name", "member"];

/// Renders lists of objects as tables, and other fields as one line each.
pub fn render(value: &Value) -> String {
    let mut text = String::new();
    match value {
        Value::Array(rows) => write_table(&mut text, "", rows),
        Value::Object(fields) => {
            for (name, value) in fields.iter().filter(|(_, value)| !is_table(value)) {
                let _infallible = writeln!(text, "{}: {}", printable(name), cell(value));
            }
            for (name, value) in fields.iter().filter(|(_, value)| is_table(value)) {
                if let Value::Array(rows) = value {
                    write_table(&mut text, name, rows);
                }
            }
        }
        other => {
            let _infallible = writeln!(text, "{}", cell(other));
        }
    }
    text
}

fn is_table(value: &Value) -> bool {
    value
        .as_array()
        .is_some_and(|rows| rows.iter().any(Value::is_object))
}

/// Writes a table. A column that contains tables becomes a separate table, whose first column
/// identifies the outer row.
fn write_table(text: &mut String, title: &str, rows: &[Value]) {
    let rows: Vec<_> = rows.iter().filter_map(Value::as_object).collect();
    let mut columns: Vec<&str> = Vec::new();
    let mut nested: Vec<&str> = Vec::new();
    for (name, value) in rows.iter().flat_map(|row| row.iter()) {
        let list = if is_table(value) {
            &mut nested
        } else {
            &mut columns
        };
        if !list.contains(&name.as_str()) {
            list.push(name);
        }
    }
    columns.retain(|name| !nested.contains(name));
    let rank = |name: &str| KEY_COLUMNS.iter().position(|known| *known == name);
    columns.sort_by_key(|name| rank(name).unwrap_or(KEY_COLUMNS.len()));
    let mut lines = vec![
        columns
            .iter()
            .map(|name| printable(name))
            .collect::<Vec<_>>(),
    ];
    lines.extend(rows.iter().map(|row| {
        let value = |name: &&str| row.get(*name).map_or_else(|| "-".into(), cell);
        columns.iter().map(value).collect()
    }));
    let width = |at: usize| {
        lines
            .iter()
            .map(|line| line[at].chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<_> = (0..columns.len()).map(width).collect();
    if !title.is_empty() {
        let _infallible = writeln!(text, "\n{}", printable(title));
    }
    for line in &lines {
        let padded: Vec<_> = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        let _infallible = writeln!(text, "  {}", padded.join("  ").trim_end());
    }
    for name in nested {
        let rows: Vec<_> = rows.iter().flat_map(|row| nested_rows(row, name)).collect();
        write_table(text, &format!("{title} {name}"), &rows);
    }
}

/// Returns the rows of a nested table, each with the field that identifies the outer row.
fn nested_rows(outer: &Map<String, Value>, name: &str) -> Vec<Value> {
    let key = KEY_COLUMNS.iter().find_map(|key| outer.get_key_value(*key));
    let rows = outer.get(name).and_then(Value::as_array);
    let rows = rows.into_iter().flatten().filter_map(Value::as_object);
    rows.map(|row| {
        let mut row = row.clone();
        if let Some((key, value)) = key {
            row.entry(key.clone()).or_insert_with(|| value.clone());
        }
        Value::Object(row)
    })
    .collect()
}
