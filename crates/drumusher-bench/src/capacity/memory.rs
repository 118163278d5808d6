//! Memory use of state of different sizes. Each size is measured in its own process, because memory freed earlier in
//! the same process would be reused and hide the growth.

use std::{env, fs, process::Command};

use drumusher_log::claim;
use drumusher_schedule::{ask::Id, event::Event};

use super::slopes;

/// A kind of state whose memory use is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    /// Requests waiting at a dispatcher.
    Waiting,
    /// Commands applied to the configuration.
    Commands,
    /// Claims in the index.
    Claims,
}

impl Held {
    /// Argument of the `memory` subcommand.
    fn argument(self) -> &'static str {
        match self {
            Held::Waiting => "waiting",
            Held::Commands => "commands",
            Held::Claims => "claims",
        }
    }

    /// Sizes that are measured.
    pub fn sizes(self) -> [usize; 3] {
        match self {
            Held::Waiting => [10_000, 20_000, 40_000],
            Held::Commands => [2_000, 4_000, 8_000],
            Held::Claims => [50_000, 100_000, 200_000],
        }
    }

    /// Kilobytes that `size` items take, measured in a new process; `None` if that fails.
    pub fn measure_in_process(self, size: usize) -> Option<f64> {
        let own = env::current_exe().ok()?;
        let output =
            Command::new(own).args(["memory", self.argument(), &size.to_string()]).output();
        String::from_utf8(output.ok()?.stdout).ok()?.trim().parse().ok()
    }
}

/// Prints the kilobytes that `size` items of the kind `held` take in the current process.
///
/// # Errors
///
/// A message, if `size` isn't a number or `held` is unknown.
pub fn print(held: &str, size: &str) -> Result<(), String> {
    let size: usize = size.parse().map_err(|_| format!("invalid size {size:?}"))?;
    let before = resident_kb();
    match held {
        "waiting" => waiting(size),
        "commands" => commands(size),
        "claims" => claims(size),
        other => return Err(format!("unknown kind of state {other:?}")),
    }
    println!("{}", resident_kb() - before);
    Ok(())
}

/// Allocates a pool with waiting requests. Leaks it, as do the other functions, so that it counts as resident.
fn waiting(size: usize) {
    let mut pool = slopes::pool(1, 1);
    let mut orders = Vec::new();
    for id in 0..size as Id {
        pool.handle(2_000_000, Event::Ask(slopes::ask(id)), &mut orders);
    }
    std::mem::forget(pool);
}

fn commands(size: usize) {
    std::mem::forget(slopes::configuration(size));
}

fn claims(size: usize) {
    let mut index = claim::Index::new(0);
    for number in 0..size {
        index.apply(number as u64, 0, &slopes::claim(number));
    }
    std::mem::forget(index);
}

fn resident_kb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0.0)
}
