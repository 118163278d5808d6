//! Fills the project's settings template as `DEPLOY.md` says.

use serde_json::Value;

/// The values visible in a section, the innermost last.
struct Scope<'a> {
    values: Vec<&'a Value>,
    key: String,
    is_last: bool,
}

/// Fills `template` from `fields`.
pub fn fill(template: &str, fields: &Value) -> String {
    let scope = Scope { values: vec![fields], key: String::new(), is_last: true };
    render(template, &scope)
}

fn render(mut text: &str, scope: &Scope<'_>) -> String {
    let mut filled = String::new();
    while let Some(start) = text.find("{{") {
        filled.push_str(&text[..start]);
        let end = start + text[start..].find("}}").expect("a gap ends");
        let name = &text[start + 2..end];
        text = &text[end + 2..];
        match name.split_at(1) {
            ("#" | "^", inner) => {
                let close = format!("{{{{/{inner}}}}}");
                let at = text.find(&close).expect("a section ends");
                let (body, rest) = (&text[..at], &text[at + close.len()..]);
                let value = find(scope, inner).unwrap_or(&Value::Null);
                filled.push_str(&section(name.starts_with('#'), value, body, scope));
                text = rest;
            }
            ("@", "") => filled.push_str(&scope.key),
            (",", "") if !scope.is_last => filled.push(','),
            (",", "") => {}
            _ => filled.push_str(&find(scope, name).map(plain).unwrap_or_default()),
        }
    }
    filled + text
}

fn section(is_positive: bool, value: &Value, body: &str, scope: &Scope<'_>) -> String {
    let is_given = !matches!(value, Value::Null | Value::Bool(false));
    if !is_positive {
        return if is_given { String::new() } else { render(body, scope) };
    }
    let entries: Vec<(String, &Value)> = match value {
        Value::Array(items) => items.iter().enumerate().map(|(n, v)| (n.to_string(), v)).collect(),
        Value::Object(table) => table.iter().map(|(k, v)| (k.clone(), v)).collect(),
        _ if is_given => return render(body, scope),
        _ => Vec::new(),
    };
    let count = entries.len();
    let each = entries.into_iter().enumerate().map(|(number, (key, entry))| {
        let values = scope.values.iter().copied().chain([entry]).collect();
        render(body, &Scope { values, key, is_last: number + 1 == count })
    });
    each.collect()
}

fn find<'a>(scope: &Scope<'a>, name: &str) -> Option<&'a Value> {
    if name == "." {
        return scope.values.last().copied();
    }
    scope.values.iter().rev().find_map(|value| {
        name.split('.').try_fold(*value, |value, part| match value {
            Value::Array(items) => items.get(part.parse::<usize>().ok()?),
            Value::Object(table) => table.get(part),
            _ => None,
        })
    })
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(plain).collect::<Vec<_>>().join(","),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
