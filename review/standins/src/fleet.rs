//! Gateways as processes of their own, started with the command of the deploy file.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::client;

const PROGRAM: &str = "target/release/peppercrank-gateway";

pub struct Gateway {
    pub name: String,
    pub zone: String,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// Returns an address whose port is free for TCP and UDP.
fn free_address() -> io::Result<SocketAddr> {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0")?;
        let address = tcp.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

impl Gateway {
    pub fn new(name: &str, zone: &str, store: SocketAddr, place: &Path) -> io::Result<Self> {
        let (listen, ready, peers, metrics) = (
            free_address()?,
            free_address()?,
            free_address()?,
            free_address()?,
        );
        let settings = place.join(format!("{name}.json"));
        // The platform's template, filled in with the figures of `pardikivi-galley`.
        let text = format!(
            r#"{{ "name": "{name}", "zone": "{zone}",
"regions": {{ "ulemiste": "tallinn", "muuga": "tallinn", "lasnamae": "tallinn", "rae": "tallinn" }},
"listen": "{listen}", "ready": "{ready}", "peers": "{peers}", "metrics": "{metrics}",
"store": "{store}", "sockets": 4100, "memory": "260MiB", "stop_seconds": 8,
"keys": {{ "revoke": "5000ms" }}, "cap": 2,
"contracts": ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
"retry": {{ "share": 0.2, "extra": 56, "window_seconds": 10 }} }}
"#
        );
        std::fs::write(&settings, text)?;
        Ok(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            listen,
            ready,
            settings,
            log: place.join(format!("{name}.log")),
            process: None,
        })
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(PROGRAM)
            .arg(&self.settings)
            .env("PEPPERCRANK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(child);
        Ok(())
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ended = (child.kill(), child.wait());
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) -> io::Result<()> {
        let Some(child) = &self.process else {
            return Err(io::ErrorKind::NotFound.into());
        };
        Command::new("kill")
            .arg("-TERM")
            .arg(child.id().to_string())
            .status()?;
        Ok(())
    }

    /// Waits until the process has ended by itself; returns whether it did, and kills it otherwise.
    pub async fn wait_exit(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Some(child) = &mut self.process
                && matches!(child.try_wait(), Ok(Some(_)))
            {
                self.process = None;
                return true;
            }
            sleep(Duration::from_millis(10)).await;
        }
        self.kill();
        false
    }

    /// Waits until the machine reports that it is ready; returns whether it did.
    pub async fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if client::is_ready(self.ready).await {
                return true;
            }
            sleep(Duration::from_millis(20)).await;
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
