//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write as _,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A record that all stand-ins write to.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no writer panics");
        let _unwritten = writeln!(file, "{seconds:8.3} {text}");
    }
}
