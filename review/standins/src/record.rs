//! The record of a case: what was sent, answered and run, in seconds since its start.

use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;

use tokio::time::Instant;

use crate::client::Call;
use crate::engine::Run;

pub struct Record {
    file: BufWriter<File>,
    start: std::time::Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self {
            file,
            start: std::time::Instant::now(),
        })
    }

    /// Seconds from the start of the record.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.into_std()
            .saturating_duration_since(self.start)
            .as_secs_f64()
    }

    pub fn line(&mut self, text: &str) {
        let now = self.start.elapsed().as_secs_f64();
        println!("{now:8.3} {text}");
        let _written = writeln!(self.file, "{now:8.3} {text}");
    }

    /// Lists all calls with the runs of each, in the order in which they were sent.
    pub fn calls(&mut self, calls: &[Call], runs: &[Run]) {
        let mut calls = calls.iter().collect::<Vec<_>>();
        calls.sort_by_key(|c| c.sent);
        let _written = writeln!(self.file, "\nsent, answered, run (seconds):");
        for call in calls {
            let (sent, ended) = (self.seconds(call.sent), self.seconds(call.ended));
            let ran = runs.iter().filter(|r| r.request == call.id);
            let ran = ran.map(|r| {
                format!(
                    " run at {:.3} by {} as {:?}",
                    self.seconds(r.at),
                    r.engine,
                    r.tenant
                )
            });
            let ran = ran.collect::<String>();
            let _written = writeln!(
                self.file,
                "{sent:8.3} gateway {} {} {} -> {:.3} {} {}{ran}",
                call.gateway, call.id, call.path, ended, call.status, call.reason,
            );
        }
        let _flushed = self.file.flush();
    }
}
