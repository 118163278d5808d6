//! The command line.

use drumusher::options::{Command, parse};
use rstest::rstest;

fn words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_string).collect()
}

#[rstest]
#[case("serve --config a.toml", Command::Serve("a.toml".into()))]
#[case("check -c a.toml", Command::Check("a.toml".into()))]
#[case("--version", Command::Version)]
#[case("summary a b", Command::Summary(vec!["a".into(), "b".into()]))]
#[case("ask -a 127.0.0.1:1 -k key show", Command::Ask {
    statement: "show".into(), address: "127.0.0.1:1".into(), key: "key".into(),
})]
fn commands_are_parsed(#[case] text: &str, #[case] command: Command) {
    assert_eq!(parse(&words(text), |_| None), Ok(command));
}

#[test]
fn environment_variables_replace_missing_options() {
    let command = parse(&words("ask show"), |name| Some(format!("from {name}")));
    let expected = Command::Ask {
        statement: "show".into(),
        address: "from DRUMUSHER_ADDRESS".into(),
        key: "from DRUMUSHER_OPERATOR_KEY".into(),
    };
    assert_eq!(command, Ok(expected));
}

#[rstest]
#[case("", "Usage")]
#[case("serve", "--config FILE is missing")]
#[case("fly", "Usage")]
#[case("ask show", "--address")]
#[case("serve --colour", "colour")]
fn errors_are_reported(#[case] text: &str, #[case] expected_text: &str) {
    let error = parse(&words(text), |_| None).expect_err("a fault");
    assert!(error.contains(expected_text), "{error}");
}

#[test]
fn help_names_every_command() {
    let Ok(Command::Help(text)) = parse(&words("--help"), |_| None) else {
        panic!("no help");
    };
    assert!(
        ["serve", "check", "ask", "explain", "summary"]
            .iter()
            .all(|command| text.contains(command))
    );
}
