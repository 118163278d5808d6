//! Differences between two versions of a long text.

use drumusher::process::catalog::Patch;
use rstest::rstest;

/// A configuration with routes of these names.
fn text(version: u64, routes: &[&str]) -> String {
    let routes = routes.iter().map(|name| format!(r#"{{"Name":"{name}","Path":"/{name}/"}}"#));
    let routes = routes.collect::<Vec<String>>().join(",");
    format!(r#"{{"Version":{version},"Routes":[{routes}],"Limits":{{"Size":5}}}}"#)
}

#[rstest]
#[case::added(&["a", "b", "c"], &["a", "b", "x", "c"])]
#[case::removed(&["a", "b", "c"], &["a", "c"])]
#[case::replaced(&["a", "b", "c"], &["a", "y", "c"])]
#[case::moved(&["a", "b", "c"], &["c", "a", "b"])]
#[case::repeated(&["a", "b"], &["a", "b", "a", "b"])]
#[case::all_new(&["a"], &["ä", "ö"])]
#[case::none(&[], &[])]
fn a_patch_makes_the_new_version(#[case] old: &[&str], #[case] new: &[&str]) {
    let (old, new) = (text(1, old), text(2, new));
    assert_eq!(Patch::new(&old, &new).apply(&old), Some(new));
}

#[test]
fn a_patch_does_not_apply_to_another_version() {
    let (old, new) = (text(1, &["a", "b"]), text(2, &["a", "b", "c"]));
    let patch = Patch::new(&old, &new);
    assert_eq!(patch.apply(&text(1, &["a", "x"])), None);
    assert_eq!(patch.apply(""), None);
}

#[test]
fn the_size_of_a_patch_follows_the_change() {
    let names: Vec<String> = (0..2_000).map(|number| format!("route-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let (old, new) =
        (text(1, &names), text(2, &[&names[..1_000], &["new"], &names[1_000..]].concat()));
    let patch = Patch::new(&old, &new);
    assert!(patch.byte_len() < 300, "{} bytes", patch.byte_len());
    let sent = serde_json::to_string(&patch).expect("a patch serializes");
    assert_eq!(serde_json::from_str::<Patch>(&sent).expect("it is read back"), patch);
}
