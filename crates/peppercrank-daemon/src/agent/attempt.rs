// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What an agent reads of a router's attempt.

use std::time::Duration;

use http::HeaderMap;
use peppercrank_admit::Arrival;
use peppercrank_admit::Ticket;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_core::keys::RequestId;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::names::PoolName;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;
use peppercrank_route::Ask;

use crate::errors;
use crate::errors::Result;
use crate::headers;

/// `Allow` is what a router leaves to the agent's choice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Allow {
    /// The request may wait here: the router has no other target to try.
    pub wait: bool,
    /// The agent may point to the target that holds the context.
    pub redirect: bool,
}

impl Allow {
    /// `text` is the header's value.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match (self.wait, self.redirect) {
            (true, true) => "wait,redirect",
            (true, false) => "wait",
            (false, true) => "redirect",
            (false, false) => "none",
        }
    }

    /// `read` reads the header's value; what it does not name is not allowed.
    #[must_use]
    pub fn read(text: &str) -> Self {
        let names = |word| text.split(',').any(|w| w.trim() == word);
        Self {
            wait: names("wait"),
            redirect: names("redirect"),
        }
    }
}

/// `Attempt` is one try of a request, as its router describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The attempt's id.
    pub id: AttemptId,
    /// The request's id.
    pub request: RequestId,
    /// Whose request it is.
    pub organisation: OrganisationName,
    /// The pool that it is for.
    pub pool: PoolName,
    /// The chat, for an engine.
    pub chat: Option<ChatKey>,
    /// The prefix, for an engine.
    pub prefix: Option<PrefixKey>,
    /// Whether the chat was answered before.
    pub returning: bool,
    /// The expected cost.
    pub cost: Cost,
    /// The expected cost where the chat's context is still held.
    pub held: Cost,
    /// The part of the cost that is the answer's.
    pub output: Cost,
    /// The priority.
    pub priority: u8,
    /// The time left.
    pub left: Duration,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Whether another target was asked first.
    pub spilled: bool,
    /// What the router leaves to the agent.
    pub allow: Allow,
}

impl Attempt {
    /// `read` reads the headers of an attempt.
    ///
    /// # Errors
    ///
    /// Returns [`errors::Error::Request`] when one that is needed is missing or malformed.
    pub fn read(from: &HeaderMap) -> Result<Self> {
        let malformed = || errors::request("attempt_malformed");
        let id = headers::parsed(from, &headers::ATTEMPT).ok_or_else(malformed)?;
        let request = headers::parsed(from, &headers::REQUEST).ok_or_else(malformed)?;
        let organisation = headers::parsed(from, &headers::ORGANISATION).ok_or_else(malformed)?;
        let pool = headers::parsed(from, &headers::POOL).ok_or_else(malformed)?;
        let cost = headers::parsed(from, &headers::COST).ok_or_else(malformed)?;
        let priority = headers::parsed(from, &headers::PRIORITY).ok_or_else(malformed)?;
        let left = headers::parsed(from, &headers::DEADLINE).ok_or_else(malformed)?;
        let repeatable = headers::text(from, &headers::REPEATABLE).ok_or_else(malformed)?;
        let allow = headers::text(from, &headers::ALLOW).unwrap_or("none");
        Ok(Self {
            id,
            request,
            organisation,
            pool,
            chat: headers::parsed(from, &headers::CHAT),
            prefix: headers::parsed(from, &headers::PREFIX),
            returning: headers::text(from, &headers::RETURNING) == Some("yes"),
            cost: Cost(cost),
            held: Cost(headers::parsed(from, &headers::HELD).unwrap_or(cost)),
            output: Cost(headers::parsed(from, &headers::OUTPUT).unwrap_or(cost)),
            priority,
            left: Duration::from_millis(left),
            repeatable: repeatable == "yes",
            spilled: headers::text(from, &headers::SPILLED) == Some("yes"),
            allow: Allow::read(allow),
        })
    }

    /// `write` writes the attempt's headers.
    pub fn write(&self, to: &mut HeaderMap) {
        headers::put(to, headers::ATTEMPT, &self.id.to_string());
        headers::put(to, headers::REQUEST, &self.request.to_string());
        headers::put(to, headers::ORGANISATION, self.organisation.as_str());
        headers::put(to, headers::POOL, self.pool.as_str());
        headers::put(to, headers::COST, &self.cost.0.to_string());
        headers::put(to, headers::OUTPUT, &self.output.0.to_string());
        headers::put(to, headers::HELD, &self.held.0.to_string());
        headers::put(
            to,
            headers::RETURNING,
            if self.returning { "yes" } else { "no" },
        );
        headers::put(to, headers::PRIORITY, &self.priority.to_string());
        headers::put(to, headers::DEADLINE, &self.left.as_millis().to_string());
        headers::put(
            to,
            headers::REPEATABLE,
            if self.repeatable { "yes" } else { "no" },
        );
        let spilled = if self.spilled { "yes" } else { "no" };
        headers::put(to, headers::SPILLED, spilled);
        headers::put(to, headers::ALLOW, self.allow.text());
        if let Some(chat) = self.chat {
            headers::put(to, headers::CHAT, &chat.to_string());
        }
        if let Some(prefix) = self.prefix {
            headers::put(to, headers::PREFIX, &prefix.to_string());
        }
    }

    /// `ask` is what the pointer table is to know; nothing for a plain service.
    #[must_use]
    pub fn ask(&self) -> Option<Ask> {
        Some(Ask {
            chat: self.chat?,
            prefix: self.prefix,
            returning: self.returning,
            redirect: self.allow.redirect,
        })
    }

    /// `arrival` is the attempt as the admission takes it, at its cost here.
    #[must_use]
    pub fn arrival(&self, now: Instant, ticket: Ticket, cost: Cost) -> Arrival {
        Arrival {
            ticket,
            attempt: self.id,
            organisation: self.organisation.clone(),
            cost,
            priority: self.priority,
            deadline: now + self.left,
            need: Duration::ZERO,
            may_wait: self.allow.wait,
        }
    }
}
