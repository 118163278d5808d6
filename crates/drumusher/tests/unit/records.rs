//! What one instance tells another of the store's tables, by its length.

use drumusher::process::catalog::{News, Records, Update};
use drumusher_platform::catalog::{Record, Table};
use rstest::rstest;

/// A bound between short and long, in bytes.
const MOST: usize = 16 * 1024;

fn record(key: &str, length: usize) -> Record {
    Record { key: key.into(), value: Some("x".repeat(length)) }
}

/// A long configuration and two servers.
fn records() -> Records {
    let mut records = Records::new();
    records.append(Table::Configuration, &[record("config", 100_000)], 1);
    records.append(Table::Servers, &[record("a", 200), record("b", 200)], 2);
    records
}

fn tables(update: Update) -> Vec<Table> {
    let news = Records::new().take(update);
    let table = |news: &News| match news {
        News::Whole(table, _) | News::Changes(table, _) => *table,
    };
    news.iter().map(table).collect()
}

/// What is short is told although something long of another table is missing too.
#[test]
fn what_is_long_holds_up_no_other_table() {
    let records = records();
    let short = records.since(&[0; 4], 0, MOST).expect("servers are missing");
    assert_eq!(tables(short), [Table::Servers]);
    assert_eq!(records.ends_after(&[0; 4], MOST), [0, 2, 0, 0]);
    let all = records.since(&[0; 4], 0, usize::MAX).expect("all is missing");
    assert_eq!(tables(all), [Table::Configuration, Table::Servers]);
    assert_eq!(records.ends_after(&[0; 4], usize::MAX), [1, 2, 0, 0]);
    let long = records.of_table(Table::Configuration, 0, 0).expect("it is missing");
    assert_eq!(tables(long), [Table::Configuration]);
    assert!(records.of_table(Table::Configuration, 1, 0).is_none(), "it is known");
}

/// Of a long value that changed several times only the newest is told, and kept.
#[test]
fn only_the_newest_of_long_values_is_told() {
    let mut records = records();
    for version in 2..10 {
        let newer = record("config", 100_000 + version);
        records.append(Table::Configuration, &[newer], version as u64);
    }
    let update = records.of_table(Table::Configuration, 1, 0).expect("it is missing");
    let mut other = Records::new();
    let news = other.take(update);
    let [News::Whole(Table::Configuration, told)] = news.as_slice() else {
        panic!("the whole table is told: {news:?}");
    };
    let lengths: Vec<usize> = told.iter().flat_map(|r| &r.value).map(String::len).collect();
    assert_eq!(lengths, [100_009]);
    assert_eq!(other.end(Table::Configuration), 9);
}

/// Short changes are told as such, in their order.
#[test]
fn short_changes_are_told_in_order() {
    let mut records = records();
    let ends = Record { key: "a".into(), value: None };
    records.append(Table::Servers, &[ends.clone(), record("a", 300)], 4);
    let update = records.since(&[1, 2, 0, 0], 0, MOST).expect("two changes are missing");
    let mut other = Records::new();
    other.append(Table::Servers, &[record("a", 200), record("b", 200)], 2);
    let news = other.take(update);
    assert_eq!(news, [News::Changes(Table::Servers, vec![ends, record("a", 300)])]);
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
    assert_eq!(update.confirmed(), confirmed);
    let told = |confirmed| serde_json::to_string(&records().since(&[0; 4], confirmed, MOST));
    assert!(told(1).is_ok_and(|text| text.contains(r#""doubtful":true,"confirmed":1"#)));
    assert!(told(2).is_ok_and(|text| text.contains(r#""doubtful":false,"confirmed":2"#)));
}
