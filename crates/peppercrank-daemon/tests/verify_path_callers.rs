// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whole path: what malformed callers get, and that nobody else notices.

mod bench;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use bench::ACME;
use bench::Bench;
use bench::CHAT;
use bench::client::chat;
use bench::client::send;
use bench::client::stream;
use bench::quick;
use peppercrank_standin::engine::EngineSettings;
use serde_json::Value;
use serde_json::json;

/// Long enough for a busy machine; a test waits so long only when it fails.
const PATIENCE: Duration = Duration::from_secs(60);

/// Sends bytes and reads until the router closes.
fn raw(at: SocketAddr, bytes: &[u8]) -> String {
    let mut io = TcpStream::connect(at).expect("a connection");
    io.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    // The router may close before it has read everything.
    let _sent = io.write_all(bytes);
    let mut answer = Vec::new();
    let closed = io.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer).into_owned();
    assert!(closed.is_ok(), "closed: {closed:?} after {text}");
    text
}

fn head(more: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\n{}: acme\r\n{more}\r\n",
        ACME.0
    )
}

/// What is sent, and the status and code that it gets.
fn broken() -> Vec<(&'static str, Vec<u8>, u16, &'static str)> {
    let body = chat(false, &["abc"]);
    let length = format!("content-length: {}\r\n", body.len());
    let chunked = "transfer-encoding: chunked\r\n";
    let cases = [
        ("no HTTP", "hello\r\n\r\n".to_owned(), 400, "bad_head"),
        (
            "length and chunks",
            head(&format!("{length}{chunked}")) + &body,
            400,
            "bad_framing",
        ),
        (
            "two lengths",
            head(&format!("{length}content-length: 1\r\n")) + &body,
            400,
            "bad_framing",
        ),
        (
            "a signed length",
            head("content-length: +5\r\n") + "12345",
            400,
            "bad_framing",
        ),
        (
            "two codings",
            head("transfer-encoding: gzip, chunked\r\n"),
            400,
            "bad_framing",
        ),
        (
            "no chunk size",
            head(chunked) + "zz\r\nabc\r\n0\r\n\r\n",
            400,
            "bad_body",
        ),
        (
            "a giant length",
            head("content-length: 99999999999\r\n"),
            413,
            "body_too_big",
        ),
        (
            "a giant header",
            head(&format!("x: {}\r\n", "y".repeat(100_000))),
            431,
            "head_too_big",
        ),
        (
            "an old version",
            "GET / HTTP/1.0\r\nhost: r\r\n\r\n".to_owned(),
            505,
            "http_version",
        ),
        (
            "no host",
            "GET / HTTP/1.1\r\n\r\n".to_owned(),
            400,
            "bad_head",
        ),
        ("space before colon", head("a : b\r\n"), 400, "bad_head"),
    ];
    let cases = cases
        .into_iter()
        .map(|(what, text, status, code)| (what, text.into_bytes(), status, code));
    let mut all: Vec<_> = cases.collect();
    let mut bytes = head("x: ").into_bytes();
    bytes.truncate(bytes.len() - 2);
    bytes.extend_from_slice(b"\xff\xfe\r\n\r\n");
    all.push(("a header that is no UTF-8", bytes, 400, "bad_head"));
    all
}

#[test]
fn verify_broken_framing_is_refused_and_closed() {
    let slow = EngineSettings {
        step_us: 200_000,
        ..quick()
    };
    let bench = Bench::engines(vec![slow]);
    let at = bench.at();
    let beside = thread::spawn(move || stream(at, CHAT, &[ACME], &chat(true, &["beside"])));
    for (what, bytes, status, code) in broken() {
        let answer = raw(at, &bytes);
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{what}: {answer}"
        );
        assert!(
            answer.contains(&format!("\"code\":\"{code}\"")),
            "{what}: {answer}"
        );
        assert!(answer.contains("\"run\":\"not_run\""), "{what}: {answer}");
        assert_eq!(
            answer.matches("HTTP/1.1").count(),
            1,
            "{what}: one answer, then closed"
        );
    }
    let told = beside.join().expect("events");
    assert!(told.complete, "nobody else is disturbed: {told:?}");
}

#[test]
fn verify_requests_at_fault_get_their_reason() {
    let bench = Bench::engines(vec![quick()]);
    let good = chat(false, &["abc"]);
    let unknown = good.replace("\"m\"", "\"n\"");
    let none = ("x-other", "x");
    let cases = [
        (CHAT, ACME, "{", 400, "body_malformed"),
        (CHAT, ACME, "", 400, "body_malformed"),
        (CHAT, ACME, "[]", 400, "body_malformed"),
        (
            CHAT,
            ACME,
            "{\"model\":\"m\",\"messages\":3}",
            400,
            "body_malformed",
        ),
        (CHAT, ACME, unknown.as_str(), 404, "model_unknown"),
        (CHAT, none, good.as_str(), 401, "organisation_missing"),
        (
            CHAT,
            (ACME.0, "nobody"),
            good.as_str(),
            403,
            "organisation_unknown",
        ),
        (
            CHAT,
            ("authorization", "Bearer x"),
            good.as_str(),
            401,
            "key_unknown",
        ),
        (
            CHAT,
            ("authorization", "Basic x"),
            good.as_str(),
            401,
            "key_malformed",
        ),
        ("GET /v1/chat/completions", ACME, "", 405, "method_unknown"),
        ("GET /services/nowhere/x", ACME, "", 404, "pool_unknown"),
        ("GET /services/galley/x", ACME, "", 404, "pool_unknown"),
        ("GET /nowhere", ACME, "", 404, "path_unknown"),
    ];
    for (call, header, body, status, code) in cases {
        let seen = send(bench.at(), call, &[header], body).expect("an answer");
        let error: Value = seen.json()["error"].clone();
        let about = format!("{call} {header:?} {body}: {}", seen.text);
        assert_eq!(
            (seen.status, &error["code"]),
            (status, &json!(code)),
            "{about}"
        );
        assert_eq!(error["run"], "not_run", "{about}");
        assert_eq!(seen.header("x-peppercrank-reason"), code, "{about}");
    }
    for (name, value) in [
        ("x-peppercrank-priority", "10"),
        ("x-peppercrank-priority", "x"),
        ("x-peppercrank-deadline-ms", "-1"),
        ("x-peppercrank-repeatable", "maybe"),
        ("idempotency-key", ""),
    ] {
        let seen = send(bench.at(), CHAT, &[ACME, (name, value)], &good).expect("an answer");
        assert_eq!(seen.status, 400, "{name}: {value}: {}", seen.text);
    }
}

#[test]
fn verify_body_that_is_no_utf8_is_refused() {
    let bench = Bench::engines(vec![quick()]);
    let body = chat(false, &["abc"]).into_bytes();
    let body: Vec<u8> = body
        .iter()
        .map(|b| if *b == b'b' { 0xff } else { *b })
        .collect();
    let length = body.len();
    let head = head(&format!(
        "connection: close\r\ncontent-length: {length}\r\n"
    ));
    let mut request = head.into_bytes();
    request.extend_from_slice(&body);
    let answer = raw(bench.at(), &request);
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert!(answer.contains("body_not_utf8"), "{answer}");
}
