// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that each response of the platform, and each way to lose it, has a typed outcome.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use peppercrank_wire::platform::Access;
use peppercrank_wire::platform::CallOutcome;
use peppercrank_wire::platform::Condition;
use peppercrank_wire::platform::Failure;
use peppercrank_wire::platform::Fetched;
use peppercrank_wire::platform::Listing;
use peppercrank_wire::platform::NamedObject;
use peppercrank_wire::platform::Object;
use peppercrank_wire::platform::Operation;
use peppercrank_wire::platform::Platform;
use peppercrank_wire::platform::Watched;
use peppercrank_wire::platform::Written;
use serde_json::json;

/// What the scripted platform does with a connection.
#[derive(Debug, Clone, Copy)]
enum Script {
    /// Sends these bytes and closes the connection.
    Answer(&'static str),
    /// Reads the request and closes the connection.
    Close,
    /// Reads the request and sends nothing until the client disconnects.
    Hang,
}

const SLOW: Duration = Duration::from_millis(300);

/// Runs a script on one connection and returns the request.
fn play(script: Script) -> (Access, JoinHandle<String>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (mut io, _) = listener.accept().expect("a connection");
        let request = read(&mut io);
        match script {
            Script::Answer(text) => io.write_all(text.as_bytes()).expect("an open connection"),
            Script::Close => {}
            Script::Hang => {
                // The wait ends when the client disconnects, however it does so.
                let _gone = io.read(&mut [0; 64]);
            }
        }
        request
    });
    let mut access = Access::new(address);
    access.call = SLOW;
    if !matches!(script, Script::Hang) {
        access.call = Duration::from_secs(20);
    }
    access.token = Some("token-1".to_owned());
    (access, server)
}

/// Reads a request: its head, and a body of the given length.
fn read(io: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut space = [0; 4_096];
    loop {
        let n = io.read(&mut space).expect("a request");
        assert!(n > 0, "the client left within its request");
        text.push_str(std::str::from_utf8(&space[..n]).expect("text"));
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.lines().find_map(|l| {
            let (name, value) = l.split_once(": ")?;
            name.eq_ignore_ascii_case("content-length")
                .then(|| value.parse().ok())?
        });
        if body.len() >= length.unwrap_or(0) {
            return text;
        }
    }
}

