//! Scripts of the second independent review: each subcommand plays one case on real processes and the real clock.
//!
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod deployment;
mod drain_after_clock_step;
mod drain_after_herd_kill;
mod early_end;
mod record;
mod relay;
mod stale_after_cuts;
mod worker;

use std::{env, path::PathBuf, process::ExitCode};

use record::Record;

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-cases CASE RECORD");
        return ExitCode::from(2);
    };
    if case == "worker" {
        return worker::run(&record).map_or(ExitCode::from(2), |()| ExitCode::SUCCESS);
    }
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = match Record::create(&PathBuf::from(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    let played = match case.as_str() {
        "drain-after-herd-kill" => drain_after_herd_kill::play(trouble, &mut record),
        "drain-after-clock-step" => drain_after_clock_step::play(trouble, &mut record),
        "early-end" => early_end::play(trouble, &mut record),
        "stale-after-cuts" => stale_after_cuts::play(trouble, &mut record),
        other => Err(format!("no case {other}")),
    };
    match played {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("verdict: the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
