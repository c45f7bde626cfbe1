// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The encoded size of messages, reckoned without encoding them.
//!
//! The wire's codec writes integers as base-128 varints, enum tags and lengths likewise, and
//! fixed arrays plainly. The tests hold these sums against the codec itself.

use std::net::SocketAddr;

use crate::description::Description;
use crate::description::Role;
use crate::message::Addressee;
use crate::message::Body;
use crate::message::Claim;
use crate::message::Incarnation;
use crate::message::Message;
use crate::message::News;
use crate::message::Record;
use crate::message::Sample;

/// An id in a message.
const ID: usize = 8;

/// An enum's tag, a flag or an `Option`'s mark.
const TAG: usize = 1;

/// `varint` is the size of an integer.
#[must_use]
pub const fn varint(value: u64) -> usize {
    let bits = 64 - value.leading_zeros() as usize;
    if bits == 0 { 1 } else { bits.div_ceil(7) }
}

/// `bytes` is the size of a text or byte string of this length.
#[must_use]
pub const fn bytes(length: usize) -> usize {
    varint(length as u64) + length
}

fn address(address: SocketAddr) -> usize {
    let ip = if address.is_ipv4() { 4 } else { 16 };
    TAG + ip + varint(u64::from(address.port()))
}

fn incarnation(incarnation: Incarnation) -> usize {
    varint(incarnation.boot) + varint(u64::from(incarnation.turn))
}

/// `claim` is the size of a claim.
#[must_use]
pub fn claim(claim: &Claim) -> usize {
    ID + incarnation(claim.incarnation) + TAG + TAG + 4
}

/// `description` is the size of a description.
#[must_use]
pub fn description(it: &Description) -> usize {
    let role = match &it.role {
        Role::Router => 0,
        Role::Agent(agent) => {
            bytes(agent.target.as_str().len())
                + bytes(agent.pool.as_str().len())
                + address(agent.address)
                + varint(u64::from(agent.weight))
        }
    };
    let names = bytes(it.vm.as_str().len()) + bytes(it.zone.as_str().len());
    names + address(it.gossip) + address(it.control) + TAG + role
}

/// `record` is the size of a record.
#[must_use]
pub fn record(record: &Record) -> usize {
    incarnation(record.incarnation) + TAG + TAG + description(&record.description)
}

/// `news` is the size of a piece of news.
#[must_use]
pub fn news(news: &News) -> usize {
    match news {
        News::Claim(it) => TAG + claim(it),
        News::Accusation { claim: it, .. } => TAG + claim(it) + ID,
    }
}

/// `sample` is the size of a load report.
#[must_use]
pub const fn sample(sample: &Sample) -> usize {
    ID + varint(sample.boot) + varint(sample.cost) + 1
}

fn addressee(to: &Addressee) -> usize {
    let held = to.held.map_or(0, |(it, _)| incarnation(it) + TAG);
    ID + TAG + held
}

fn list<T>(items: &[T], size: impl Fn(&T) -> usize) -> usize {
    varint(items.len() as u64) + items.iter().map(size).sum::<usize>()
}

fn body(body: &Body) -> usize {
    let fields = match body {
        Body::Probe { seq, .. } => varint(u64::from(*seq)) + TAG,
        Body::Compare { digests } => list(digests, |_| 4),
        Body::Differ { buckets, claims } => bytes(buckets.len()) + list(claims, claim),
        Body::ProbeFor { seq, .. } => varint(u64::from(*seq)) + ID,
        Body::Ack { seq } | Body::Vouch { seq } | Body::Silent { seq } => varint(u64::from(*seq)),
        Body::Pull { .. } => ID,
        Body::Page { next, .. } => ID + TAG + next.map_or(0, |_| ID),
        Body::Ask { ids } => list(ids, |_| ID),
        Body::Gossip | Body::Refused => 0,
        Body::Relay(piece) => bytes(piece.len()),
    };
    TAG + fields
}

/// `message` is the size of a whole message.
#[must_use]
pub fn message(it: &Message) -> usize {
    claim(&it.from)
        + addressee(&it.to)
        + body(&it.body)
        + list(&it.news, news)
        + list(&it.records, record)
        + list(&it.loads, sample)
        + bytes(it.digest.len())
        + list(&it.rumours, |r| bytes(r.len()))
}
