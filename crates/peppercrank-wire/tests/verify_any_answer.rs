// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The client reads whatever bytes a server sends, in any pieces: it ends, and never takes a part of
//! an answer for all of it.
//!
//! `PEPPERCRANK_ANSWER_CASES` sets the number of cases, `PEPPERCRANK_ANSWER_SEED` where they start.

use std::env;
use std::fmt::Debug;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::str::FromStr;
use std::sync::LazyLock;
use std::time::Duration;

use http::Request;
use http_body_util::BodyExt;
use peppercrank_wire::body;
use peppercrank_wire::client::Client;
use peppercrank_wire::client::ClientConfig;
use peppercrank_wire::client::Framing;
use peppercrank_wire::client::Reuse;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Number of cases unless the environment sets another.
const CASES: u64 = 1_000;

/// Seed of the cases unless the environment sets another.
const SEED: u64 = 59;

/// Time after which a case counts as one that never ends.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes of an answer that a failure shows.
const SHOWN_BYTES: usize = 300;

/// Fragments of which answers are composed, in the order in which a sound one has them.
const HEADS: [&str; 5] = [
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n",
    "HTTP/1.0 200 OK\r\n",
    "HTTP/1.1 204 No Content\r\n",
    "HTTP/1.1 500 No\r\n",
];
const FRAMINGS: [&str; 7] = [
    "content-length: 8\r\n",
    "transfer-encoding: chunked\r\n",
    "transfer-encoding: chunked\r\ncontent-length: 4\r\n",
    "content-length: 4\r\ncontent-length: 4\r\n",
    "content-length: 18446744073709551615\r\n",
    "connection: close\r\n",
    "",
];
const PIECES: [&str; 12] = [
    "goodgood",
    "4\r\ngood\r\n",
    "0\r\n\r\n",
    "0\r\na: b\r\n\r\n",
    "000004;a=b\r\ngood\r\n",
    "ffffffffffffffff\r\n",
    "fffffffffffffffff\r\n",
    "4 \r\ngood\r\n",
    "\r\n",
    "\n",
    "0",
    ";",
];

/// One port for all cases, as each closed connection occupies its port for a minute.
static LISTENER: LazyLock<StdListener> =
    LazyLock::new(|| StdListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port"));

/// What a server sends before it closes the connection.
#[derive(Debug, Clone)]
struct Answer {
    bytes: Vec<u8>,
    /// Lengths of the pieces in which it is sent; the last piece is what remains.
    cuts: Vec<u8>,
}

fn choose<'a>(g: &mut Gen, from: &[&'a str]) -> &'a [u8] {
    g.choose(from).copied().unwrap_or_default().as_bytes()
}

impl Arbitrary for Answer {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut bytes = choose(g, &HEADS).to_vec();
        bytes.extend_from_slice(choose(g, &FRAMINGS));
        bytes.extend_from_slice(b"\r\n");
        for _ in 0..u8::arbitrary(g) % 6 {
            let piece = choose(g, &PIECES);
            // Some pieces repeat as if they had no end.
            let times = if u8::arbitrary(g) < 4 { 100_000 } else { 1 };
            bytes.extend(piece.repeat(times));
        }
        match u8::arbitrary(g) % 8 {
            0 => bytes.truncate(usize::from(u8::arbitrary(g))),
            1 => {
                let at = usize::from(u8::arbitrary(g)) % bytes.len();
                bytes[at] = u8::arbitrary(g);
            }
            2 => bytes = Vec::arbitrary(g),
            _ => {}
        }
        Self {
            bytes,
            cuts: Vec::arbitrary(g),
        }
    }
}

/// How the head of an answer says that its body ends.
enum Ending {
    Nothing,
    Length(usize),
    Chunks,
    Close,
}

/// Returns how the first final head of an answer says that its body ends, and what follows it.
fn parse_head(mut bytes: &[u8]) -> Option<(Ending, &[u8])> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 100];
        let mut head = httparse::Response::new(&mut headers);
        let Ok(httparse::Status::Complete(len)) = head.parse(bytes) else {
            return None;
        };
        bytes = &bytes[len..];
        let code = head.code?;
        if (100..200).contains(&code) && code != 101 {
            continue;
        }
        if [101, 204, 304].contains(&code) {
            return Some((Ending::Nothing, bytes));
        }
        let named = |name: &str| {
            let found = head
                .headers
                .iter()
                .find(|h| h.name.eq_ignore_ascii_case(name));
            found.map(|h| h.value)
        };
        if let Some(coding) = named("transfer-encoding") {
            let is_chunked = coding.eq_ignore_ascii_case(b"chunked");
            return Some((
                if is_chunked {
                    Ending::Chunks
                } else {
                    Ending::Close
                },
                bytes,
            ));
        }
        let Some(length) = named("content-length") else {
            return Some((Ending::Close, bytes));
        };
        let length = str::from_utf8(length).ok()?.trim().parse().ok()?;
        return Some((Ending::Length(length), bytes));
    }
}

