// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that the operators' endpoints return the data of their sources and refuse all other
//! requests.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;

use peppercrank_wire::pages::Page;
use peppercrank_wire::pages::Pages;
use peppercrank_wire::pages::PagesServer;
use peppercrank_wire::seal::BearerTokens;

fn start() -> PagesServer {
    let pages = Pages {
        metrics: Box::new(|| Page::metrics("up 1\n# EOF\n".to_owned())),
        healthz: Box::new(|| panic!("a fault of the page's source")),
        readyz: Box::new(|| Page::text(503, "starting\n")),
        status: Box::new(|| Page::json(200, "{}".to_owned())),
        objects: Box::new(|rest| Page::json(200, format!("\"{rest}\""))),
        tokens: Some(BearerTokens::new(["token-1"])),
    };
    let served = pages.serve((Ipv4Addr::LOCALHOST, 0).into(), 2);
    served.expect("a free port")
}

fn ask(to: SocketAddr, request: &str) -> String {
    let mut io = TcpStream::connect(to).expect("a connection");
    let text = format!("{request}host: a\r\nconnection: close\r\n\r\n");
    io.write_all(text.as_bytes()).expect("sent");
    let mut answer = String::new();
    io.read_to_string(&mut answer).expect("a proper close");
    answer
}

#[test]
fn verify_pages() {
    let serving = start();
    let to = serving.local_addr();
    let cases = [
        ("GET /metrics HTTP/1.1\r\n", "200", "up 1"),
        ("GET /healthz HTTP/1.1\r\n", "500", "could not be made"),
        ("GET /readyz HTTP/1.1\r\n", "503", "starting"),
        ("GET /status HTTP/1.1\r\n", "401", "Bearer"),
        (
            "GET /status HTTP/1.1\r\nauthorization: Bearer token-2\r\n",
            "401",
            "Bearer",
        ),
        (
            "GET /status HTTP/1.1\r\nauthorization: Bearer token-1\r\n",
            "200",
            "{}",
        ),
        ("GET /objects/pool/a HTTP/1.1\r\n", "401", "Bearer"),
        (
            "GET /objects/pool/a HTTP/1.1\r\nauthorization: Bearer token-1\r\n",
            "200",
            "\"pool/a\"",
        ),
        ("GET /other HTTP/1.1\r\n", "404", "no such page"),
        ("GET /status/../metrics HTTP/1.1\r\n", "404", "no such page"),
        ("POST /metrics HTTP/1.1\r\n", "405", "GET, HEAD"),
    ];
    for (request, status, part) in cases {
        let answer = ask(to, request);
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{request}{answer}"
        );
        assert!(answer.contains(part), "{request}{answer}");
    }
    drop(serving);
    // The accepting thread closes the port a little later, at the latest when it accepts this
    // connection.
    while TcpStream::connect(to).is_ok() {}
}
