// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Raw connections, shared by test files.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Sends bytes on a new connection and reads until the connection is closed.
pub async fn exchange(to: SocketAddr, bytes: &[u8]) -> String {
    let mut io = TcpStream::connect(to).await.expect("a connection");
    io.write_all(bytes).await.expect("bytes sent");
    read_all(&mut io).await
}

/// Reads until the connection is closed.
pub async fn read_all(io: &mut TcpStream) -> String {
    let mut all = Vec::new();
    io.read_to_end(&mut all).await.expect("a proper close");
    String::from_utf8_lossy(&all).into_owned()
}
