//! Applying commands to the configuration.

use std::collections::BTreeMap;

use drumusher_log::config::{Change, Kind, State, Value, Verb, Verdict, apply};
use proptest::prelude::*;
use rstest::rstest;

use crate::support::{class, command};

fn replay(records: &[Vec<u8>]) -> State {
    let mut state = State::new();
    for (offset, body) in records.iter().enumerate() {
        apply(&mut state, offset as u64, 0, body);
    }
    state
}

#[test]
fn a_created_class_is_in_force() {
    let state = replay(&[command("a", class(Verb::Create, "urgent", 250.0, None))]);
    assert_eq!(state.classes["urgent"].object.wait_ms, 250);
    assert_eq!(state.classes["urgent"].version, 0);
    assert_eq!(state.next, 1);
}

#[test]
fn of_two_racing_operators_one_gets_a_conflict_that_names_the_other() {
    let state = replay(&[
        command("a", class(Verb::Create, "urgent", 1.0, None)),
        command("b", class(Verb::Set, "urgent", 2.0, Some(0))),
        command("c", class(Verb::Set, "urgent", 3.0, Some(0))),
    ]);
    assert_eq!(state.command("b").map(|c| &c.verdict), Some(&Verdict::Accepted));
    let conflict = Verdict::Conflict { version: Some(1), author: Some("desk".into()) };
    assert_eq!(state.command("c").map(|c| &c.verdict), Some(&conflict));
    assert_eq!(state.classes["urgent"].object.wait_ms, 2);
}

#[rstest]
#[case::unconditional(None, true)]
#[case::conditional(Some(3), false)]
fn an_engine_known_from_the_list_alone_can_be_drained(
    #[case] if_version: Option<u64>,
    #[case] accepted: bool,
) {
    let fields = BTreeMap::from([("drained".to_string(), Value::Flag(true))]);
    let (verb, kind, name) = (Verb::Set, Kind::Engine, "e-7".to_string());
    let state = replay(&[command("a", Change { verb, kind, name, fields, if_version })]);
    assert_eq!(state.engines.get("e-7").is_some_and(|e| e.object.drained), accepted);
}

#[test]
fn a_repeated_nonce_is_ignored() {
    let twice = command("a", class(Verb::Create, "urgent", 1.0, None));
    let state = replay(&[twice.clone(), twice]);
    assert_eq!(state.commands.len(), 1);
    assert_eq!(state.command("a").map(|c| &c.verdict), Some(&Verdict::Accepted));
}

#[test]
fn malformed_records_are_skipped() {
    let state = replay(&[b"{".to_vec(), command("a", class(Verb::Create, "urgent", 1.0, None))]);
    assert_eq!(state.next, 2);
    assert!(state.classes.contains_key("urgent"));
}

#[rstest]
#[case::unknown_field("colour", Value::Number(1.0), "no field colour")]
#[case::not_whole("tier", Value::Number(0.5), "tier takes a whole number")]
#[case::too_large("tier", Value::Number(16.0), "tier takes a whole number")]
#[case::not_a_flag("repeatable", Value::Text("yes".into()), "repeatable takes true or false")]
fn an_invalid_field_is_rejected(#[case] field: &str, #[case] value: Value, #[case] says: &str) {
    let fields = BTreeMap::from([(field.to_string(), value)]);
    let (verb, kind, name) = (Verb::Create, Kind::Class, "urgent".to_string());
    let change = Change { verb, kind, name, fields, if_version: None };
    let state = replay(&[command("a", change)]);
    let Some(Verdict::Invalid { reason }) = state.command("a").map(|c| &c.verdict) else {
        panic!("{:?}", state.command("a"));
    };
    assert!(reason.contains(says), "{reason}");
    assert!(state.classes.is_empty());
}

#[test]
fn a_class_in_use_cannot_be_dropped() {
    let fields = BTreeMap::from([("class".to_string(), Value::Text("urgent".into()))]);
    let (verb, kind, name) = (Verb::Create, Kind::Workspace, "vanua".to_string());
    let workspace = Change { verb, kind, name, fields, if_version: None };
    let state = replay(&[
        command("a", class(Verb::Create, "urgent", 1.0, None)),
        command("b", workspace),
        command("c", class(Verb::Drop, "urgent", 0.0, None)),
    ]);
    assert!(matches!(state.command("c").map(|c| &c.verdict), Some(Verdict::Invalid { .. })));
    assert!(state.classes.contains_key("urgent"));
}

/// Commands of concurrent operators, some of them duplicated.
fn commands() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let verb = prop_oneof![Just(Verb::Create), Just(Verb::Set), Just(Verb::Drop)];
    let one = (0u8..20, verb, 0u8..4, 1u16..999, proptest::option::of(0u64..12)).prop_map(
        |(nonce, verb, name, wait, version)| {
            let change = class(verb, &format!("class-{name}"), f64::from(wait), version);
            command(&format!("nonce-{nonce}"), change)
        },
    );
    proptest::collection::vec(one, 0..40)
}

proptest! {
    /// All instances arrive at the same state, and no offset decreases, when records are delivered repeatedly, late
    /// or in parts.
    #[test]
    fn all_instances_reach_the_same_state(
        records in commands(),
        deliveries in proptest::collection::vec((0usize..40, 0usize..40), 0..60),
    ) {
        let expected = replay(&records);
        let mut other = State::new();
        for (from, length) in deliveries {
            let before = other.next;
            // A reader requests records from its own next offset; a relay may start earlier.
            let from = from.min(other.next as usize);
            for (offset, body) in records.iter().enumerate().skip(from).take(length) {
                if offset as u64 > other.next {
                    break;
                }
                apply(&mut other, offset as u64, 0, body);
            }
            prop_assert!(other.next >= before);
        }
        for (offset, body) in records.iter().enumerate().skip(other.next as usize) {
            apply(&mut other, offset as u64, 0, body);
        }
        prop_assert_eq!(expected, other);
    }

    /// A verdict never changes once it was given.
    #[test]
    fn a_verdict_never_changes(records in commands()) {
        let mut state = State::new();
        let mut given = Vec::new();
        for (offset, body) in records.iter().enumerate() {
            if apply(&mut state, offset as u64, 0, body).is_some() {
                let command = state.commands.back().expect("a verdict is remembered").clone();
                given.push(command);
            }
            for command in &given {
                prop_assert_eq!(state.command(&command.nonce), Some(command));
            }
        }
    }
}
