// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The log lines of a request and its attempts.

use std::time::Duration;

use http::StatusCode;
use peppercrank_core::events::Event;
use peppercrank_log::Field;

use crate::flight::Flight;
use crate::serve::ActiveRequest;

impl ActiveRequest {
    /// Logs that a target's failure is forwarded.
    pub(crate) fn log_forwarded_failure(&self, status: StatusCode) {
        let fields = [
            ("request", Field::Text(&self.job.id)),
            ("route", Field::Text(&self.job.route)),
            ("status", Field::Number(u64::from(status.as_u16()))),
            ("attempts", Field::Number(u64::from(self.plan.sends()))),
            ("version", Field::Number(self.job.config_version)),
            ("held_ms", Field::Millis(self.elapsed())),
        ];
        self.gateway.log.write(Event::Answered, &fields);
    }

    /// Counts and logs an attempt that produced no usable answer.
    pub fn log_failed_attempt(&self, flight: &Flight, cause: &'static str) {
        self.gateway.metrics.count_failed_attempt(cause);
        let content = self.job.fingerprint().to_string();
        let parts = self.job.part_names();
        let now = self.gateway.now();
        let (retries, routers) = self.gateway.state().retry_counts(now, &self.job.pool);
        let fields = [
            ("request", Field::Text(&self.job.id)),
            ("content", Field::Text(&content)),
            ("parts", Field::Text(&parts)),
            ("attempt", Field::Number(u64::from(self.plan.sends()))),
            ("target", Field::Text(&flight.instance)),
            ("software", Field::Text(&flight.version)),
            ("what", Field::Text(cause)),
            ("framing", Field::Text(flight.framing_name())),
            ("leaving", Field::Number(u64::from(flight.notice.leaving))),
            (
                "pause_ms",
                Field::Millis(flight.notice.pause.unwrap_or_default()),
            ),
            (
                "predicted_ms",
                Field::Number(whole_millis(flight.in_flight.choice.predicted_first_ms)),
            ),
            ("retries", Field::Number(retries as u64)),
            ("routers", Field::Number(routers as u64)),
            ("held_ms", Field::Millis(self.elapsed())),
        ];
        self.gateway.log.write(Event::AttemptFailed, &fields);
    }

    /// Logs an answer that was forwarded completely. `first_part_after` is the time to its first
    /// part.
    pub fn log_answered(&self, flight: &Flight, status: StatusCode, first_part_after: Duration) {
        let fields = [
            ("request", Field::Text(&self.job.id)),
            ("route", Field::Text(&self.job.route)),
            ("target", Field::Text(&flight.instance)),
            ("software", Field::Text(&flight.version)),
            ("resumes", Field::Text(self.job.origin_id())),
            ("status", Field::Number(u64::from(status.as_u16()))),
            ("attempts", Field::Number(u64::from(self.plan.sends()) + 1)),
            ("version", Field::Number(self.job.config_version)),
            (
                "reading",
                Field::Number(flight.in_flight.choice.prefill_tokens),
            ),
            (
                "copy",
                Field::Number(flight.in_flight.choice.copy.map_or(0, |(_, tokens)| tokens)),
            ),
            (
                "unknown",
                Field::Number(u64::from(flight.in_flight.choice.holder_unknown)),
            ),
            (
                "home",
                Field::Number(u64::from(flight.in_flight.choice.is_home)),
            ),
            (
                "predicted_ms",
                Field::Number(whole_millis(flight.in_flight.choice.predicted_first_ms)),
            ),
            ("leaving", Field::Number(u64::from(flight.notice.leaving))),
            ("framing", Field::Text(flight.framing_name())),
            (
                "inside_event",
                Field::Number(u64::from(!flight.boundary.is_between_events())),
            ),
            ("first_ms", Field::Millis(first_part_after)),
            ("held_ms", Field::Millis(self.elapsed())),
        ];
        let slowdown = flight.slowdown_fields();
        let placement = flight.placement_fields();
        let fields = [&fields[..], &placement[..], slowdown.as_slice()].concat();
        self.gateway.log.write(Event::Answered, &fields);
    }
}

/// Converts a prediction to whole milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a prediction is not negative, and a log line needs no more"
)]
fn whole_millis(millis: f64) -> u64 {
    millis as u64
}
