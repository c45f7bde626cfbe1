// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Connections that wait for their next request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use super::link::Link;

#[derive(Debug)]
struct Kept {
    links: HashMap<SocketAddr, Vec<(Instant, Link)>>,
    swept: Instant,
}

/// `Pool` keeps a few unused connections for each address.
#[derive(Debug)]
pub(super) struct Pool {
    keep: Duration,
    spare: AtomicUsize,
    kept: Mutex<Kept>,
}

impl Pool {
    pub(super) fn new(keep: Duration, spare: usize) -> Self {
        let kept = Kept {
            links: HashMap::new(),
            swept: Instant::now(),
        };
        Self {
            keep,
            spare: AtomicUsize::new(spare),
            kept: Mutex::new(kept),
        }
    }

    /// Keeps at most so many for each address from now on.
    pub(super) fn set_spare(&self, spare: usize) {
        self.spare.store(spare, Ordering::Relaxed);
    }

    /// Takes the connection that was used last, if one is young enough.
    pub(super) fn take(&self, to: SocketAddr) -> Option<Link> {
        let mut kept = self.kept();
        let links = kept.links.get_mut(&to)?;
        while let Some((since, link)) = links.pop() {
            if since.elapsed() < self.keep && !link.sender.is_closed() {
                return Some(link);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
    pub(super) fn put(&self, to: SocketAddr, link: Link) {
        let now = Instant::now();
        let mut kept = self.kept();
        if now.duration_since(kept.swept) > self.keep {
            kept.swept = now;
            sweep(&mut kept.links, now, self.keep);
        }
        let links = kept.links.entry(to).or_default();
        if links.len() < self.spare.load(Ordering::Relaxed) {
            links.push((now, link));
        }
    }

    /// Closes the connections to an address.
    pub(super) fn close(&self, to: SocketAddr) {
        drop(self.kept().links.remove(&to));
    }

    /// Closes all connections.
    pub(super) fn close_all(&self) {
        self.kept().links.clear();
    }

    /// How many of the kept connections are open.
    pub(super) fn open(&self) -> usize {
        let kept = self.kept();
        let links = kept.links.values().flatten();
        links.filter(|(_, link)| !link.sender.is_closed()).count()
    }

    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes what nobody took, so that addresses which are gone leave nothing behind.
fn sweep(links: &mut HashMap<SocketAddr, Vec<(Instant, Link)>>, now: Instant, keep: Duration) {
    for list in links.values_mut() {
        list.retain(|(since, link)| now.duration_since(*since) < keep && !link.sender.is_closed());
    }
    links.retain(|_, list| !list.is_empty());
}
