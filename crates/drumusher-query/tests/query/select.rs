//! Evaluation of `where`, `order by` and `limit`.

use drumusher_query::{
    select::{Row, run},
    statement::{Selection, Statement, parse},
};
use rstest::rstest;
use serde_json::json;

fn rows() -> Vec<Row> {
    let rows = json!([
        {"name": "a", "waited": 30, "class": "pickup"},
        {"name": "b", "waited": 200, "class": "bulk"},
        {"name": "c", "waited": 9, "class": "pickup", "server": null},
        {"name": "d", "class": "bulk"},
    ]);
    serde_json::from_value(rows).expect("rows")
}

fn selection(text: &str) -> Selection {
    match parse(&format!("show running {text}")) {
        Ok(Statement::Show(_, selection)) => selection,
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case("", "abcd")]
#[case("where class = pickup", "ac")]
#[case("where class != pickup", "bd")]
#[case("where waited >= 30", "ab")]
#[case("where waited < 30", "c")]
#[case("where class = pickup and waited > 10", "a")]
#[case("order by waited", "dcab")]
#[case("order by waited desc limit 2", "ba")]
#[case("where missing = x", "")]
fn selections_filter_sort_and_truncate(#[case] text: &str, #[case] expected: &str) {
    let found = run(&selection(text), rows());
    let names: String = found.iter().filter_map(|row| row["name"].as_str()).collect();
    assert_eq!(names, expected);
}