const FOUND: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 28\r\n\r\n{\"version\":7,\"body\":{\"a\":1}}";
const CUT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 28\r\n\r\n{\"version\":7,\"bo";
const ABSENT: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
const THROTTLED: &str =
    "HTTP/1.1 429 Too Many Requests\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n";
const OUTAGE: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
const FAULT: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
const FORBIDDEN: &str = "HTTP/1.1 403 Forbidden\r\ncontent-length: 0\r\n\r\n";
const MOVED: &str =
    "HTTP/1.1 302 Found\r\nlocation: /elsewhere\r\ncontent-length: 0\r\na: b\r\n\r\n";
const GARBAGE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n{]}";
const DONE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"version\":8}";
const CONFLICT: &str = "HTTP/1.1 412 Precondition Failed\r\ncontent-length: 28\r\n\r\n{\"version\":7,\"body\":{\"a\":1}}";
const BARE_CONFLICT: &str = "HTTP/1.1 412 Precondition Failed\r\ncontent-length: 0\r\n\r\n";

fn seven() -> Object {
    Object {
        version: 7,
        body: Some(json!({"a": 1})),
    }
}

#[test]
fn verify_reads() {
    let cases = [
        (
            Script::Answer(FOUND),
            Ok(Fetched::Found(seven())),
            CallOutcome::Found,
        ),
        (
            Script::Answer(ABSENT),
            Ok(Fetched::Absent),
            CallOutcome::Absent,
        ),
        (
            Script::Answer(THROTTLED),
            Err(Failure::Throttled(Some(Duration::from_secs(2)))),
            CallOutcome::Throttled,
        ),
        (
            Script::Answer(OUTAGE),
            Err(Failure::Down),
            CallOutcome::Down,
        ),
        (Script::Answer(FAULT), Err(Failure::Down), CallOutcome::Down),
        (
            Script::Answer(FORBIDDEN),
            Err(Failure::Bad(403)),
            CallOutcome::Bad,
        ),
        (
            Script::Answer(GARBAGE),
            Err(Failure::Bad(200)),
            CallOutcome::Bad,
        ),
        (Script::Answer(CUT), Err(Failure::Down), CallOutcome::Down),
        (Script::Close, Err(Failure::Down), CallOutcome::Down),
        (Script::Hang, Err(Failure::Slow), CallOutcome::Slow),
    ];
    for (script, expected, ending) in cases {
        let (access, server) = play(script);
        let platform = Platform::new(&access);
        assert_eq!(platform.get("pool", "galley-llm"), expected, "{script:?}");
        assert_eq!(
            platform.calls().get(Operation::Get, ending),
            1,
            "{script:?}"
        );
        assert_eq!(platform.calls().total(), 1, "{script:?}");
        drop(platform);
        let request = server.join().expect("a script played");
        assert!(request.starts_with("GET /objects/pool/galley-llm HTTP/1.1\r\n"));
        assert!(request.contains("Bearer token-1\r\n"), "{request}");
    }
}

#[test]
fn verify_writes() {
    let cases = [
        (
            Script::Answer(DONE),
            Ok(Written::Done(8)),
            CallOutcome::Done,
        ),
        (
            Script::Answer(CONFLICT),
            Ok(Written::Conflict(Some(seven()))),
            CallOutcome::Conflict,
        ),
        (
            Script::Answer(BARE_CONFLICT),
            Ok(Written::Conflict(None)),
            CallOutcome::Conflict,
        ),
        (
            Script::Answer(THROTTLED),
            Err(Failure::Throttled(Some(Duration::from_secs(2)))),
            CallOutcome::Throttled,
        ),
        (
            Script::Answer(OUTAGE),
            Err(Failure::Down),
            CallOutcome::Down,
        ),
        // In the remaining cases, the write may have taken effect.
        (
            Script::Answer(FAULT),
            Err(Failure::Unknown),
            CallOutcome::Unknown,
        ),
        (
            Script::Answer(GARBAGE),
            Err(Failure::Unknown),
            CallOutcome::Unknown,
        ),
        (
            Script::Answer(CUT),
            Err(Failure::Unknown),
            CallOutcome::Unknown,
        ),
        (Script::Close, Err(Failure::Unknown), CallOutcome::Unknown),
        (Script::Hang, Err(Failure::Unknown), CallOutcome::Unknown),
    ];
    for (script, expected, ending) in cases {
        let (access, server) = play(script);
        let platform = Platform::new(&access);
        let body = json!({"a": 1});
        let wrote = platform.put("claim", "k-1", Condition::New, &body);
        assert_eq!(wrote, expected, "{script:?}");
        assert_eq!(
            platform.calls().get(Operation::Put, ending),
            1,
            "{script:?}"
        );
        drop(platform);
        let request = server.join().expect("a script played").to_lowercase();
        assert!(request.starts_with("put /objects/claim/k-1 http/1.1\r\n"));
        assert!(request.contains("if-none-match: *\r\n"), "{request}");
        assert!(request.ends_with("{\"a\":1}"), "{request}");
    }
}

/// Guards against a read or write that counts as decided by an answer that was cut at any byte.
#[test]
fn verify_an_answer_cut_at_any_byte_decides_nothing() {
    for answer in [
        FOUND, ABSENT, DONE, CONFLICT, THROTTLED, OUTAGE, FORBIDDEN, MOVED,
    ] {
        for cut in 0..answer.len() {
            let part = &answer[..cut];
            let (access, server) = play(Script::Answer(part));
            let read = Platform::new(&access).get("pool", "galley-llm");
            assert_eq!(read, Err(Failure::Down), "{part:?}");
            server.join().expect("a script played");
            let (access, server) = play(Script::Answer(part));
            let written = Platform::new(&access).put(
                "pool",
                "galley-llm",
                Condition::Version(7),
                &json!({"a": 1}),
            );
            assert_eq!(written, Err(Failure::Unknown), "{part:?}");
            server.join().expect("a script played");
        }
    }
}

#[test]
fn verify_delete_names_its_version() {
    let (access, server) = play(Script::Answer(DONE));
    let platform = Platform::new(&access);
    assert_eq!(platform.delete("mark", "engine-1", 7), Ok(Written::Done(8)));
    assert_eq!(
        platform.calls().get(Operation::Delete, CallOutcome::Done),
        1
    );
    let request = server.join().expect("a script played").to_lowercase();
    assert!(request.starts_with("delete /objects/mark/engine-1 http/1.1\r\n"));
    assert!(request.contains("if-match: 7\r\n"), "{request}");
}

#[test]
fn verify_lists_and_watches() {
    let list = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n\
{\"revision\":9,\"objects\":[{\"name\":\"a\",\"version\":9}]}";
    let tombstone = NamedObject {
        name: "a".to_owned(),
        version: 9,
        body: None,
    };
    let listing = Listing {
        revision: 9,
        objects: vec![tombstone],
    };
    let (access, server) = play(Script::Answer(list));
    let platform = Platform::new(&access);
    assert_eq!(platform.list("pool"), Ok(listing.clone()));
    server.join().expect("a script played");

    let too_old = "HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n";
    let cases = [
        (list, Watched::Changes(listing)),
        (too_old, Watched::TooOld),
    ];
    for (script, expected) in cases {
        let (access, server) = play(Script::Answer(script));
        let watched = Platform::new(&access).watch("pool", 8, SLOW);
        assert_eq!(watched, Ok(expected));
        let request = server.join().expect("a script played");
        assert!(request.starts_with("GET /watch/pool?since=8&wait_ms=300 HTTP/1.1\r\n"));
    }
}

#[test]
fn verify_an_invalid_vm_entry_hides_no_other() {
    let list = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"revision\":3,\"vms\":[\
{\"name\":\"vm-1\",\"zone\":\"rae\",\"address\":\"10.0.0.1:80\",\"role\":\"agent\",\"leaving\":true},\
{\"name\":\"VM 2\",\"zone\":\"rae\",\"address\":\"10.0.0.2:80\",\"role\":\"agent\",\"leaving\":false}]}";
    let (access, server) = play(Script::Answer(list));
    let vms = Platform::new(&access).vms().expect("a list");
    assert_eq!((vms.revision, vms.vms.len(), vms.invalid), (3, 1, 1));
    assert!(vms.vms[0].leaving);
    server.join().expect("a script played");
}

#[test]
fn verify_a_refused_connection_counts_as_down() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let platform = Platform::new(&Access::new(address));
    assert_eq!(platform.get("pool", "a"), Err(Failure::Down));
    // Without a connection, the write is known not to have taken effect.
    let wrote = platform.put("pool", "a", Condition::Version(1), &json!({}));
    assert_eq!(wrote, Err(Failure::Down));
}

#[test]
fn verify_names_are_valid_path_segments() {
    let platform = Platform::new(&Access::new((Ipv4Addr::LOCALHOST, 1).into()));
    for name in ["", "..", ".", "a/b", "a?b", "A", "a b", "%2e"] {
        assert_eq!(platform.get("pool", name), Err(Failure::Name), "{name}");
        assert_eq!(platform.list(name), Err(Failure::Name), "{name}");
    }
    assert_eq!(platform.calls().total(), 0);
}

#[test]
fn verify_token_is_not_shown() {
    let mut access = Access::new((Ipv4Addr::LOCALHOST, 1).into());
    access.token = Some("token-1".to_owned());
    let shown = format!("{access:?} {:?}", Platform::new(&access));
    assert!(!shown.contains("token-1"), "{shown}");
}
