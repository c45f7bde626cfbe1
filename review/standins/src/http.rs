//! Just enough HTTP/1.1 for stand-ins: heads, bodies with a length, and chunked answers.

use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::time::sleep;

/// The head of a message and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads messages from one end of a connection.
pub struct Reader<R> {
    io: R,
    buf: Vec<u8>,
    /// Bytes received since the last whole message.
    received: usize,
    pause: Duration,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    pub fn new(io: R) -> Self {
        Self {
            io,
            buf: Vec::new(),
            received: 0,
            pause: Duration::ZERO,
        }
    }

    /// Reads 16 KB at most at a time, with a pause after each, as over a link of limited bandwidth.
    pub fn paced(io: R, pause: Duration) -> Self {
        Self {
            pause,
            ..Self::new(io)
        }
    }

    /// Reads more bytes; `None` at the end of the connection.
    pub async fn fill(&mut self) -> Option<()> {
        let mut space = [0; 16_384];
        let n = self.io.read(&mut space).await.ok()?;
        if n == 0 {
            return None;
        }
        self.buf.extend_from_slice(&space[..n]);
        self.received += n;
        if !self.pause.is_zero() {
            sleep(self.pause).await;
        }
        Some(())
    }

    /// Reads a head without its body.
    pub async fn head(&mut self) -> Option<Message> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = self.buf.drain(..end + 4).collect::<Vec<_>>();
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.split("\r\n").filter(|l| !l.is_empty());
                let first_line = lines.next()?.to_owned();
                let header = |l: &str| {
                    let (name, value) = l.split_once(':')?;
                    Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                };
                let headers = lines.filter_map(header).collect();
                return Some(Message {
                    first_line,
                    headers,
                    body: Vec::new(),
                });
            }
            self.fill().await?;
        }
    }

    async fn take(&mut self, len: usize) -> Option<Vec<u8>> {
        while self.buf.len() < len {
            self.fill().await?;
        }
        Some(self.buf.drain(..len).collect())
    }

    async fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = self.buf.drain(..end + 2).collect::<Vec<_>>();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill().await?;
        }
    }

    /// Reads one chunk of a chunked body; an empty one is the last.
    pub async fn chunk(&mut self) -> Option<Vec<u8>> {
        let line = self.line().await?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let chunk = self.take(size).await?;
        self.line().await?;
        Some(chunk)
    }

    /// Bytes received since the last whole message.
    pub fn received(&self) -> usize {
        self.received
    }

    /// Reads a whole message; `None` if it broke off.
    pub async fn message(&mut self) -> Option<Message> {
        self.received = 0;
        let mut message = self.head().await?;
        if message.header("transfer-encoding").is_some() {
            loop {
                let chunk = self.chunk().await?;
                if chunk.is_empty() {
                    return Some(message);
                }
                message.body.extend(chunk);
            }
        }
        let len = message
            .header("content-length")
            .and_then(|l| l.parse().ok());
        message.body = self.take(len.unwrap_or(0)).await?;
        Some(message)
    }
}
