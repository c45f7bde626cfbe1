//! The record of a run: what was sent, answered and run, with milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Milliseconds since the start.
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.ms();
        let mut file = self.file.lock().unwrap();
        let _written = writeln!(file, "{at:>7} {text}");
    }

    /// Sleeps until this many milliseconds after the start.
    pub fn sleep_until(&self, ms: u64) {
        let left = ms.saturating_sub(self.ms());
        std::thread::sleep(std::time::Duration::from_millis(left));
    }
}
