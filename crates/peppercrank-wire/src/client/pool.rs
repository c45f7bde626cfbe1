// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Unused connections that are kept for later requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use super::link::Connection;

#[derive(Debug)]
struct IdleConnections {
    by_address: HashMap<SocketAddr, Vec<(Instant, Connection)>>,
    last_sweep: Instant,
}

/// Keeps a limited number of unused connections per address.
#[derive(Debug)]
pub(super) struct Pool {
    keep: Duration,
    spare: AtomicUsize,
    idle: Mutex<IdleConnections>,
}

impl Pool {
    pub(super) fn new(keep: Duration, spare: usize) -> Self {
        let idle = IdleConnections {
            by_address: HashMap::new(),
            last_sweep: Instant::now(),
        };
        Self {
            keep,
            spare: AtomicUsize::new(spare),
            idle: Mutex::new(idle),
        }
    }

    /// Sets the maximum number of unused connections per address.
    pub(super) fn set_spare(&self, spare: usize) {
        self.spare.store(spare, Ordering::Relaxed);
    }

    /// Takes the most recently used connection that is open and not too old.
    pub(super) fn take(&self, to: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock_idle();
        let connections = idle.by_address.get_mut(&to)?;
        while let Some((since, connection)) = connections.pop() {
            if since.elapsed() < self.keep && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose response was read completely.
    pub(super) fn put(&self, to: SocketAddr, connection: Connection) {
        let now = Instant::now();
        let mut idle = self.lock_idle();
        if now.duration_since(idle.last_sweep) > self.keep {
            idle.last_sweep = now;
            sweep(&mut idle.by_address, now, self.keep);
        }
        let connections = idle.by_address.entry(to).or_default();
        if connections.len() < self.spare.load(Ordering::Relaxed) {
            connections.push((now, connection));
        }
    }

    /// Closes the unused connections to an address.
    pub(super) fn close(&self, to: SocketAddr) {
        drop(self.lock_idle().by_address.remove(&to));
    }

    /// Closes all unused connections.
    pub(super) fn close_all(&self) {
        self.lock_idle().by_address.clear();
    }

    /// Returns the number of unused connections that are open.
    pub(super) fn open_connections(&self) -> usize {
        let idle = self.lock_idle();
        let connections = idle.by_address.values().flatten();
        connections
            .filter(|(_, connection)| !connection.sender.is_closed())
            .count()
    }

    fn lock_idle(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes expired connections, so that addresses that are no longer used take no memory.
fn sweep(
    connections: &mut HashMap<SocketAddr, Vec<(Instant, Connection)>>,
    now: Instant,
    keep: Duration,
) {
    for list in connections.values_mut() {
        list.retain(|(since, connection)| {
            now.duration_since(*since) < keep && !connection.sender.is_closed()
        });
    }
    connections.retain(|_, list| !list.is_empty());
}
