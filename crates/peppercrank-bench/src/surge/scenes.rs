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
    /// Requests that an engine takes, running or waiting; it refuses more.
    pub room: u32,
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
    /// The pause after which each router passes load reports on to another one, drawn anew each time.
    pub passing: Option<Duration>,
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
        room: u32::MAX,
        copying: 2_500.0,
        classes: CLASSES.to_vec(),
        times,
        surge: (Duration::from_secs(8), Duration::from_secs(22)),
        length: Duration::from_secs(34),
        lag: Duration::from_millis(100),
        passing: None,
        outage: None,
        seed,
    }
}

/// The same kinds of request as seen by a large fleet: long plans, short questions and checks, each with its own
/// document of many.
const LARGE_CLASSES: [Class; 3] = [
    Class {
        name: "question",
        rate: 193.0,
        goal: Duration::from_millis(500),
        deadline: Duration::from_secs(10),
        worth: 2.2,
        late: 1.1,
        shared: (380, 699),
        own: 130.0,
        output: 288.0,
    },
    Class {
        name: "plan",
        rate: 166.0,
        goal: Duration::from_secs(1),
        deadline: Duration::from_secs(12),
        worth: 3.9,
        late: 2.0,
        shared: (217, 10_512),
        own: 1_300.0,
        output: 384.0,
    },
    Class {
        name: "check",
        rate: 270.0,
        goal: Duration::from_millis(600),
        deadline: Duration::from_secs(3),
        worth: 0.39,
        late: 0.19,
        shared: (797, 2_041),
        own: 360.0,
        output: 24.0,
    },
];

/// `large` is a surge at 120 engines and 68 routers, which know each other's work after seconds.
#[must_use]
pub fn large(times: f64, seed: u64) -> Scene {
    Scene {
        routers: 68,
        engines: 120,
        speed: Speed {
            slots: 16,
            step: 2.89,
            place: 0.101,
            read: 55.0,
            chunk: 4_096,
        },
        room: 64,
        copying: 880.0,
        classes: LARGE_CLASSES.to_vec(),
        times,
        surge: (Duration::from_secs(4), Duration::from_secs(10)),
        length: Duration::from_secs(14),
        // Twice the age of peers' summaries, as 68 routers saw it on a calm day.
        lag: Duration::from_millis(3_400),
        passing: Some(Duration::from_millis(100)),
        outage: None,
        seed,
    }
}
