//! Evaluation of `where`, `order by` and `limit` on rows.

use std::cmp::Ordering;

use drumusher_log::config::Value;
use serde_json::{Map, Value as Json};

use crate::statement::{Comparison, Condition, Selection};

/// A row: values by column name.
pub type Row = Map<String, Json>;

/// Filters, sorts and truncates rows by a selection.
pub fn run(selection: &Selection, rows: Vec<Row>) -> Vec<Row> {
    let holds = |row: &Row| selection.conditions.iter().all(|condition| holds(condition, row));
    let mut rows: Vec<Row> = rows.into_iter().filter(holds).collect();
    if let Some((column, descending)) = &selection.order {
        rows.sort_by(|a, b| {
            let order = compare(a.get(column), b.get(column));
            if *descending { order.reverse() } else { order }
        });
    }
    rows.truncate(selection.limit.unwrap_or(usize::MAX));
    rows
}

fn holds(condition: &Condition, row: &Row) -> bool {
    let wanted = match &condition.value {
        Value::Flag(flag) => Json::from(*flag),
        Value::Number(number) => Json::from(*number),
        Value::Text(text) => Json::from(text.as_str()),
    };
    let found = row.get(&condition.column);
    let order = compare(found, Some(&wanted));
    match condition.comparison {
        Comparison::Equal => order == Ordering::Equal,
        Comparison::Unequal => order != Ordering::Equal,
        _ if found.is_none_or(Json::is_null) => false,
        Comparison::Less => order == Ordering::Less,
        Comparison::AtMost => order != Ordering::Greater,
        Comparison::Greater => order == Ordering::Greater,
        Comparison::AtLeast => order != Ordering::Less,
    }
}

/// Compares numbers numerically and all other values by their text. An absent value compares as an empty
/// text, so it comes first.
fn compare(a: Option<&Json>, b: Option<&Json>) -> Ordering {
    match (a.and_then(Json::as_f64), b.and_then(Json::as_f64)) {
        (Some(a), Some(b)) => a.total_cmp(&b),
        _ => text(a).cmp(&text(b)),
    }
}

fn text(value: Option<&Json>) -> String {
    match value {
        None | Some(Json::Null) => String::new(),
        Some(Json::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}
