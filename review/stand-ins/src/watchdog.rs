//! Ends the run, and the processes that it started, if it takes too long.

use std::{
    process::{Command, exit},
    sync::Mutex,
    thread,
    time::Duration,
};

const LONGEST: Duration = Duration::from_secs(110);

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Adds a process that this run started.
pub fn add(process: u32) {
    STARTED.lock().expect("no holder panics").push(process);
}

pub fn start() {
    thread::spawn(|| {
        thread::sleep(LONGEST);
        for process in STARTED.lock().expect("no holder panics").iter() {
            let _ = Command::new("kill").args(["-s", "KILL", &process.to_string()]).status();
        }
        println!("the run took too long");
        exit(2);
    });
}
