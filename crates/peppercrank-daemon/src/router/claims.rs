// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Claims that keep a request from running twice, made before it is forwarded.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::sync::mpsc;
use std::thread;

use peppercrank_core::keys::RequestId;
use peppercrank_lease::claim::Action;
use peppercrank_lease::claim::Claims;
use peppercrank_lease::claim::Input;
use peppercrank_lease::claim::Policy;
use peppercrank_lease::claim::Verdict;
use peppercrank_lease::shard::ClaimKey;
use peppercrank_lease::shard::KIND;
use peppercrank_lease::shard::Shard;
use peppercrank_lease::shard::shard_name;
use peppercrank_lease::store::Answer;
use peppercrank_lease::store::CallId;
use peppercrank_lease::store::Version;
use peppercrank_settings::router::ClaimSettings as Settings;
use peppercrank_wire::platform::Condition;
use peppercrank_wire::platform::Failure;
use peppercrank_wire::platform::Fetched;
use peppercrank_wire::platform::Object;
use peppercrank_wire::platform::Platform;
use peppercrank_wire::platform::Written;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

use crate::clock::Clock;
use crate::errors::Error;
use crate::errors::Result;
use crate::fleet::lock;

/// Calls of claims in flight at once.
const WORKERS: usize = 4;

/// `Claiming` makes the claims of one router.
#[derive(Debug)]
pub struct Claiming {
    machine: Mutex<Claims>,
    waiting: Mutex<HashMap<RequestId, oneshot::Sender<Verdict>>>,
    calls: mpsc::Sender<Action>,
    clock: Clock,
    wait: std::time::Duration,
    news: Notify,
}

impl Claiming {
    /// `start` starts the threads that call the platform and the task that keeps time.
    ///
    /// # Errors
    ///
    /// Returns an error when the settings make no policy or a thread cannot be started.
    pub fn start(
        settings: &Settings,
        platform: &Platform,
        clock: Clock,
        seed: u64,
    ) -> Result<Arc<Self>> {
        let policy = Policy {
            shards: u16::try_from(settings.shards).unwrap_or(u16::MAX),
            wait: settings.wait,
            ..Policy::default()
        };
        let machine = Claims::new(policy, seed).map_err(|cause| Error::Claims { cause })?;
        let (calls, work) = mpsc::channel();
        let claiming = Arc::new(Self {
            machine: Mutex::new(machine),
            waiting: Mutex::default(),
            calls,
            clock,
            wait: settings.wait,
            news: Notify::new(),
        });
        let work = Arc::new(Mutex::new(work));
        for _ in 0..WORKERS {
            let weak = Arc::downgrade(&claiming);
            spawn(platform.clone(), Arc::clone(&work), weak)?;
        }
        tokio::spawn(keep_time(Arc::downgrade(&claiming)));
        Ok(claiming)
    }

    /// `claim` claims a key for a request and returns the verdict.
    pub async fn claim(&self, key: ClaimKey, token: RequestId) -> Verdict {
        let (tx, rx) = oneshot::channel();
        lock(&self.waiting).insert(token, tx);
        self.put(Input::Claim {
            key,
            token,
            wait: self.wait,
        });
        // The machine answers each claim within its wait; without an answer nothing is forwarded.
        rx.await.unwrap_or(Verdict::Unavailable)
    }

    /// `release` takes back the claim of a request of which nothing ran or may yet run.
    pub fn release(&self, key: ClaimKey, token: RequestId) {
        self.put(Input::Release { key, token });
    }

    fn put(&self, input: Input) {
        let now = self.clock.now();
        let actions = lock(&self.machine).on(now, input);
        for action in actions {
            match action {
                Action::Tell { token, verdict } => {
                    if let Some(asker) = lock(&self.waiting).remove(&token) {
                        // An asker that is gone forwards nothing; its claim stays until it expires.
                        let _heard = asker.send(verdict);
                    }
                }
                // The workers live as long as this does.
                call => drop(self.calls.send(call).is_ok()),
            }
        }
        self.news.notify_one();
    }
}

async fn keep_time(claiming: Weak<Claiming>) {
    loop {
        let Some(now) = claiming.upgrade() else {
            return;
        };
        let wake = lock(&now.machine).wake();
        match wake {
            None => now.news.notified().await,
            Some(at) => tokio::select! {
                () = now.news.notified() => {}
                () = sleep_until(now.clock.timer_instant(at).into()) => now.put(Input::Tick),
            },
        }
    }
}

fn spawn(
    platform: Platform,
    work: Arc<Mutex<mpsc::Receiver<Action>>>,
    claiming: Weak<Claiming>,
) -> Result<()> {
    let run = move || {
        loop {
            let next = lock(&work).recv();
            let Ok(action) = next else {
                return;
            };
            let Some((call, answer)) = perform(&platform, action) else {
                continue;
            };
            let Some(claiming) = claiming.upgrade() else {
                return;
            };
            claiming.put(Input::Answer { call, answer });
        }
    };
    let started = thread::Builder::new().name("claims".to_owned()).spawn(run);
    started.map(drop).map_err(|cause| Error::Start { cause })
}

fn perform(platform: &Platform, action: Action) -> Option<(CallId, Answer<Shard>)> {
    match action {
        Action::Get { call, shard } => Some((call, get(platform, shard))),
        Action::Put {
            call,
            shard,
            base,
            body,
        } => {
            let condition = base.map_or(Condition::New, |v| Condition::Version(v.0));
            Some((call, write(platform, shard, condition, &body)))
        }
        Action::Tell { .. } => None,
    }
}

fn get(platform: &Platform, shard: u16) -> Answer<Shard> {
    match platform.get(KIND, &shard_name(shard)) {
        Ok(Fetched::Found(object)) => match parse(object) {
            Some((version, body)) => Answer::Found { version, body },
            // A shard that cannot be read might hold any claim.
            None => Answer::Failed { after: None },
        },
        Ok(Fetched::Absent) => Answer::Absent,
        Err(failure) => failed(failure),
    }
}

fn write(platform: &Platform, shard: u16, condition: Condition, body: &Shard) -> Answer<Shard> {
    let Ok(body) = serde_json::to_value(body) else {
        return Answer::Failed { after: None };
    };
    match platform.put(KIND, &shard_name(shard), condition, &body) {
        Ok(Written::Done(version)) => Answer::Written {
            version: Version(version),
        },
        Ok(Written::Conflict(current)) => Answer::Conflict {
            current: current.and_then(parse),
        },
        Err(failure) => failed(failure),
    }
}

fn parse(object: Object) -> Option<(Version, Shard)> {
    let body = serde_json::from_value(object.body?).ok()?;
    Some((Version(object.version), body))
}

fn failed(failure: Failure) -> Answer<Shard> {
    match failure {
        Failure::Throttled(after) => Answer::Failed { after },
        _ => Answer::Failed { after: None },
    }
}
