//! Growth of costs with size, as summarized in `docs/CAPACITY.md`: measured on this machine with small stand-ins and
//! extrapolated to the design size.

pub mod memory;
mod processes;
mod slopes;

use std::{fmt::Write, io};

pub use slopes::Slope;

/// The design size, as stated in `docs/DEVELOPMENT.md`.
pub mod size {
    /// Number of instances.
    pub const INSTANCES: f64 = 360.0;
    /// Number of availability zones.
    pub const ZONES: f64 = 7.0;
    /// Number of backend servers, which is that of accelerators if each serves on its own.
    pub const SERVERS: f64 = 4_800.0;
    /// Number of models.
    pub const MODELS: f64 = 15.0;
    /// Number of workspaces.
    pub const WORKSPACES: f64 = 770.0;
    /// Peak rate of requests per second.
    pub const REQUESTS: f64 = 4_000.0;
    /// Peak rate of generated tokens per second.
    pub const TOKENS: f64 = 840_000.0;
    /// Configuration changes per day.
    pub const CHANGES: f64 = 2_000.0;
}

/// Measures all costs and prints them as tables.
///
/// # Errors
///
/// Any I/O error of starting or querying processes.
pub fn run() -> io::Result<()> {
    let slopes = slopes::measure();
    print!("{}", table(&slopes));
    println!();
    print!("{}", processes::measure()?);
    Ok(())
}

/// Formats slopes as a table in Markdown.
fn table(slopes: &[Slope]) -> String {
    let mut text = String::from(
        "| cost | unit | at three sizes | slope | at the design size |\n\
         |---|---|---|---|---|\n",
    );
    for slope in slopes {
        let points: Vec<String> =
            slope.points.iter().map(|(size, value)| format!("{size:.0}: {value:.3}")).collect();
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} |",
            slope.name,
            slope.unit,
            points.join("; "),
            slope.per_item(),
            slope.at_target(),
        );
    }
    text
}
