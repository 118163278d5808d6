//! Command-line options.

use getopts::Options;

/// A command given by the user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the usage.
    Help(String),
    /// Print the version.
    Version,
    /// Run an instance with a settings file.
    Serve(String),
    /// Validate a settings file.
    Check(String),
    /// Explain the outcome of a request from log lines.
    Explain {
        /// Request ID.
        id: String,
        /// Log files; standard input if empty.
        files: Vec<String>,
        /// Whether to print JSON.
        json: bool,
    },
    /// Summarise the outcomes of all requests from log lines.
    Summary(Vec<String>),
    /// Send a statement to an instance.
    Ask {
        /// Statement.
        statement: String,
        /// `ip:port` of an instance.
        address: String,
        /// Operator key.
        key: String,
    },
}

/// Environment variable with the settings file of `serve` and `check`, if no option names it.
pub const SETTINGS_VARIABLE: &str = "DRUMUSHER_SETTINGS";
/// Environment variable with the operator key of `ask`, if no option gives it.
pub const KEY_VARIABLE: &str = "DRUMUSHER_OPERATOR_KEY";
/// Environment variable with the instance address of `ask`, if no option gives it.
pub const ADDRESS_VARIABLE: &str = "DRUMUSHER_ADDRESS";

const USAGE: &str = "\
Usage:
    drumusher serve [--config FILE]
    drumusher check [--config FILE]
    drumusher explain ID [--json] [FILE...]
    drumusher summary [FILE...]
    drumusher ask [--address IP:PORT] [--key KEY] 'STATEMENT'";

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("c", "config", "settings file, TOML (default: $DRUMUSHER_SETTINGS)", "FILE");
    options.optopt("a", "address", "instance address (default: $DRUMUSHER_ADDRESS)", "IP:PORT");
    options.optopt("k", "key", "operator key (default: $DRUMUSHER_OPERATOR_KEY)", "KEY");
    options.optflag("j", "json", "explain: print JSON");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

/// Parses the command-line arguments, without the program name.
///
/// # Errors
///
/// An error message for the user.
pub fn parse(
    arguments: &[String],
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Command, String> {
    let options = options();
    let matches = options.parse(arguments).map_err(|e| e.to_string())?;
    if matches.opt_present("help") {
        return Ok(Command::Help(options.usage(USAGE)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let config = || {
        let file = matches.opt_str("config").or_else(|| variable(SETTINGS_VARIABLE));
        file.ok_or("--config FILE is missing".to_string())
    };
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["serve"] => config().map(Command::Serve),
        ["check"] => config().map(Command::Check),
        ["explain", id, files @ ..] => Ok(Command::Explain {
            id: (*id).into(),
            files: files.iter().map(|file| (*file).into()).collect(),
            json: matches.opt_present("json"),
        }),
        ["summary", files @ ..] => {
            Ok(Command::Summary(files.iter().map(|file| (*file).into()).collect()))
        }
        ["ask", statement] => {
            let address = matches.opt_str("address").or_else(|| variable(ADDRESS_VARIABLE));
            let key = matches.opt_str("key").or_else(|| variable(KEY_VARIABLE));
            Ok(Command::Ask {
                statement: (*statement).into(),
                address: address.ok_or("--address IP:PORT is missing")?,
                key: key.ok_or("--key KEY is missing")?,
            })
        }
        _ => Err(options.usage(USAGE)),
    }
}
