//! Answers of the API as text for people.

use std::fmt::Write as _;

use serde_json::{Map, Value};

/// Replaces control characters, which could change the operator's terminal.
pub fn printable(text: &str) -> String {
    text.chars()
        .map(|char| if char.is_control() { '\u{fffd}' } else { char })
        .collect()
}

/// One value on one line.
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

/// Lists become tables, and fields become lines.
pub fn render(value: &Value) -> String {
    let mut text = String::new();
    match value {
        Value::Array(rows) => table(&mut text, rows),
        Value::Object(fields) => {
            for (name, value) in fields {
                let name = printable(name);
                match value {
                    Value::Array(rows) if rows.iter().any(Value::is_object) => {
                        let _infallible = writeln!(text, "\n{name}");
                        table(&mut text, rows);
                    }
                    other => {
                        let _infallible = writeln!(text, "{name}: {}", cell(other));
                    }
                }
            }
        }
        other => {
            let _infallible = writeln!(text, "{}", cell(other));
        }
    }
    text
}

fn table(text: &mut String, rows: &[Value]) {
    let empty = Map::new();
    let fields: Vec<_> = rows
        .iter()
        .map(|row| row.as_object().unwrap_or(&empty))
        .collect();
    let mut columns: Vec<&String> = Vec::new();
    for name in fields.iter().flat_map(|row| row.keys()) {
        if !columns.contains(&name) {
            columns.push(name);
        }
    }
    let mut lines = vec![
        columns
            .iter()
            .map(|name| printable(name))
            .collect::<Vec<_>>(),
    ];
    lines.extend(fields.iter().map(|row| {
        let value = |name: &&String| row.get(*name).map_or_else(|| "-".into(), cell);
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
    for line in &lines {
        let padded: Vec<_> = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        let _infallible = writeln!(text, "  {}", padded.join("  ").trim_end());
    }
}
