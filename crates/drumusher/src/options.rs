//! The command line.

use getopts::Options;

/// What the user asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print how to use the program.
    Help(String),
    /// Print the version.
    Version,
    /// Run an instance with the settings in a file.
    Serve(String),
    /// Check the settings in a file.
    Check(String),
    /// Tell what log lines say of a request.
    Explain {
        /// The request.
        id: String,
        /// Files with log lines; standard input if there are none.
        files: Vec<String>,
        /// Whether to answer in JSON.
        json: bool,
    },
    /// Tell what log lines say of all requests.
    Summary(Vec<String>),
    /// Send one statement to an instance.
    Ask {
        /// The statement.
        statement: String,
        /// `ip:port` of an instance.
        address: String,
        /// The operator key.
        key: String,
    },
}

/// Where `serve` and `check` find the settings file when no option names it.
pub const SETTINGS_VARIABLE: &str = "DRUMUSHER_SETTINGS";
/// Where `ask` finds the operator key when no option gives it.
pub const KEY_VARIABLE: &str = "DRUMUSHER_OPERATOR_KEY";
/// Where `ask` finds the instance when no option gives it.
pub const ADDRESS_VARIABLE: &str = "DRUMUSHER_ADDRESS";

const BRIEF: &str = "\
Usage:
    drumusher serve [--config FILE]
    drumusher check [--config FILE]
    drumusher explain ID [--json] [FILE...]
    drumusher summary [FILE...]
    drumusher ask [--address IP:PORT] [--key KEY] 'STATEMENT'";

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("c", "config", "settings file, TOML (default: $DRUMUSHER_SETTINGS)", "FILE");
    options.optopt("a", "address", "instance to ask (default: $DRUMUSHER_ADDRESS)", "IP:PORT");
    options.optopt("k", "key", "operator key (default: $DRUMUSHER_OPERATOR_KEY)", "KEY");
    options.optflag("j", "json", "explain: answer in JSON");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

/// Reads the command line, without the program's name.
///
/// # Errors
///
/// A sentence for the user.
pub fn parse(
    arguments: &[String],
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Command, String> {
    let options = options();
    let matches = options.parse(arguments).map_err(|e| e.to_string())?;
    if matches.opt_present("help") {
        return Ok(Command::Help(options.usage(BRIEF)));
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
        _ => Err(options.usage(BRIEF)),
    }
}
