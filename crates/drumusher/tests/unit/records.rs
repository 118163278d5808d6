//! Records of the store's tables, and the updates that instances send each other.

use drumusher::process::catalog::{Form, Records, TableUpdate, Update};
use drumusher_log::position::Position;
use drumusher_platform::catalog::{Record, Table};
use rstest::rstest;

/// The position before any read.
const START: Position = Position { era: 0, offset: 0 };
/// Records longer than this are fetched separately, in bytes.
const MAX_BYTES: usize = 16 * 1024;

/// A position in the first era.
fn at(offset: u64) -> Position {
    Position::new(1, offset)
}

fn record(key: &str, length: usize) -> Record {
    Record { key: key.into(), value: Some("x".repeat(length)) }
}

/// A large configuration and two servers.
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

/// Small records are sent even if another table has large ones that are missing too.
#[test]
fn large_records_do_not_delay_other_tables() {
    let records = records();
    let short = records
        .since(&[START; 4], START, MAX_BYTES, Form::Values)
        .expect("the servers are missing");
    assert_eq!(tables(short), [Table::Servers]);
    assert_eq!(
        records.ends_after(&[START; 4], MAX_BYTES, Form::Values),
        [START, at(2), START, START]
    );
    let all = records
        .since(&[START; 4], START, usize::MAX, Form::Values)
        .expect("all tables are missing");
    assert_eq!(tables(all), [Table::Configuration, Table::Servers]);
    assert_eq!(
        records.ends_after(&[START; 4], usize::MAX, Form::Values),
        [at(1), at(2), START, START]
    );
    let long = records
        .of_table(Table::Configuration, START, START, Form::Values)
        .expect("the configuration is missing");
    assert_eq!(tables(long), [Table::Configuration]);
    assert!(
        records.of_table(Table::Configuration, at(1), START, Form::Values).is_none(),
        "it is known"
    );
}

/// A removal that is not confirmed keeps the servers out of an update, whatever comes with it; confirmed removals and
/// other changes do not.
#[rstest]
#[case::removed(2, 2, true)]
#[case::put_after_it(3, 2, false)]
#[case::confirmed(2, 3, false)]
#[case::of_an_earlier_era(2, 0, true)]
fn unconfirmed_removals_are_left_out(
    #[case] known: u64,
    #[case] confirmed: u64,
    #[case] left_out: bool,
) {
    let mut records = records();
    let removal = Record { key: "a".into(), value: None };
    records.append(Table::Servers, &[removal, record("c", 200)], at(4));
    let ends = [START, at(known), START, START];
    let confirmed = if confirmed == 0 { Position::new(0, 9) } else { at(confirmed) };
    let from = records.without_unconfirmed_removals(&ends, confirmed);
    let update = records
        .since(&from, confirmed, usize::MAX, Form::Values)
        .expect("a configuration at least");
    assert_eq!(from[1], if left_out { at(4) } else { at(known) });
    assert_eq!(!tables_from(update, known).contains(&Table::Servers), left_out);
}

/// The tables that an update brings to an instance that knows the servers up to `known`.
fn tables_from(update: Update, known: u64) -> Vec<Table> {
    let mut records = Records::new();
    records.append(Table::Servers, &[], at(known));
    let updates = records.merge(update).into_iter();
    let table = |update| match update {
        TableUpdate::Snapshot(table, _)
        | TableUpdate::Restored(table, _)
        | TableUpdate::Changes(table, _) => table,
    };
    updates.map(table).collect()
}

/// Of a large value that changed several times only the latest is stored and sent.
#[test]
fn only_the_latest_large_value_is_sent() {
    let mut records = records();
    for version in 2..10 {
        let newer = record("config", 100_000 + version);
        records.append(Table::Configuration, &[newer], at(version as u64));
    }
    let update = records
        .of_table(Table::Configuration, at(1), START, Form::Values)
        .expect("the configuration is missing");
    let mut other = Records::new();
    let updates = other.merge(update);
    let [TableUpdate::Snapshot(Table::Configuration, latest)] = updates.as_slice() else {
        panic!("expected a snapshot of the table: {updates:?}");
    };
    let lengths: Vec<usize> = latest.iter().flat_map(|r| &r.value).map(String::len).collect();
    assert_eq!(lengths, [100_009]);
    assert_eq!(other.end(Table::Configuration), at(9));
}

