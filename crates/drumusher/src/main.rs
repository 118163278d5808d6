//! The `drumusher` command-line program.

use std::{
    env, fs,
    io::{self, Read, Write},
    process::ExitCode,
};

use drumusher::{
    explain::Explanation,
    options::{self, Command},
    process,
    settings::{self, Settings},
    summary::Summary,
};

/// Exit code for invalid options or settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match options::parse(&arguments, |name| env::var(name).ok()) {
        Ok(Command::Help(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Command::Version) => {
            println!("drumusher {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Command::Check(file)) => check(&file),
        Ok(Command::Serve(file)) => serve(&file),
        Ok(Command::Explain { id, files, json }) => explain(&id, &files, json),
        Ok(Command::Summary(files)) => summary(&files),
        Ok(Command::Ask { statement, address, key }) => ask(&statement, &address, &key),
        Err(message) => {
            eprintln!("{message}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn load(file: &str) -> Result<Settings, ExitCode> {
    let text = fs::read_to_string(file).map_err(|error| {
        eprintln!("{file}: {error}");
        ExitCode::from(EXIT_USAGE)
    })?;
    let parsed = settings::parse(&text).map(|settings| settings.with_source(file));
    parsed.map_err(|errors| {
        for error in errors {
            eprintln!("{file}: {error}");
        }
        ExitCode::from(EXIT_USAGE)
    })
}

fn check(file: &str) -> ExitCode {
    match load(file) {
        Ok(_) => {
            println!("{file}: no fault");
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn serve(file: &str) -> ExitCode {
    let settings = match load(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if let Err(error) = process::logs::start(&settings) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let ran = match &settings.store {
        Some(store) => {
            let address = store.address;
            let duties = settings.duties.as_ref().map(|duties| duties.address);
            let open =
                async move || Ok(drumusher_adapter::Log::new(address).await?.with_duties(duties));
            process::routes::run(settings, drumusher_adapter::Headers, open)
        }
        None => process::run(settings),
    };
    let code = match ran {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    };
    log::logger().flush();
    code
}

/// Reads log lines from files, or from standard input if none are given.
fn log_lines(files: &[String]) -> Result<String, ExitCode> {
    let mut text = String::new();
    let read = if files.is_empty() {
        io::stdin().read_to_string(&mut text).map(drop)
    } else {
        files.iter().try_for_each(|file| {
            text.push_str(&fs::read_to_string(file)?);
            text.push('\n');
            Ok(())
        })
    };
    read.map_err(|error| {
        eprintln!("the log lines cannot be read: {error}");
        ExitCode::from(EXIT_USAGE)
    })?;
    Ok(text)
}

/// Prints to standard output. The reader may close it early, which is not an error.
fn print_stdout(text: &str) {
    if let Err(error) = io::stdout().write_all(text.as_bytes())
        && error.kind() != io::ErrorKind::BrokenPipe
    {
        eprintln!("standard output: {error}");
    }
}

fn summary(files: &[String]) -> ExitCode {
    match log_lines(files) {
        Ok(text) => {
            print_stdout(&Summary::new(text.lines()).to_string());
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn explain(id: &str, files: &[String], json: bool) -> ExitCode {
    let text = match log_lines(files) {
        Ok(text) => text,
        Err(code) => return code,
    };
    let explanation = Explanation::new(id, text.lines());
    if json {
        print_stdout(&format!("{}\n", explanation.to_json()));
    } else {
        print_stdout(&explanation.to_string());
    }
    if explanation.steps.is_empty() { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn ask(statement: &str, address: &str, key: &str) -> ExitCode {
    match drumusher::operator::send_statement(statement, address, key) {
        Ok(answer) => {
            print!("{answer}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
