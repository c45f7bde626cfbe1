// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Keys that change without a restart.

use std::path::PathBuf;
use std::sync::Weak;
use std::time::Duration;

use peppercrank_core::events::Event;
use peppercrank_settings::FleetSettings;
use peppercrank_settings::keys;
use peppercrank_settings::keys::Key as Setting;
use peppercrank_wire::seal::Key;
use peppercrank_wire::seal::KeyRing;
use tokio::time::sleep;

use crate::errors;
use crate::errors::Result;
use crate::fleet::Fleet;
use crate::fleet::write;

/// Time between two looks at the file of keys.
const LOOK: Duration = Duration::from_secs(2);

/// `ring` makes the ring that a process starts with: of its file of keys, else of its settings.
///
/// # Errors
///
/// Returns an error when the file cannot be read or the keys do not make a ring.
pub fn ring(settings: &FleetSettings) -> Result<KeyRing> {
    match &settings.keys_file {
        Some(path) => ring_of(&keys::load(path).map_err(errors::settings)?),
        None => ring_of(&settings.keys),
    }
}

/// `ring_of` makes the ring of keys that are listed newest first: the first signs, all open.
///
/// # Errors
///
/// Returns an error when the keys do not make a ring.
pub fn ring_of(list: &[Setting]) -> Result<KeyRing> {
    let keys = list.iter().map(|k| Key::new(k.id, &k.secret));
    let keys: std::result::Result<Vec<_>, _> = keys.collect();
    let ring = keys.and_then(KeyRing::new).map_err(errors::keys)?;
    match list.first() {
        Some(newest) => ring.signing_with(newest.id).map_err(errors::keys),
        None => Ok(ring),
    }
}

/// Puts a new ring in place whenever the file of keys changes.
pub(super) async fn follow(fleet: Weak<Fleet>, path: PathBuf, mut known: KeyRing) {
    loop {
        sleep(LOOK).await;
        let file = path.clone();
        let read = tokio::task::spawn_blocking(move || keys::load(&file)).await;
        let Some(fleet) = fleet.upgrade() else {
            return;
        };
        // A file that is half written or gone leaves the keys in force.
        let Ok(Ok(ring)) = read.map(|r| r.map_err(errors::settings).and_then(|k| ring_of(&k)))
        else {
            continue;
        };
        if ring == known {
            continue;
        }
        known = ring.clone();
        fleet.rotate(ring);
    }
}

impl Fleet {
    /// `rotate` puts another key ring in place of the present one.
    pub fn rotate(&self, ring: KeyRing) {
        self.datagrams.rotate(&ring);
        self.client.codec().rotate(&ring);
        self.served.rotate(&ring);
        *write(&self.ring) = ring;
        self.log.write_about(Event::KeysRotated, "");
    }
}
