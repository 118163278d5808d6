//! What one instance tells another of the store's tables, by its length.

use drumusher::process::catalog::{News, Records, Update};
use drumusher_platform::catalog::{Record, Table};

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
    let short = records.since(&[0; 3], false, MOST).expect("servers are missing");
    assert_eq!(tables(short), [Table::Servers]);
    assert_eq!(records.ends_after(&[0; 3], MOST), [0, 2, 0]);
    let all = records.since(&[0; 3], false, usize::MAX).expect("all is missing");
    assert_eq!(tables(all), [Table::Configuration, Table::Servers]);
    assert_eq!(records.ends_after(&[0; 3], usize::MAX), [1, 2, 0]);
    let long = records.of_table(Table::Configuration, 0, false).expect("it is missing");
    assert_eq!(tables(long), [Table::Configuration]);
    assert!(records.of_table(Table::Configuration, 1, false).is_none(), "it is known");
}

/// Of a long value that changed several times only the newest is told, and kept.
#[test]
fn only_the_newest_of_long_values_is_told() {
    let mut records = records();
    for version in 2..10 {
        let newer = record("config", 100_000 + version);
        records.append(Table::Configuration, &[newer], version as u64);
    }
    let update = records.of_table(Table::Configuration, 1, false).expect("it is missing");
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
    let update = records.since(&[1, 2, 0], false, MOST).expect("two changes are missing");
    let mut other = Records::new();
    other.append(Table::Servers, &[record("a", 200), record("b", 200)], 2);
    let news = other.take(update);
    assert_eq!(news, [News::Changes(Table::Servers, vec![ends, record("a", 300)])]);
}