/// Small changes are sent as changes, in order.
#[test]
fn small_changes_are_sent_in_order() {
    let mut records = records();
    let ends = Record { key: "a".into(), value: None };
    records.append(Table::Servers, &[ends.clone(), record("a", 300)], at(4));
    let update = records
        .since(&[at(1), at(2), START, START], START, MAX_BYTES, Form::Values)
        .expect("two changes are missing");
    let mut other = Records::new();
    other.append(Table::Servers, &[record("a", 200), record("b", 200)], at(2));
    let updates = other.merge(update);
    assert_eq!(updates, [TableUpdate::Changes(Table::Servers, vec![ends, record("a", 300)])]);
}

/// An update has the offset before which removals are confirmed. A version of the program before that field confirms
/// either all of an update or nothing, by `doubtful`, which is still written for it.
#[rstest]
#[case::confirmed(r#"{"doubtful":false,"confirmed":2,"parts":[]}"#, 2)]
#[case::old_version(r#"{"doubtful":false,"parts":[{"place":1,"from":0,"end":4,"entries":[]}]}"#, 4)]
#[case::old_version_uncertain(
    r#"{"doubtful":true,"parts":[{"place":1,"from":0,"end":4,"entries":[]}]}"#,
    0
)]
#[case::old_version_without_servers(r#"{"doubtful":false,"parts":[]}"#, 0)]
fn an_update_has_the_confirmed_position(#[case] text: &str, #[case] confirmed: u64) {
    let update: Update = serde_json::from_str(text).expect("an update");
    assert_eq!(update.confirmed(), Position::new(0, confirmed));
    let encoded = |confirmed| {
        serde_json::to_string(&records().since(&[START; 4], at(confirmed), MAX_BYTES, Form::Values))
    };
    assert!(encoded(1).is_ok_and(|text| text.contains(r#""doubtful":true,"confirmed":1"#)));
    assert!(encoded(2).is_ok_and(|text| text.contains(r#""doubtful":false,"confirmed":2"#)));
}

/// An update of a later era replaces a table even if it ends at a lower offset; one of an earlier era is ignored.
#[test]
fn a_later_era_replaces_an_earlier_one() {
    let mut restored = Records::new();
    restored.append(Table::Servers, &[record("a", 200)], Position::new(2, 1));
    let mut other = records();
    let update =
        restored.since(&other.ends(), START, MAX_BYTES, Form::Values).expect("the era is later");
    let updates = other.merge(update);
    assert_eq!(updates, [TableUpdate::Restored(Table::Servers, vec![record("a", 200)])]);
    assert_eq!(other.end(Table::Servers), Position::new(2, 1));
    let paused =
        records().since(&[START; 4], START, MAX_BYTES, Form::Values).expect("it knows something");
    assert!(other.merge(paused).is_empty(), "its end is of an earlier era");
    assert_eq!(other.end(Table::Servers), Position::new(2, 1));
}

/// After the store was restored from a backup its configuration doesn't replace the known one, which may be newer.
#[test]
fn the_known_configuration_survives_a_restore() {
    let mut records = records();
    let older = vec![record("config", 10)];
    let end = Position::new(2, 1);
    let updates = records.replace(Table::Configuration, older.clone(), end);
    assert_eq!(updates, TableUpdate::Restored(Table::Configuration, older));
    let value = records.value(Table::Configuration, "config").map(str::len);
    assert_eq!((value, records.end(Table::Configuration)), (Some(100_000), end));
    let update =
        records.of_table(Table::Configuration, START, START, Form::Values).expect("it is known");
    let mut started = Records::new();
    started.replace(Table::Configuration, vec![record("config", 10)], end);
    let updates = started.merge(update);
    assert_eq!(
        updates,
        [TableUpdate::Restored(Table::Configuration, vec![record("config", 100_000)])]
    );
}

/// A second read of a restored store replaces known values only with what was written since the first one.
#[test]
fn a_second_read_of_a_restored_store_replaces_only_what_was_written_since() {
    let key = |key: &str, length| Record { key: key.into(), ..record("", length) };
    let mut records = Records::new();
    let known = [key("config", 100), key("lost", 1), key("removed", 1)];
    records.append(Table::Configuration, &known, Position::new(1, 3));
    let copy = vec![key("config", 10), key("removed", 1)];
    records.replace(Table::Configuration, copy.clone(), Position::new(2, 2));
    let length = |records: &Records, key| records.value(Table::Configuration, key).map(str::len);
    let second = records.replace(Table::Configuration, copy.clone(), Position::new(2, 2));
    assert_eq!(second, TableUpdate::Restored(Table::Configuration, copy));
    assert_eq!(
        ["config", "lost", "removed"].map(|key| length(&records, key)),
        [Some(100), Some(1), Some(1)]
    );
    let written = vec![key("config", 200), key("new", 5)];
    records.replace(Table::Configuration, written, Position::new(2, 5));
    assert_eq!(length(&records, "config"), Some(200), "it was written since");
    assert_eq!(
        ["lost", "new", "removed"].map(|key| length(&records, key)),
        [Some(1), Some(5), None]
    );
}

/// An instance that learns of a restore from another one keeps its values when it reads the store itself.
#[test]
fn a_relayed_restore_keeps_the_known_configuration() {
    let mut reader = records();
    reader.replace(Table::Configuration, vec![record("config", 10)], Position::new(2, 1));
    let mut other = records();
    let update = reader.of_table(Table::Configuration, START, START, Form::Values);
    other.merge(update.expect("it is known"));
    other.replace(Table::Configuration, vec![record("config", 10)], Position::new(2, 1));
    assert_eq!(other.value(Table::Configuration, "config").map(str::len), Some(100_000));
}

/// A value of many segments, of which one is `changed`.
fn long_value(changed: &str) -> String {
    let segments = (0..2_000).map(|number| match number {
        1_000 => format!("{{{changed}}}"),
        _ => format!("{{segment {number}}}"),
    });
    segments.collect()
}

fn configuration(value: &str) -> Record {
    Record { key: "config".into(), value: Some(value.into()) }
}

/// Records with a long value that was changed once.
fn changed_records() -> Records {
    let mut records = Records::new();
    for (offset, changed) in [(1, "old"), (2, "new")] {
        let record = configuration(&long_value(changed));
        records.append(Table::Configuration, &[record], at(offset));
    }
    records
}

/// An instance that knows the previous version of a long value is sent the difference, and passes it on; one of an
/// earlier program version is sent the whole value.
#[test]
fn a_change_of_a_long_value_is_sent_as_a_patch() {
    let records = changed_records();
    let known = [at(1), START, START, START];
    let update = records.since(&known, START, 1_000, Form::Patches).expect("a patch is short");
    assert_eq!(records.since(&known, START, 1_000, Form::Values), None, "the value is long");
    let mut receiver = Records::new();
    receiver.append(Table::Configuration, &[configuration(&long_value("old"))], at(1));
    let expected = vec![configuration(&long_value("new"))];
    assert_eq!(
        receiver.merge(update),
        [TableUpdate::Changes(Table::Configuration, expected.clone())]
    );
    assert_eq!(receiver.ends(), records.ends());
    assert!(receiver.since(&known, START, 1_000, Form::Patches).is_some(), "it is passed on");
    let whole = records.of_table(Table::Configuration, at(1), START, Form::Values);
    let mut earlier = Records::new();
    earlier.append(Table::Configuration, &[configuration(&long_value("old"))], at(1));
    let snapshot = TableUpdate::Snapshot(Table::Configuration, expected);
    assert_eq!(earlier.merge(whole.expect("a newer value")), [snapshot]);
}

/// A patch that does not fit the value known at its position changes nothing; the whole value is taken afterwards.
#[test]
fn a_patch_of_another_value_is_not_applied() {
    let records = changed_records();
    let mut receiver = Records::new();
    receiver.append(Table::Configuration, &[configuration(&long_value("other"))], at(1));
    let known = [at(1), START, START, START];
    let patch = records.since(&known, START, 1_000, Form::Patches).expect("a patch is short");
    assert_eq!(receiver.merge(patch), []);
    assert_eq!(receiver.value(Table::Configuration, "config"), Some(&*long_value("other")));
    assert_eq!(receiver.end(Table::Configuration), START, "the whole table is requested");
    let whole = records.of_table(Table::Configuration, START, START, Form::Patches);
    assert_eq!(receiver.merge(whole.expect("a newer value")).len(), 1);
    assert_eq!(receiver.value(Table::Configuration, "config"), Some(&*long_value("new")));
}
