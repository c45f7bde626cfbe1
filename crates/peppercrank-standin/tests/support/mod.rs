// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A raw HTTP client and a runtime for tests of the stand-ins.

#![expect(dead_code, reason = "each test file uses only some of these")]

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tokio::runtime::Runtime;
use ureq::Agent;
use ureq::http::HeaderMap;
use ureq::http::Request;
use ureq::http::Response;

/// Long enough for a busy machine; only a failing test waits this long.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// How long a caller waits if no response is expected.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

pub type SendResult = Result<Received, ureq::Error>;

/// A response with its complete body.
#[derive(Debug)]
pub struct Received {
    pub status: u16,
    pub id: String,
    pub retry_after: Option<String>,
    pub text: String,
    pub headers: HeaderMap,
}

impl Received {
    /// Returns the value of a header, empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |v| v.to_str().expect("a text"))
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).expect("a JSON answer")
    }
}

pub fn runtime() -> Runtime {
    Runtime::new().expect("a runtime")
}

fn agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        // On a reused connection that was closed, the client would silently retry the request.
        .max_idle_connections(0)
        .timeout_global(Some(timeout));
    Agent::new_with_config(config.build())
}

fn request(at: SocketAddr, call: &str, headers: &[(&str, &str)], body: &str) -> Request<String> {
    let (method, path) = call.split_once(' ').expect("a method and a path");
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{at}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(body.to_owned()).expect("a request")
}

/// Sends `METHOD /path` and reads the complete response.
pub fn send(at: SocketAddr, call: &str, headers: &[(&str, &str)], body: &str) -> SendResult {
    read_response(agent(RESPONSE_TIMEOUT).run(request(at, call, headers, body))?)
}

/// Sends a request that is expected to get no response, with a short timeout.
pub fn send_with_short_timeout(
    at: SocketAddr,
    call: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> SendResult {
    read_response(agent(SHORT_TIMEOUT).run(request(at, call, headers, body))?)
}

fn read_response(mut answer: Response<ureq::Body>) -> SendResult {
    let text_of = |answer: &Response<ureq::Body>, name: &str| {
        let value = answer.headers().get(name)?;
        Some(value.to_str().expect("a text").to_owned())
    };
    Ok(Received {
        status: answer.status().as_u16(),
        id: text_of(&answer, "x-request-id").unwrap_or_default(),
        retry_after: text_of(&answer, "retry-after"),
        headers: answer.headers().clone(),
        text: answer.body_mut().read_to_string()?,
    })
}

/// The events received of a streamed answer.
#[derive(Debug, PartialEq, Eq)]
pub struct StreamedAnswer {
    pub events: Vec<Value>,
    /// Whether the end marker was received.
    pub complete: bool,
}

impl StreamedAnswer {
    pub fn text(&self) -> String {
        let pieces = self.events.iter();
        pieces
            .filter_map(|e| e["choices"][0]["delta"]["content"].as_str())
            .collect()
    }
}

/// Sends a request and reads events until the answer ends or the connection breaks.
pub fn stream(at: SocketAddr, call: &str, headers: &[(&str, &str)], body: &str) -> StreamedAnswer {
    stream_with(at, call, headers, body, |_| {})
}

/// Like [`stream`], but calls `on_event` with the number of events received after each.
pub fn stream_with(
    at: SocketAddr,
    call: &str,
    headers: &[(&str, &str)],
    body: &str,
    mut on_event: impl FnMut(usize),
) -> StreamedAnswer {
    let answer = agent(RESPONSE_TIMEOUT).run(request(at, call, headers, body));
    let answer = answer.expect("a head");
    assert_eq!(answer.status(), 200, "a stream");
    let mut events = Vec::new();
    for line in BufReader::new(answer.into_body().into_reader()).lines() {
        let Ok(line) = line else { break };
        match line.strip_prefix("data: ") {
            Some("[DONE]") => {
                return StreamedAnswer {
                    events,
                    complete: true,
                };
            }
            Some(event) => {
                events.push(serde_json::from_str(event).expect("an event"));
                on_event(events.len());
            }
            None => {}
        }
    }
    StreamedAnswer {
        events,
        complete: false,
    }
}

pub fn set_faults(at: SocketAddr, faults: &Value) {
    let response = send(at, "PUT /faults", &[], &faults.to_string()).expect("an answer");
    assert_eq!(response.status, 200, "{}", response.text);
}

pub fn run_counts(at: SocketAddr, id: &str) -> Value {
    let response = send(at, &format!("GET /runs/{id}"), &[], "").expect("an answer");
    response.json()["runs"].clone()
}

/// Returns the number of chats or calls that a target is processing.
pub fn running(at: SocketAddr) -> Value {
    let response = send(at, "GET /load", &[], "").expect("an answer");
    response.json()["running"].clone()
}

/// Calls `ask` until it returns `expected` or the time is up, and returns the last result.
pub fn poll_until<T: PartialEq>(expected: &T, ask: impl Fn() -> T) -> T {
    let started = Instant::now();
    loop {
        let latest = ask();
        if latest == *expected || started.elapsed() > RESPONSE_TIMEOUT {
            return latest;
        }
    }
}

/// Returns a chat body with these messages, alternately from the user and the assistant.
pub fn chat(stream: bool, messages: &[&str]) -> String {
    let roles = ["user", "assistant"];
    let messages: Vec<Value> = messages
        .iter()
        .zip(roles.iter().cycle())
        .map(|(text, role)| json!({"role": role, "content": text}))
        .collect();
    json!({"model": "m", "stream": stream, "max_tokens": 6, "messages": messages}).to_string()
}
