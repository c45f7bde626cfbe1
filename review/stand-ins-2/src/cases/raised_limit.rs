//! DENIED: a desired state raises `maxBodyBytes`. On channels opened before, gateways still refuse
//! bodies that it allows.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::fleet::next_id;
use crate::fleet::request;
use crate::fleet::Desired;
use crate::fleet::Fleet;
use crate::fleet::KEY;
use crate::http::Connection;

const CONSUMERS: usize = 40;

/// Body that only the new desired state allows, in bytes.
const LONG_BODY: usize = 96 * 1_024;

/// `maxBodyBytes` of the first desired state.
const FIRST_LIMIT: u64 = 64 * 1_024;

pub fn play(out: &Path, trouble: bool) -> io::Result<bool> {
    let desired = Desired {
        max_body_bytes: if trouble {
            FIRST_LIMIT
        } else {
            4 * FIRST_LIMIT
        },
        ..Desired::default()
    };
    let fleet = Fleet::start(out, 2, 1, 8, &desired)?;
    let record = &fleet.record;
    thread::sleep(Duration::from_secs(1));
    let listen = |i: usize| fleet.gateways[i % fleet.gateways.len()].listen;
    let opened = (0..CONSUMERS).map(|i| Connection::open(listen(i), Duration::from_secs(3)));
    let mut connections = opened.collect::<io::Result<Vec<_>>>()?;
    let mut sent = 0;
    let mut denied = 0;
    for connection in &mut connections {
        sent += 1;
        let head = request("POST", "/once/a", &next_id(), KEY, 1_500, 0);
        let status = connection.call(&head, b"")?.status();
        record.line(&format!("a short request on a new channel: {status}"));
    }
    let raised = Desired {
        version: 9,
        max_body_bytes: 4 * FIRST_LIMIT,
        ..Desired::default()
    };
    fleet.store.put("config", "main", &raised.json());
    record.line(&format!(
        "ack: version 9, maxBodyBytes {}",
        raised.max_body_bytes
    ));
    // Three times `configApplyMs`, less than the idle timeout.
    thread::sleep(Duration::from_secs(6));
    let body = chunked(LONG_BODY);
    for connection in &mut connections {
        sent += 1;
        let id = next_id();
        let status = connection
            .call(&chunked_request(&id), &body)
            .map(|a| a.status());
        record.line(&format!(
            "a body of {LONG_BODY} bytes on the kept channel, id={id}: {status:?}"
        ));
        denied += u32::from(matches!(status, Ok(300..=499)));
    }
    for i in 0..CONSUMERS {
        sent += 1;
        let mut connection = Connection::open(listen(i), Duration::from_secs(3))?;
        let status = connection
            .call(&chunked_request(&next_id()), &body)?
            .status();
        record.line(&format!("the same on a new channel: {status}"));
        denied += u32::from((300..=499).contains(&status));
    }
    let allowed = 5 + sent / 500;
    let text =
        format!("{denied} of {sent} proper requests were ended with a 4xx; {allowed} may be");
    record.line(&text);
    println!("{text}");
    Ok(denied > allowed)
}

/// A request whose body is sent in chunks.
fn chunked_request(id: &str) -> String {
    let head = request("POST", "/once/a", id, KEY, 1_500, 0);
    head.replace("Content-Length: 0", "Transfer-Encoding: chunked")
}

/// A body of this many bytes in chunks of 16 KiB.
fn chunked(len: usize) -> Vec<u8> {
    let part = 16 * 1_024;
    let chunk = format!("{part:x}\r\n{}\r\n", "x".repeat(part));
    let mut bytes = chunk.repeat(len / part).into_bytes();
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}
