//! The slopes behind `docs/CAPACITY.md`, measured on this machine with small stand-ins, and the
//! figures at the size to design for that follow from them.

pub mod memory;
mod processes;
mod slopes;

use std::{fmt::Write, io};

pub use slopes::Slope;

/// The size to design for, as `docs/DEVELOPMENT.md` states it.
pub mod size {
    /// Instances.
    pub const INSTANCES: f64 = 360.0;
    /// Availability zones.
    pub const ZONES: f64 = 7.0;
    /// Backend servers: accelerators, if each serves alone.
    pub const SERVERS: f64 = 4_800.0;
    /// Models.
    pub const MODELS: f64 = 15.0;
    /// Workspaces.
    pub const WORKSPACES: f64 = 770.0;
    /// Requests a second at the peak.
    pub const REQUESTS: f64 = 4_000.0;
    /// Generated tokens a second at the peak.
    pub const TOKENS: f64 = 840_000.0;
    /// Changes of configuration a day.
    pub const CHANGES: f64 = 2_000.0;
}

/// Measures all slopes and prints them with what follows.
///
/// # Errors
///
/// Any error of the operating system.
pub fn run() -> io::Result<()> {
    let measured = slopes::measure();
    print!("{}", table(&measured));
    println!();
    print!("{}", processes::measure()?);
    Ok(())
}

fn table(slopes: &[Slope]) -> String {
    let mut text = String::from(
        "| what | unit | at three sizes | slope | at the size to design for |\n\
         |---|---|---|---|---|\n",
    );
    for slope in slopes {
        let points: Vec<String> =
            slope.points.iter().map(|(size, value)| format!("{size:.0}: {value:.3}")).collect();
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} |",
            slope.what,
            slope.unit,
            points.join("; "),
            slope.per(),
            slope.at_target(),
        );
    }
    text
}
