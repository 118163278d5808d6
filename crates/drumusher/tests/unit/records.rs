//! What one instance tells another of the store's tables, by its length.

use drumusher::process::catalog::{Records, TableUpdate, Update};
use drumusher_log::position::Position;
use drumusher_platform::catalog::{Record, Table};
use rstest::rstest;

/// Nothing was read.
const START: Position = Position { era: 0, offset: 0 };
/// A bound between short and long, in bytes.
const MOST: usize = 16 * 1024;

/// A place in the first era.
fn at(offset: u64) -> Position {
    Position::new(1, offset)
}

fn record(key: &str, length: usize) -> Record {
    Record { key: key.into(), value: Some("x".repeat(length)) }
}

/// A long configuration and two servers.
fn records() -> Records {
    let mut records = Records::new();
    records.append(Table::Configuration, &[record("config", 100_000)], at(1));
    records.append(Table::Servers, &[record("a", 200), record("b", 200)], at(2));
    records
}

fn tables(update: Update) -> Vec<Table> {
    let updates = Records::new().merge(update);
    let table = |update: &TableUpdate| match update {
        TableUpdate::Snapshot(table, _)
        | TableUpdate::Restored(table, _)
        | TableUpdate::Changes(table, _) => *table,
    };
    updates.iter().map(table).collect()
}

/// What is short is told although something long of another table is missing too.
#[test]
fn what_is_long_holds_up_no_other_table() {
    let records = records();
    let short = records.since(&[START; 4], START, MOST).expect("servers are missing");
    assert_eq!(tables(short), [Table::Servers]);
    assert_eq!(records.ends_after(&[START; 4], MOST), [START, at(2), START, START]);
    let all = records.since(&[START; 4], START, usize::MAX).expect("all is missing");
    assert_eq!(tables(all), [Table::Configuration, Table::Servers]);
    assert_eq!(records.ends_after(&[START; 4], usize::MAX), [at(1), at(2), START, START]);
    let long = records.of_table(Table::Configuration, START, START).expect("it is missing");
    assert_eq!(tables(long), [Table::Configuration]);
    assert!(records.of_table(Table::Configuration, at(1), START).is_none(), "it is known");
}

/// Of a long value that changed several times only the newest is told, and kept.
#[test]
fn only_the_newest_of_long_values_is_told() {
    let mut records = records();
    for version in 2..10 {
        let newer = record("config", 100_000 + version);
        records.append(Table::Configuration, &[newer], at(version as u64));
    }
    let update = records.of_table(Table::Configuration, at(1), START).expect("it is missing");
    let mut other = Records::new();
    let updates = other.merge(update);
    let [TableUpdate::Snapshot(Table::Configuration, told)] = updates.as_slice() else {
        panic!("the whole table is told: {updates:?}");
    };
    let lengths: Vec<usize> = told.iter().flat_map(|r| &r.value).map(String::len).collect();
    assert_eq!(lengths, [100_009]);
    assert_eq!(other.end(Table::Configuration), at(9));
}

/// Short changes are told as such, in their order.
#[test]
fn short_changes_are_told_in_order() {
    let mut records = records();
    let ends = Record { key: "a".into(), value: None };
    records.append(Table::Servers, &[ends.clone(), record("a", 300)], at(4));
    let update =
        records.since(&[at(1), at(2), START, START], START, MOST).expect("two changes are missing");
    let mut other = Records::new();
    other.append(Table::Servers, &[record("a", 200), record("b", 200)], at(2));
    let updates = other.merge(update);
    assert_eq!(updates, [TableUpdate::Changes(Table::Servers, vec![ends, record("a", 300)])]);
}

/// What is told says before which offset ends of entries are no lapses. A program of before that offset was told
/// says it of all or of none; one that reads what is told now finds the same word.
#[rstest]
#[case::confirmed(r#"{"doubtful":false,"confirmed":2,"parts":[]}"#, 2)]
#[case::of_before(r#"{"doubtful":false,"parts":[{"place":1,"from":0,"end":4,"entries":[]}]}"#, 4)]
#[case::of_before_in_doubt(
    r#"{"doubtful":true,"parts":[{"place":1,"from":0,"end":4,"entries":[]}]}"#,
    0
)]
#[case::of_before_without_servers(r#"{"doubtful":false,"parts":[]}"#, 0)]
fn an_update_says_what_is_confirmed(#[case] text: &str, #[case] confirmed: u64) {
    let update: Update = serde_json::from_str(text).expect("an update");
    assert_eq!(update.confirmed(), Position::new(0, confirmed));
    let told =
        |confirmed| serde_json::to_string(&records().since(&[START; 4], at(confirmed), MOST));
    assert!(told(1).is_ok_and(|text| text.contains(r#""doubtful":true,"confirmed":1"#)));
    assert!(told(2).is_ok_and(|text| text.contains(r#""doubtful":false,"confirmed":2"#)));
}

/// What is told of a later era replaces a table although it ends earlier, and what is told of an earlier one is
/// passed over.
#[test]
fn a_later_era_replaces_an_earlier_one() {
    let mut restored = Records::new();
    restored.append(Table::Servers, &[record("a", 200)], Position::new(2, 1));
    let mut other = records();
    let update = restored.since(&other.ends(), START, MOST).expect("the era is later");
    let updates = other.merge(update);
    assert_eq!(updates, [TableUpdate::Restored(Table::Servers, vec![record("a", 200)])]);
    assert_eq!(other.end(Table::Servers), Position::new(2, 1));
    let paused = records().since(&[START; 4], START, MOST).expect("it knows something");
    assert!(other.merge(paused).is_empty(), "its end is of an earlier era");
    assert_eq!(other.end(Table::Servers), Position::new(2, 1));
}

/// The configuration of a copy is not told in place of the known one, which may be newer.
#[test]
fn the_known_configuration_outlives_a_restore() {
    let mut records = records();
    let older = vec![record("config", 10)];
    let end = Position::new(2, 1);
    let updates = records.replace(Table::Configuration, older.clone(), end);
    assert_eq!(updates, TableUpdate::Restored(Table::Configuration, older));
    let value = records.value(Table::Configuration, "config").map(str::len);
    assert_eq!((value, records.end(Table::Configuration)), (Some(100_000), end));
    let told = records.of_table(Table::Configuration, START, START).expect("it is known");
    let mut started = Records::new();
    started.replace(Table::Configuration, vec![record("config", 10)], end);
    let updates = started.merge(told);
    assert_eq!(
        updates,
        [TableUpdate::Restored(Table::Configuration, vec![record("config", 100_000)])]
    );
}
