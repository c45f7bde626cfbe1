// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Requests and bodies, shared by test files.

use http::Request;
use http_body_util::BodyExt;
use peppercrank_wire::body;
use peppercrank_wire::body::Body;

/// Returns a request without a body.
pub fn get(path: &str) -> Request<Body> {
    let request = Request::get(path).body(body::empty());
    request.expect("a good path")
}

/// Reads a body as text.
pub async fn text<B>(body: B) -> Result<String, B::Error>
where
    B: hyper::body::Body,
{
    let bytes = body.collect().await?.to_bytes();
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
