// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Adapters for sockets and clocks: HTTP servers and clients, the platform API client, control
//! calls and gossip datagrams.
//!
//! All code of the fleet that reads a clock or opens a socket is in this crate; the decision logic
//! is in crates without input or output.
//!
//! # Examples
//!
//! A server that returns a greeting, and a client that calls it:
//!
//! ```
//! use http_body_util::BodyExt;
//! use peppercrank_wire::body;
//! use peppercrank_wire::client::Client;
//! use peppercrank_wire::client::Reuse;
//! use peppercrank_wire::client::ClientConfig;
//! use peppercrank_wire::edge::Edge;
//! use peppercrank_wire::edge::Limits;
//! use peppercrank_wire::edge::Reply;
//! use peppercrank_wire::stop::stop;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let edge = Edge::bind("127.0.0.1:0".parse()?).await?;
//! let address = edge.local_addr();
//! let (stopper, stop) = stop();
//! let greet = |_call| async { Reply::new(body::full("hello")) };
//! let served = tokio::spawn(edge.serve(Limits::default(), stop, greet));
//!
//! let client = Client::new(ClientConfig::default());
//! let request = http::Request::get("/").body(body::empty())?;
//! let response = client.send(address, request, Reuse::Allowed).await?;
//! let body = response.into_body().collect().await?;
//! assert_eq!(body.to_bytes(), "hello");
//!
//! drop(client);
//! stopper.stop();
//! assert_eq!(served.await?.cut, 0);
//! # Ok(())
//! # }
//! ```

pub mod body;
pub mod buffer;
pub mod client;
pub mod clock;
pub mod control;
pub mod datagram;
pub mod edge;
pub mod errors;
pub mod headers;
pub mod pages;
pub mod platform;
pub mod seal;
pub mod stop;
pub mod traffic;

pub use errors::Error;
pub use errors::Result;
