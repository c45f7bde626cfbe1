//! Gateway processes, started as the deploy file does, with settings of a small deployment.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;

pub struct Gateway {
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a loopback address whose port is free for TCP and UDP.
fn free() -> std::io::Result<SocketAddr> {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0")?;
        let address = tcp.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

impl Gateway {
    pub fn new(
        index: usize,
        place: &Path,
        store: SocketAddr,
        memory_mb: u64,
    ) -> std::io::Result<Self> {
        let (listen, ready, peers, metrics) = (free()?, free()?, free()?, free()?);
        // Filled in as `deploy/platform/gateway.jsonc` is for a small site.
        let text = format!(
            "{{ \"name\": \"edge-a-{index}\", \"zone\": \"a\", \"regions\": {{\"a\":\"r\"}},\n\
             \"listen\": \"{listen}\", \"ready\": \"{ready}\", \"peers\": \"{peers}\",\n\
             \"metrics\": \"{metrics}\", \"store\": \"{store}\", \"sockets\": 4100,\n\
             \"memory\": \"{memory_mb}MiB\", \"stop_seconds\": 8,\n\
             \"keys\": {{ \"revoke\": \"5000ms\" }}, \"cap\": 2,\n\
             \"contracts\": [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\
             \"engine\",\"stream\",\"tenants\",\"platform\"],\n\
             \"retry\": {{ \"share\": 0.2, \"extra\": 56, \"window_seconds\": 10 }} }}\n"
        );
        let settings = place.join(format!("gateway-{index}.jsonc"));
        fs::write(&settings, text)?;
        Ok(Self {
            listen,
            ready,
            settings,
            log: place.join(format!("gateway-{index}.log")),
            child: None,
        })
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let mut log = File::options();
        let log = log.create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/peppercrank-gateway")
            .arg(&self.settings)
            .env("PEPPERCRANK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = (child.kill(), child.wait());
        }
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n";
        let connection = Connection::open(self.ready, Duration::from_secs(1));
        let answer = connection.and_then(|mut c| c.call(head, b""));
        answer.is_ok_and(|a| a.status() == 200)
    }

    pub fn wait_until_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Resident memory of the process in bytes; 0 if it has ended.
    pub fn memory(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let text = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let text = text.unwrap_or_default();
        let rss = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kib = rss.and_then(|r| r.trim().split(' ').next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1_024
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }
}
