// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Scenes that are played.

use std::time::Duration;

use crate::surge::Class;
use crate::surge::Speed;

/// `Scene` is what is played.
#[derive(Debug, Clone)]
pub struct Scene {
    /// Routers.
    pub routers: usize,
    /// Engines.
    pub engines: usize,
    /// How fast each works.
    pub speed: Speed,
    /// Prompt tokens that an engine copies from another in a millisecond.
    pub copying: f64,
    /// What is asked for, the most urgent first.
    pub classes: Vec<Class>,
    /// The multiple of the usual load in the surge.
    pub times: f64,
    /// When the surge begins and ends.
    pub surge: (Duration, Duration),
    /// When the last caller comes.
    pub length: Duration,
    /// The lag with which routers know each other's work.
    pub lag: Duration,
    /// When engines are lost and back, and how many.
    pub outage: Option<(Duration, Duration, usize)>,
    /// The seed of all that is drawn.
    pub seed: u64,
}

/// Three kinds of request of falling urgency: long prompts of great worth, digests, and long
/// answers of little worth, which take most of the engines' time.
pub const CLASSES: [Class; 3] = [
    Class {
        name: "summary",
        rate: 18.0,
        goal: Duration::from_secs(1),
        deadline: Duration::from_secs(6),
        worth: 4.1,
        late: 1.2,
        shared: (27, 8_620),
        own: 580.0,
        output: 52.0,
    },
    Class {
        name: "digest",
        rate: 19.0,
        goal: Duration::from_millis(1_500),
        deadline: Duration::from_secs(4),
        worth: 1.1,
        late: 0.33,
        shared: (44, 2_041),
        own: 360.0,
        output: 23.0,
    },
    Class {
        name: "alert",
        rate: 10.0,
        goal: Duration::from_secs(2),
        deadline: Duration::from_secs(15),
        worth: 0.68,
        late: 0.2,
        shared: (34, 603),
        own: 110.0,
        output: 280.0,
    },
];

/// `nine` is a surge of so many times the usual load at nine engines and five routers.
#[must_use]
pub fn nine(times: f64, seed: u64) -> Scene {
    Scene {
        routers: 5,
        engines: 9,
        speed: Speed {
            slots: 64,
            step: 4.34,
            place: 0.17,
            read: 36.7,
            chunk: 4_096,
        },
        copying: 2_500.0,
        classes: CLASSES.to_vec(),
        times,
        surge: (Duration::from_secs(8), Duration::from_secs(22)),
        length: Duration::from_secs(34),
        lag: Duration::from_millis(100),
        outage: None,
        seed,
    }
}