/// Returns the line at the start without its end, and what follows it.
fn split_line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|b| *b == b'\n')?;
    Some((&bytes[..end], &bytes[end + 1..]))
}

/// Returns the data of a chunked body, if all of it is there.
fn decode_chunks(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut data = Vec::new();
    loop {
        let (line, rest) = split_line(bytes)?;
        let size = str::from_utf8(line).ok()?.split(';').next()?.trim();
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            bytes = rest;
            break;
        }
        data.extend_from_slice(rest.get(..size)?);
        let (empty, rest) = split_line(&rest[size..])?;
        if empty != b"\r" {
            return None;
        }
        bytes = rest;
    }
    // Trailers end with an empty line.
    while let Some((line, rest)) = split_line(bytes) {
        if line.trim_ascii().is_empty() {
            return Some(data);
        }
        bytes = rest;
    }
    None
}

/// An answer's body, and how its end is determined.
type Whole = (Framing, Vec<u8>);

/// Returns the whole body that an answer has by its head, if all of it is there.
fn whole_body(bytes: &[u8]) -> Option<Whole> {
    let (ending, rest) = parse_head(bytes)?;
    match ending {
        Ending::Nothing => Some((Framing::Length, Vec::new())),
        Ending::Length(length) => Some((Framing::Length, rest.get(..length)?.to_vec())),
        Ending::Chunks => Some((Framing::Chunked, decode_chunks(rest)?)),
        Ending::Close => Some((Framing::Close, rest.to_vec())),
    }
}

/// Sends an answer to the first request in pieces, and closes the connection.
async fn serve(listener: TcpListener, answer: Answer) {
    let (mut io, _) = listener.accept().await.expect("a connection");
    io.set_nodelay(true).expect("an option");
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        io.read_buf(&mut request).await.expect("a request");
    }
    let mut rest = answer.bytes.as_slice();
    for cut in answer.cuts {
        let (piece, after) = rest.split_at(usize::from(cut).min(rest.len()));
        // The client may have closed the connection.
        if io.write_all(piece).await.is_err() {
            return;
        }
        rest = after;
        yield_now().await;
    }
    let _sent = io.write_all(rest).await;
}

/// Returns the body if the client took the answer for a whole one.
async fn fetch(to: SocketAddr) -> Option<Whole> {
    let client = Client::new(ClientConfig::default());
    let request = Request::get("/").body(body::empty()).expect("a request");
    let answer = client.send(to, request, Reuse::Never).await.ok()?;
    let framing = answer.body().framing();
    let body = answer.into_body().collect().await.ok()?;
    Some((framing, body.to_bytes().to_vec()))
}

/// Returns whether the client ends, and takes only what is a whole answer for one.
async fn is_read_truly(answer: Answer) -> bool {
    let whole = whole_body(&answer.bytes);
    let sent = answer.bytes.clone();
    let listener = LISTENER.try_clone().expect("a descriptor");
    listener.set_nonblocking(true).expect("an option");
    let listener = TcpListener::from_std(listener).expect("a listener");
    let to = listener.local_addr().expect("an address");
    let served = tokio::spawn(serve(listener, answer));
    let Ok(read) = timeout(HANG_TIMEOUT, fetch(to)).await else {
        return false;
    };
    served.abort();
    let is_true = read.is_none() || read == whole;
    if !is_true {
        let start = &sent[..sent.len().min(SHOWN_BYTES)];
        eprintln!("read {read:?} from {:?}", String::from_utf8_lossy(start));
    }
    is_true
}

fn from_environment<T>(name: &str, default: T) -> T
where
    T: FromStr,
    T::Err: Debug,
{
    env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

/// Guards against parts of answers that callers take for whole ones, and against reads without end.
#[test]
fn verify_the_client_reads_any_bytes_truly() {
    fn property(answer: Answer) -> bool {
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime");
        runtime.block_on(is_read_truly(answer))
    }
    let cases = from_environment("PEPPERCRANK_ANSWER_CASES", CASES);
    let seed = from_environment("PEPPERCRANK_ANSWER_SEED", SEED);
    QuickCheck::new()
        .tests(cases)
        .max_tests(cases)
        .rng(Gen::from_size_and_seed(32, seed))
        .quickcheck(property as fn(Answer) -> bool);
}
