// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Calls to the platform, made on plain threads and counted.

use std::sync::Weak;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use peppercrank_config::Object;
use peppercrank_config::Version;
use peppercrank_config::relay::Answer;
use peppercrank_config::relay::Call;
use peppercrank_config::relay::Input;
use peppercrank_core::names::ObjectName;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::ObjectKind;
use peppercrank_member::Seed;
use peppercrank_member::SeedRole;
use peppercrank_settings::FleetSettings;
use peppercrank_wire::platform::Access;
use peppercrank_wire::platform::Failure;
use peppercrank_wire::platform::Listing;
use peppercrank_wire::platform::NamedObject;
use peppercrank_wire::platform::Platform;
use peppercrank_wire::platform::Role;
use peppercrank_wire::platform::Vm;
use peppercrank_wire::platform::Watched;

use crate::errors::Error;
use crate::errors::Result;
use crate::fleet::Fleet;

/// Time between two reads of the list of VMs by a process that watches the platform.
const VMS_WATCHER: Duration = Duration::from_secs(5);

/// Reads of the list of VMs a second that all other processes make together.
const VMS_RATE: f64 = 5.0;

/// The least time between two reads of the list of VMs by another process.
const VMS_LEAST: Duration = Duration::from_secs(10);

/// Bytes of the list of VMs for each VM, with names as in `deploy/`.
const VM_BYTES: f64 = 110.0;

/// Bytes a second that one process spends on reading the list of VMs, on average.
const VMS_BYTES_RATE: f64 = 300.0;

/// Time before the list of VMs is read again after a failure.
const VMS_RETRY: Duration = Duration::from_secs(1);

/// `Worker` takes the calls of one kind of object.
pub type Worker = mpsc::Sender<Call>;

/// `connect` makes the client of the platform that the settings name.
#[must_use]
pub fn connect(settings: &FleetSettings) -> Platform {
    let mut access = Access::new(settings.platform.url.address());
    access.token = settings
        .platform
        .token
        .as_ref()
        .map(|t| t.reveal().to_owned());
    access.call = settings.platform.timeout;
    Platform::new(&access)
}

/// `workers` starts a thread for each kind of configuration object.
///
/// One for each, since a watch holds its thread for as long as nothing changes.
///
/// # Errors
///
/// Returns [`Error::Start`] when a thread cannot be started.
pub fn workers(platform: &Platform, fleet: &Weak<Fleet>) -> Result<Vec<Worker>> {
    ObjectKind::ALL
        .iter()
        .map(|kind| worker(*kind, platform.clone(), Weak::clone(fleet)))
        .collect()
}

fn worker(kind: ObjectKind, platform: Platform, fleet: Weak<Fleet>) -> Result<Worker> {
    let (tx, rx) = mpsc::channel();
    let run = move || {
        while let Ok(call) = rx.recv() {
            let answer = perform(&platform, call);
            let Some(fleet) = fleet.upgrade() else {
                return;
            };
            fleet.note_platform(!matches!(answer, Answer::Down));
            fleet.config(Input::Answered { call, answer });
        }
    };
    spawn(&format!("platform-{}", kind.code()), run)?;
    Ok(tx)
}

/// `read_vms` starts the thread that reads the platform's list of VMs.
///
/// # Errors
///
/// Returns [`Error::Start`] when the thread cannot be started.
pub fn read_vms(platform: &Platform, fleet: &Weak<Fleet>) -> Result<()> {
    let (platform, fleet) = (platform.clone(), Weak::clone(fleet));
    let run = move || {
        loop {
            let read = platform.vms();
            let Some(fleet) = fleet.upgrade() else {
                return;
            };
            let pause = match read {
                Ok(vms) => {
                    fleet.note_platform(true);
                    fleet.gossip(peppercrank_member::Input::Seeds(seeds(vms.vms)));
                    list_pause(fleet.live(), fleet.is_watcher())
                }
                Err(Failure::Throttled(Some(after))) => after,
                Err(_) => VMS_RETRY,
            };
            let pause = fleet.jitter(pause);
            drop(fleet);
            thread::sleep(pause);
        }
    };
    spawn("platform-vms", run)
}

/// `list_pause` is how long a process does not read the list of VMs again.
///
/// Watchers read it often, the rest share a slow rate. The list grows with the fleet, so that even
/// a watcher's pause does. As watchers draw their pauses apart, one of them still reads it each 20
/// s at 1,670 members and 15 availability zones, and others learn of it by heartbeats. A process
/// that starts reads the list at once, so newcomers do not wait for this.
#[must_use]
pub fn list_pause(live: usize, watcher: bool) -> Duration {
    if live <= 1 {
        // The list lags: one that names nobody else is read again soon.
        return VMS_RETRY;
    }
    let members = f64::from(u32::try_from(live).unwrap_or(u32::MAX));
    let by_bytes = Duration::from_secs_f64(members * VM_BYTES / VMS_BYTES_RATE);
    if watcher {
        return VMS_WATCHER.max(by_bytes);
    }
    let by_rate = Duration::from_secs_f64(members / VMS_RATE);
    VMS_LEAST.max(by_bytes).max(by_rate)
}

fn seeds(vms: Vec<Vm>) -> Vec<Seed> {
    let seed = |vm: Vm| Seed {
        vm: vm.name,
        zone: vm.zone,
        address: vm.address,
        role: match vm.role {
            Role::Router => SeedRole::Router,
            Role::Agent => SeedRole::Agent,
        },
        leaving: vm.leaving,
    };
    vms.into_iter().map(seed).collect()
}

fn perform(platform: &Platform, call: Call) -> Answer {
    let kind = call.kind();
    match call {
        Call::List { .. } => match platform.list(kind.code()) {
            Ok(listing) => objects(kind, listing),
            Err(failure) => failed(failure),
        },
        Call::Watch { since, wait, .. } => match platform.watch(kind.code(), since.0, wait) {
            Ok(Watched::Changes(listing)) => objects(kind, listing),
            Ok(Watched::TooOld) => Answer::TooOld,
            Err(failure) => failed(failure),
        },
    }
}

fn objects(kind: ObjectKind, listing: Listing) -> Answer {
    // A name that is none cannot have been published by our tools, and nothing could use it.
    let object = |named: NamedObject| {
        let name = ObjectName::new(&named.name).ok()?;
        Some(Object {
            key: ObjectKey { kind, name },
            version: Version(named.version),
            body: named.body.map(|b| b.to_string().into()),
        })
    };
    Answer::Objects {
        revision: Version(listing.revision),
        objects: listing.objects.into_iter().filter_map(object).collect(),
    }
}

fn failed(failure: Failure) -> Answer {
    match failure {
        Failure::Throttled(after) => Answer::Busy { after },
        _ => Answer::Down,
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<()> {
    let started = thread::Builder::new().name(name.to_owned()).spawn(run);
    started.map(drop).map_err(|cause| Error::Start { cause })
}
