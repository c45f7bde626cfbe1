//! Minimal HTTP/1.1 over blocking sockets, for clients, servers and the store.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request or a response: its first line, headers and whole body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        all.find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1);
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }
}

fn line(from: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut text = String::new();
    if from.read_line(&mut text)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads the first line and the headers.
pub fn read_head(from: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let first = line(from)?;
    let mut headers = Vec::new();
    loop {
        let text = line(from)?;
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    Ok(Message {
        first,
        headers,
        body: Vec::new(),
    })
}

/// Reads a whole message. A body without a length or chunks is empty.
pub fn read(from: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = read_head(from)?;
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let size = line(from)?;
            let size = usize::from_str_radix(size.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut part = vec![0; size];
            from.read_exact(&mut part)?;
            line(from)?;
            if size == 0 {
                return Ok(message);
            }
            message.body.extend(part);
        }
    }
    let length = message.header("content-length");
    let length = length.and_then(|v| v.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    from.read_exact(&mut message.body)?;
    Ok(message)
}

/// A kept connection of a client.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(to: SocketAddr, read_timeout: Duration) -> io::Result<Self> {
        let io = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        io.set_nodelay(true)?;
        io.set_read_timeout(Some(read_timeout))?;
        Ok(Self {
            reader: BufReader::new(io),
        })
    }

    pub fn send(&mut self, head: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)
    }

    pub fn receive(&mut self) -> io::Result<Message> {
        read(&mut self.reader)
    }

    /// Sends a request and reads the whole answer.
    pub fn call(&mut self, head: &str, body: &[u8]) -> io::Result<Message> {
        self.send(head, body)?;
        self.receive()
    }
}
