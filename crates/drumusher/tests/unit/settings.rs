//! The settings.

use drumusher::settings::{Regions, parse};
use drumusher_schedule::policy::Switches;
use rstest::rstest;

const EXAMPLE: &str = include_str!("../../settings.example.toml");

#[test]
fn the_example_is_valid() {
    let settings = parse(EXAMPLE).expect("no fault");
    assert_eq!(settings.name, "suva-1");
    assert_eq!(settings.operators.len(), 1);
}

/// Each key that is commented out in the example exists, and its value is the default.
#[test]
fn the_example_shows_the_defaults() {
    let shown: String = EXAMPLE
        .lines()
        .map(|line| match line.strip_prefix("# ") {
            Some(key) if key.contains(" = ") => format!("{key}\n"),
            _ => format!("{line}\n"),
        })
        .collect();
    let mut shown = parse(&shown).expect("no fault");
    let plain = parse(EXAMPLE).expect("no fault");
    // These have no default; the example shows how they are written.
    assert_eq!(shown.seeds.len(), 1);
    assert!(shown.telemetry.otlp.is_some());
    assert!(shown.status.is_some() && shown.metrics.is_some());
    assert_eq!(shown.store.as_ref().map(|store| store.wait_ms), Some(4_000));
    assert_eq!(shown.regions.of_zone("suva-hall"), Some("viti-levu"));
    shown.seeds.clear();
    shown.regions = Regions::default();
    shown.telemetry.otlp = None;
    assert_eq!(shown.duties.as_ref().map(|duties| duties.lease_ms), Some(3_000));
    assert_eq!(shown.duties.as_ref().map(|duties| duties.by_zone_price), Some(true));
    (shown.status, shown.metrics, shown.store) = (None, None, None);
    shown.duties = None;
    assert_eq!(shown, plain);
}

/// Each scheduling mechanism can be switched off by its name; an unknown name is an error.
#[test]
fn mechanisms_are_switched_off_by_name() {
    for name in Switches::NAMES {
        let off = format!("off = [\"{name}\"]");
        let settings = parse(&EXAMPLE.replace("# off = []", &off)).expect("no fault");
        assert_ne!(settings.decisions, Switches::default(), "{name}");
    }
    let text = EXAMPLE.replace("# off = []", "off = [\"sources\", \"side\"]");
    let faults = parse(&text).expect_err("a fault");
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].key, "decisions.off");
    assert!(faults[0].reason.contains("sides"), "{}", faults[0].reason);
}

/// The wait of a call to the store follows from the time within which a change has to be in force, unless it is set.
#[rstest]
#[case("apply_ms = 2000", 1_500)]
#[case("apply_ms = 5000", 3_333)]
#[case("apply_ms = 600000", 30_000)]
#[case("apply_ms = 5000\nwait_ms = 700", 700)]
fn the_store_wait_follows_the_time_to_apply(#[case] keys: &str, #[case] wait_ms: u64) {
    let section = format!("[store]\naddress = \"127.0.0.1:9100\"\n{keys}\n");
    let settings = parse(&EXAMPLE.replacen("[store]", &section, 1)).expect("no fault");
    assert_eq!(settings.store.expect("a store").wait_ms, wait_ms);
}

#[test]
fn all_errors_are_reported_together() {
    let text = r#"
        [instance]
        name = "a b"
        http = "localhost"
        workers = 0
        colour = "red"
        [fleet]
        secret = "short"
        [limits]
        body_bytes = "large"
        [operators]
        desk = "not a digest"
        [telemetry]
        level = "loud"
        otlp = "ftp://x"
    "#;
    let faults = parse(text).expect_err("faults");
    let keys: Vec<&str> = faults.iter().map(|fault| fault.key.as_str()).collect();
    for key in [
        "instance.name",
        "instance.availability_zone",
        "instance.http",
        "instance.peer",
        "instance.workers",
        "instance.colour",
        "fleet.secret",
        "platform.log",
        "platform.members",
        "limits.body_bytes",
        "operators.desk",
        "telemetry.level",
        "telemetry.otlp",
    ] {
        assert!(keys.contains(&key), "{key} is not among {keys:?}");
    }
    assert_eq!(keys.len(), 13, "{keys:?}");
}

#[test]
fn invalid_toml_is_one_error() {
    assert_eq!(parse("[instance").map_err(|faults| faults.len()), Err(1));
}

/// Readers check a silent store in a quarter of the time within which a change has to be in force.
#[rstest]
#[case("apply_ms = 2000", 500)]
#[case("apply_ms = 400", 500)]
#[case("", 1_500)]
#[case("check_ms = 250", 250)]
fn the_store_check_follows_the_time_to_apply(#[case] keys: &str, #[case] check_ms: u64) {
    let section = format!("[store]\naddress = \"127.0.0.1:9100\"\n{keys}\n");
    let settings = parse(&EXAMPLE.replacen("[store]", &section, 1)).expect("no fault");
    let store = settings.store.expect("a store");
    assert_eq!((store.check_ms, store.current_ms()), (check_ms, 2 * check_ms));
}
