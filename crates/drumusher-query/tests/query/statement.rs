//! Parsing of statements, and errors for invalid ones.

use std::collections::BTreeMap;

use drumusher_log::config::{Change, Kind, Value, Verb};
use drumusher_query::statement::{Comparison, Condition, Selection, Statement, Table, parse};
use proptest::prelude::*;
use rstest::rstest;

fn change(verb: Verb, kind: Kind, name: &str, fields: &[(&str, Value)]) -> Change {
    let fields = fields.iter().map(|(name, value)| (name.to_string(), value.clone()));
    Change { verb, kind, name: name.into(), fields: fields.collect(), if_version: None }
}

#[test]
fn a_selection_is_parsed() {
    let text = "show running where class = pickup and waited > 200ms order by waited desc limit 20";
    let condition =
        |column: &str, comparison, value| Condition { column: column.into(), comparison, value };
    let selection = Selection {
        conditions: vec![
            condition("class", Comparison::Equal, Value::Text("pickup".into())),
            condition("waited", Comparison::Greater, Value::Number(200.0)),
        ],
        order: Some(("waited".into(), true)),
        limit: Some(20),
    };
    assert_eq!(parse(text), Ok(Statement::Show(Table::Running, selection)));
}

#[rstest]
#[case("show log", Table::Log)]
#[case("  SHOW   Engines  ", Table::Engines)]
#[case("show services", Table::Services)]
#[case("show waiting", Table::Waiting)]
#[case("show quarantine", Table::Quarantine)]
#[case("show notices", Table::Notices)]
fn table_names_ignore_case(#[case] text: &str, #[case] table: Table) {
    assert_eq!(parse(text), Ok(Statement::Show(table, Selection::default())));
}

#[rstest]
#[case("250", Value::Number(250.0))]
#[case("1500ms", Value::Number(1_500.0))]
#[case("2.5s", Value::Number(2_500.0))]
#[case("1m", Value::Number(60_000.0))]
#[case("true", Value::Flag(true))]
#[case("pickup", Value::Text("pickup".into()))]
#[case("10.0.0.7:8000", Value::Text("10.0.0.7:8000".into()))]
#[case("\"two words\"", Value::Text("two words".into()))]
#[case("2nd-desk", Value::Text("2nd-desk".into()))]
fn values_are_parsed_by_type(#[case] text: &str, #[case] value: Value) {
    let statement = parse(&format!("set class c x = {text}"));
    let expected = change(Verb::Set, Kind::Class, "c", &[("x", value)]);
    assert_eq!(statement, Ok(Statement::Change(expected)));
}

#[test]
fn commands_are_parsed_with_fields_and_version() {
    let text = "create class pickup tier = 0 first_token = 1500ms if version 7";
    let fields = [("tier", Value::Number(0.0)), ("first_token", Value::Number(1_500.0))];
    let created = change(Verb::Create, Kind::Class, "pickup", &fields);
    let expected = Change { if_version: Some(7), ..created };
    assert_eq!(parse(text), Ok(Statement::Change(expected)));
    let drained = change(Verb::Set, Kind::Engine, "e-7", &[("drained", Value::Flag(true))]);
    assert_eq!(parse("drain engine e-7"), Ok(Statement::Change(drained)));
    let dropped = change(Verb::Drop, Kind::Service, "desk", &[]);
    assert_eq!(parse("drop service desk"), Ok(Statement::Change(dropped)));
    let rotated = Statement::RotateKey("vanua".into(), Some(3));
    assert_eq!(parse("rotate key vanua if version 3"), Ok(rotated));
    assert_eq!(parse("show request 4b0e"), Ok(Statement::Request("4b0e".into())));
}

#[rstest]
#[case("", 0, "show, create")]
#[case("shw running", 0, "show, create")]
#[case("show nothing", 5, "running, waiting")]
#[case("show running where", 18, "a name")]
#[case("show running where class", 24, "=, !=")]
#[case("show running limit ten", 19, "a number")]
#[case("create desk x", 7, "class, workspace")]
#[case("create class", 12, "a name")]
#[case("set class c tier =", 18, "a number with an optional unit")]
#[case("show running please", 13, "the end")]
fn syntax_errors_have_a_position(#[case] text: &str, #[case] at: usize, #[case] says: &str) {
    let error = parse(text).expect_err("the statement is faulty");
    assert_eq!(error.at, at, "{error}");
    assert!(error.expected.contains(says), "{error}");
}

proptest! {
    #[test]
    fn any_text_is_parsed_without_a_panic(text in ".{0,120}") {
        let _ = parse(&text);
    }

    #[test]
    fn keywords_in_any_order_are_parsed_without_a_panic(
        words in proptest::collection::vec(
            prop_oneof![
                Just("show"), Just("running"), Just("where"), Just("order"), Just("by"),
                Just("limit"), Just("set"), Just("class"), Just("if"), Just("version"),
                Just("="), Just("7"), Just("name"), Just("\""), Just("desc"),
            ],
            0..12,
        ),
    ) {
        let _ = parse(&words.join(" "));
    }

    #[test]
    fn fields_round_trip(fields in proptest::collection::btree_map("[a-z]{1,8}", 0u32..9_999, 0..5)) {
        let text: String = fields.iter().map(|(name, value)| format!(" {name} = {value}")).collect();
        let statement = parse(&format!("create class c{text}"));
        let fields: BTreeMap<String, Value> =
            fields.into_iter().map(|(name, value)| (name, Value::Number(value.into()))).collect();
        // `if` cannot be a field name, because an `if version` clause may follow the fields.
        if !fields.contains_key("if") {
            let (verb, kind, name) = (Verb::Create, Kind::Class, "c".to_string());
            let expected = Change { verb, kind, name, fields, if_version: None };
            prop_assert_eq!(statement, Ok(Statement::Change(expected)));
        }
    }
}

#[test]
fn release_takes_a_digest() {
    let digest = "000000000000000000000000000000ff";
    assert_eq!(parse(&format!("release {digest}")), Ok(Statement::Release(digest.into())));
    assert!(parse("release").is_err());
}
