//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    time::Instant,
};

/// A record that is written line by line, and printed too.
pub struct Record {
    file: File,
    start: Instant,
}

impl Record {
    /// Creates the file.
    ///
    /// # Errors
    ///
    /// Any I/O error.
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { file: File::create(path)?, start: Instant::now() })
    }

    /// Writes a line without a time.
    pub fn line(&mut self, text: &str) {
        println!("{text}");
        let _ = writeln!(self.file, "{text}");
    }

    /// Writes a line with the present time.
    pub fn now(&mut self, text: &str) {
        let text = format!("{:8.3} s  {text}", self.start.elapsed().as_secs_f64());
        self.line(&text);
    }

    /// Writes a detail with the time of `at` to the file only.
    pub fn detail(&mut self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let _ = writeln!(self.file, "{seconds:8.3} s  {text}");
    }
}
