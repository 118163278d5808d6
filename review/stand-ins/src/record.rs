//! The record of a run: what was sent, answered and run, with times.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}\n", self.seconds(), text.as_ref());
        let mut file = self.file.lock().expect("no holder panics");
        file.write_all(line.as_bytes()).expect("the record can be written");
    }
}
