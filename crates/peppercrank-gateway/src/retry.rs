// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A retry that was taken from the fleet's budget.

use std::sync::Arc;

use peppercrank_core::time::Instant;
use peppercrank_direct::retries::ExecutionState;
use peppercrank_direct::retries::RetryEnd;

use crate::attempt::AttemptError;
use crate::attempt::CrashEvidence;
use crate::attempt::TargetAnswer;
use crate::gateway::Gateway;

/// A retry taken from the fleet's budget; when dropped, its attempt has ended.
#[derive(Debug)]
pub struct RetryGuard {
    gateway: Arc<Gateway>,
    pool: Arc<str>,
    spent_at: Instant,
    end: RetryEnd,
}

impl RetryGuard {
    /// Takes a retry from the budget; returns `None` if none is left.
    #[must_use]
    pub fn take(gateway: &Arc<Gateway>, pool: &Arc<str>) -> Option<Self> {
        let now = gateway.now();
        let allowed = gateway.state().spend_retry(now, pool);
        gateway.metrics.count_retry(allowed);
        allowed.then(|| Self {
            gateway: Arc::clone(gateway),
            pool: Arc::clone(pool),
            spent_at: now,
            end: RetryEnd::Settled,
        })
    }

    /// Records that the attempt begins, and is abandoned unless its result is recorded.
    const fn begin(&mut self) {
        self.end = RetryEnd::Abandoned;
    }

    /// Records the result of the attempt.
    const fn record(&mut self, result: Result<&TargetAnswer, &AttemptError>) {
        self.end = match result {
            Ok(_) => RetryEnd::Settled,
            Err(error) => end_of(error),
        };
    }
}

/// Makes an attempt, with the retry that was taken for it if there is one.
///
/// # Errors
///
/// Returns the error of the attempt.
pub async fn track(
    mut retry: Option<&mut RetryGuard>,
    attempt: impl Future<Output = Result<TargetAnswer, AttemptError>>,
) -> Result<TargetAnswer, AttemptError> {
    if let Some(retry) = retry.as_deref_mut() {
        retry.begin();
    }
    let result = attempt.await;
    if let Some(retry) = retry {
        retry.record(result.as_ref());
    }
    result
}

/// Returns whether a failed attempt may still reach its target.
const fn end_of(error: &AttemptError) -> RetryEnd {
    match (error.execution, error.crash_evidence) {
        (ExecutionState::Unknown, CrashEvidence::ConnectionLost)
        | (
            ExecutionState::NotSent
            | ExecutionState::NotRun
            | ExecutionState::Failed
            | ExecutionState::Ended,
            _,
        ) => RetryEnd::Settled,
        (ExecutionState::Unknown, CrashEvidence::None | CrashEvidence::TargetRestarted) => {
            RetryEnd::Abandoned
        }
    }
}

impl Drop for RetryGuard {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        state
            .retry_budget
            .record_end(now, &self.pool, self.spent_at, self.end);
    }
}
