//! Consumers and the platform's readiness checks, each request on a channel of its own.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::http::Message;
use crate::http::Reader;

/// What a consumer saw of one request.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: String,
    pub gateway: usize,
    pub path: String,
    pub sent: Instant,
    pub ended: Instant,
    /// 0 if the channel ended without an answer.
    pub status: u16,
    pub reason: String,
}

/// Longest TCP segment, as on Ethernet. The loopback device's hold 64 KB, by which the kernel sizes its
/// send buffers, so that it takes some megabytes of an answer at once.
const SEGMENT_BYTES: u32 = 1_448;

/// Receive buffer of a consumer: links have small windows (DEPLOY.md, "Network").
const WINDOW_BYTES: u32 = 32 * 1_024;

/// Opens a channel with segments as long as on Ethernet and a small window.
pub async fn open(to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket2::SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES)?;
    socket.set_recv_buffer_size(WINDOW_BYTES)?;
    socket.connect(to).await
}

async fn exchange(to: SocketAddr, request: &str) -> Option<Message> {
    let mut io = TcpStream::connect(to).await.ok()?;
    io.write_all(request.as_bytes()).await.ok()?;
    Reader::new(io).message().await
}

/// Returns whether a machine reports that it is ready.
pub async fn is_ready(to: SocketAddr) -> bool {
    let request = "GET /-/readyz HTTP/1.1\r\nHost: lb\r\n\r\n";
    let asked = timeout(Duration::from_secs(1), exchange(to, request)).await;
    asked
        .ok()
        .flatten()
        .is_some_and(|answer| answer.status() == 200)
}

/// Sends a request to a machine's frontend.
pub async fn call(gateway: usize, to: SocketAddr, path: &str, key: &str, id: String) -> Call {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nPeppercrank-Request-Id: {id}\r\n\
         Peppercrank-Deadline-Ms: 1500\r\nPeppercrank-Key: {key}\r\nContent-Length: 4\r\n\r\nbody"
    );
    let sent = Instant::now();
    let answer = timeout(Duration::from_millis(2_500), exchange(to, &request)).await;
    let answer = answer.ok().flatten().unwrap_or_default();
    Call {
        id,
        gateway,
        path: path.to_owned(),
        sent,
        ended: Instant::now(),
        status: answer.status(),
        reason: answer
            .header("x-peppercrank-reason")
            .unwrap_or("")
            .to_owned(),
    }
}
