// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that malformed, ambiguous and oversized requests get a clear error and a closed
//! connection.

#[path = "support/edge.rs"]
mod edges;
#[path = "support/raw.rs"]
mod raw;

use peppercrank_wire::edge::Limits;
use peppercrank_wire::edge::Refused;
use peppercrank_wire::edge::ServeSummary;

use edges::echo;
use edges::start;
use raw::exchange;

/// A request that an attacker tries to smuggle.
const SECOND: &str = "GET /second HTTP/1.1\r\nhost: a\r\n\r\n";

fn post(headers: &str) -> Vec<u8> {
    format!("POST /first HTTP/1.1\r\nhost: a\r\n{headers}\r\n\r\n0\r\n\r\n{SECOND}").into_bytes()
}

fn get(line: &str) -> Vec<u8> {
    format!("{line}\r\n\r\n").into_bytes()
}

/// The bytes of each case, and the reason for which it is refused.
fn cases() -> Vec<(Vec<u8>, Refused)> {
    use Refused::BadHead;
    use Refused::BodyTooBig;
    use Refused::Framing;
    use Refused::HeadTooBig;
    use Refused::Method;
    use Refused::Version;
    let many = "a: b\r\n".repeat(120);
    let long = "a".repeat(40_000);
    let mut cases = vec![
        (
            post("content-length: 5\r\ntransfer-encoding: chunked"),
            Framing,
        ),
        (
            post("transfer-encoding: chunked\r\ncontent-length: 5"),
            Framing,
        ),
        (
            post("Transfer-Encoding: chunked\r\nCONTENT-LENGTH: 0"),
            Framing,
        ),
        (post("content-length: 5\r\ncontent-length: 5"), Framing),
        (post("content-length: 5\r\ncontent-length: 6"), Framing),
        (post("content-length: 5, 5"), Framing),
        (post("content-length: +5"), Framing),
        (post("content-length: -1"), Framing),
        (post("content-length: 0x5"), Framing),
        (post("content-length: "), Framing),
        (post("content-length: 5 5"), Framing),
        (post("content-length: 99999999999999999999"), BodyTooBig),
        (post("content-length: 9000000"), BodyTooBig),
        (post("transfer-encoding: gzip"), Framing),
        (post("transfer-encoding: chunked, gzip"), Framing),
        (post("transfer-encoding: gzip, chunked"), Framing),
        (post("transfer-encoding: identity"), Framing),
        (post("transfer-encoding: xchunked"), Framing),
        (
            post("transfer-encoding: chunked\r\ntransfer-encoding: chunked"),
            Framing,
        ),
        (
            post("transfer-encoding: identity\r\ntransfer-encoding: chunked"),
            Framing,
        ),
        (post("transfer-encoding:\x0bchunked"), BadHead),
        (post("transfer-encoding : chunked"), BadHead),
        (post("content-length : 5"), BadHead),
        (post("a: b\r\n transfer-encoding: chunked"), BadHead),
        (post("a: b\rtransfer-encoding: chunked"), BadHead),
        (post("a: \0"), BadHead),
        (post(": b"), BadHead),
        (post("a b: c"), BadHead),
        (post("host: b"), BadHead),
        (get("GET / HTTP/1.1\r\naccept: *"), BadHead),
        (get("GET / HTTP/1.0\r\nhost: a"), Version),
        (get("GET / HTTP/1.2\r\nhost: a"), BadHead),
        (get("PRI * HTTP/2.0"), BadHead),
        (get("GET http://[ HTTP/1.1\r\nhost: a"), BadHead),
        (get("GET  / HTTP/1.1\r\nhost: a"), BadHead),
        (get("GET /\x7f HTTP/1.1\r\nhost: a"), BadHead),
        (get("/ HTTP/1.1\r\nhost: a"), BadHead),
        (get("hello"), BadHead),
        (get("CONNECT a:80 HTTP/1.1\r\nhost: a"), Method),
        (
            get(&format!("GET / HTTP/1.1\r\nhost: a\r\n{many}")),
            HeadTooBig,
        ),
        (
            get(&format!("GET / HTTP/1.1\r\nhost: a\r\na: {long}")),
            HeadTooBig,
        ),
        (get(&format!("GET /{long} HTTP/1.1\r\nhost: a")), HeadTooBig),
        (long.into_bytes(), HeadTooBig),
    ];
    let mut bad_value = get("GET / HTTP/1.1\r\nhost: a\r\na: ??");
    let mut bad_path = get("GET /?? HTTP/1.1\r\nhost: a");
    for bytes in [&mut bad_value, &mut bad_path] {
        for byte in bytes.iter_mut().filter(|b| **b == b'?') {
            *byte = 0xc3;
        }
    }
    cases.push((bad_value, BadHead));
    cases.push((bad_path, BadHead));
    cases
}

