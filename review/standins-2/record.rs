//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
        }
    }

    pub fn line(&self, text: &str) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7.3} s  {text}", ms as f64 / 1000.0);
    }

    /// Also for whoever runs the case.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }
}
