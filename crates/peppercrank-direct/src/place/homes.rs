// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Where the shared part of a prompt is held, or assumed to be held.

use peppercrank_core::hash::hash64;

use crate::directory::TargetKey;
use crate::origins::SoftwareVersion;

use super::Candidate;
use super::Holder;
use super::PlacementRequest;

/// Seed of the rendezvous hash.
const HOME_SEED: u64 = 0x686f_6d65;

/// Returns the rank of a target for `home_hash`. The target with the highest rank is the home.
#[must_use]
pub fn rendezvous_rank(home_hash: u64, placement_id: u32) -> u64 {
    hash64(HOME_SEED ^ home_hash, &placement_id.to_le_bytes())
}

/// Returns the home of a request; `None` without candidates.
pub(super) fn home<'a>(
    request: &PlacementRequest,
    candidates: &'a [Candidate],
) -> Option<&'a Candidate> {
    candidates
        .iter()
        .max_by_key(|c| rendezvous_rank(request.home_hash, c.placement_id))
}

/// A target from which a cached prompt may be copied to others of its software version.
#[derive(Debug, Clone, Copy)]
pub(super) struct Source {
    pub(super) key: TargetKey,
    pub(super) version: SoftwareVersion,
    /// Whether it may be down, so that nothing is copied from it.
    pub(super) is_doubtful: bool,
}

impl Source {
    pub(super) fn of(candidate: &Candidate) -> Self {
        Self {
            key: candidate.key,
            version: candidate.version,
            is_doubtful: candidate.stats.is_doubtful_source(),
        }
    }

    const fn of_holder(holder: &Holder) -> Self {
        Self {
            key: holder.key,
            version: holder.version,
            is_doubtful: false,
        }
    }
}

/// Where the shared part of the prompt is held.
#[derive(Debug, Clone, Copy)]
pub(super) enum PrefixSource {
    /// This target is known to hold all of it.
    Known(Source),
    /// No target is known to hold all of it, so the home is assumed to hold it, or to copy it from
    /// the previous home.
    Home {
        /// The target that was the home before; `None` if the home has not changed.
        previous: Option<Source>,
        /// The target that is known to hold most of the leading tokens, and how many.
        partial: Option<(Source, u64)>,
    },
}

/// Returns where the shared part of a request's prompt is held.
pub(super) fn prefix_source(
    request: &PlacementRequest,
    candidates: &[Candidate],
    holders: &[Holder],
) -> PrefixSource {
    let known = candidates.iter().map(|c| (c.held_tokens, Source::of(c)));
    let sources = holders.iter().filter(|h| h.copyable);
    let known = known.chain(sources.map(|h| (h.held_tokens, Source::of_holder(h))));
    let most = known
        .filter(|(_, source)| !source.is_doubtful)
        .max_by_key(|(held, _)| *held);
    match most {
        Some((held, source)) if held >= request.shared_tokens => PrefixSource::Known(source),
        _ => PrefixSource::Home {
            previous: previous_home(request, candidates, holders),
            partial: most
                .filter(|(held, _)| *held > 0)
                .map(|(held, source)| (source, held)),
        },
    }
}

/// Returns the target that was the home until another target joined and became the home, or until
/// it was itself marked as leaving; `None` if the home has not changed.
fn previous_home(
    request: &PlacementRequest,
    candidates: &[Candidate],
    holders: &[Holder],
) -> Option<Source> {
    let settled = candidates.iter().filter(|c| !c.recently_joined);
    let settled = settled.map(|c| (c.placement_id, Source::of(c)));
    let departing = holders.iter().filter(|h| h.copyable);
    let departing = departing.map(|h| (h.placement_id, Source::of_holder(h)));
    let previous = settled
        .chain(departing)
        .max_by_key(|(n, _)| rendezvous_rank(request.home_hash, *n));
    let previous = previous.map(|(_, source)| source);
    previous.filter(|source| home(request, candidates).is_none_or(|home| source.key != home.key))
}