#[tokio::test]
async fn verify_bad_heads_are_refused() {
    let running = start(Limits::default(), echo).await;
    for (sent, reason) in cases() {
        let shown = String::from_utf8_lossy(&sent[..sent.len().min(80)]).into_owned();
        let before = running.counters.refused(reason);
        let answer = exchange(running.address, &sent).await;
        let status = format!("HTTP/1.1 {} ", reason.status().as_str());
        assert!(answer.starts_with(&status), "{shown:?}: {answer}");
        let code = format!(r#"{{"error":{{"code":"{}","run":"not_run","#, reason.code());
        assert!(answer.contains(&code), "{shown:?}: {answer}");
        assert_eq!(
            answer.matches("HTTP/1.1 ").count(),
            1,
            "{shown:?}: {answer}"
        );
        let (head, body) = answer.split_once("\r\n\r\n").expect("a whole head");
        let length = format!("\r\ncontent-length: {}\r\n", body.len());
        assert!(head.contains(&length), "{shown:?}: {answer}");
        assert!(
            head.contains("\r\nconnection: close\r\n"),
            "{shown:?}: {answer}"
        );
        assert_eq!(running.counters.refused(reason), before + 1, "{shown:?}");
    }
    // None of the requests ran, and other callers are still served.
    assert_eq!(running.counters.calls(), 0);
    let good = "GET /good HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let answer = exchange(running.address, good.as_bytes()).await;
    assert!(answer.ends_with("GET /good "), "{answer}");
    assert_eq!(running.stop().await, ServeSummary { calls: 1, cut: 0 });
}

#[tokio::test]
async fn verify_bad_chunks_are_refused() {
    let running = start(Limits::default(), echo).await;
    let long = "0".repeat(40_000);
    let bodies = [
        "zz\r\nabc\r\n0\r\n\r\n".to_owned(),
        "-1\r\nabc\r\n0\r\n\r\n".to_owned(),
        "3\r\nabcd\r\n0\r\n\r\n".to_owned(),
        "3\nabc\r\n0\r\n\r\n".to_owned(),
        "fffffffffffffffff\r\nabc\r\n".to_owned(),
        "\r\n\r\n".to_owned(),
        format!("3;{long}\r\nabc\r\n0\r\n\r\n"),
        format!("0\r\na: {long}\r\n\r\n"),
    ];
    for body in bodies {
        let shown = &body[..body.len().min(40)];
        let head = "POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
        let sent = format!("{head}{body}");
        let answer = exchange(running.address, sent.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{shown:?}: {answer}");
        assert!(answer.contains("bad_body"), "{shown:?}: {answer}");
        assert!(answer.contains("connection: close"), "{shown:?}: {answer}");
    }
    assert_eq!(running.counters.refused(Refused::BadBody), 8);
}

#[tokio::test]
async fn verify_big_bodies_are_refused() {
    let limits = Limits {
        body: 100,
        ..Limits::default()
    };
    let running = start(limits, echo).await;
    let chunk = format!("64\r\n{}\r\n", "x".repeat(100));
    let chunked = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        (
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n".to_owned(),
            "413",
        ),
        // Refused before the caller is asked to send the body.
        (
            "POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 101\r\n\r\n"
                .to_owned(),
            "413",
        ),
        (format!("{chunked}{chunk}1\r\ny\r\n0\r\n\r\n"), "413"),
        // Endless, and far more than a socket can buffer.
        (format!("{chunked}{}", chunk.repeat(5_000)), "413"),
        (format!("{chunked}{chunk}0\r\n\r\n"), "200"),
    ];
    for (sent, status) in cases {
        let answer = exchange(running.address, sent.as_bytes()).await;
        let shown = &sent[..sent.len().min(90)];
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{shown:?}: {answer}"
        );
    }
    assert_eq!(running.counters.refused(Refused::BodyTooBig), 4);
}
