//! DRAIN: the channels over which the gateways wait for changes of servers go silent, all others
//! work. A server that drains later still gets requests.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::fleet::next_id;
use crate::fleet::request;
use crate::fleet::Desired;
use crate::fleet::Fleet;
use crate::fleet::KEY;
use crate::fleet::PLAIN;
use crate::http::Connection;

/// `contactMs` of the sheet, with a margin.
const CONTACT_MS: u64 = 3_050;

/// `drainMs` of the sheet.
const DRAIN_MS: u64 = 2_000;

/// For how long requests are sent after the ack.
const LOAD_MS: u64 = 6_000;

pub fn play(out: &Path, trouble: bool) -> io::Result<bool> {
    let fleet = Fleet::start(out, 2, 1, 3, &Desired::default())?;
    let record = &fleet.record;
    // The start has ended.
    thread::sleep(Duration::from_secs(4));
    // A server joins, by which both gateways begin a new wait at about the same time.
    let joined =
        crate::engine::Engine::start("i-joined", crate::engine::Behaviour::Plain(60), record)?;
    fleet
        .store
        .put("servers", &joined.name, &joined.entry(PLAIN, 6, "ready"));
    thread::sleep(Duration::from_millis(500));
    let silent_at = record.ms();
    if trouble {
        let count = fleet.store.silence_waiting("servers");
        record.line(&format!("{count} channels go silent; new ones work"));
        if count != 2 {
            return Err(io::Error::other("not both gateways waited"));
        }
    }
    record.sleep_until(silent_at + CONTACT_MS);
    let leaving = &fleet.plain[0];
    fleet.store.put(
        "servers",
        &leaving.name,
        &leaving.entry(PLAIN, 6, "draining"),
    );
    let acked = record.ms();
    record.line(&format!("ack: {} is draining", leaving.name));
    let consumers = fleet.gateways.iter().flat_map(|g| [g.listen; 3]);
    let consumers = consumers.map(|to| {
        let record = record.clone();
        thread::spawn(move || -> io::Result<()> {
            let mut connection = Connection::open(to, Duration::from_secs(3))?;
            while record.ms() < acked + LOAD_MS {
                let id = next_id();
                let head = request("POST", "/once/a", &id, KEY, 1_500, 0);
                record.line(&format!("sent id={id} to={to}"));
                let answer = connection.call(&head, b"")?;
                record.line(&format!("answered id={id} status={}", answer.status()));
                thread::sleep(Duration::from_millis(50));
            }
            Ok(())
        })
    });
    for consumer in consumers.collect::<Vec<_>>() {
        consumer.join().unwrap()?;
    }
    let runs = leaving.runs();
    let late = runs.iter().filter(|r| r.at > acked + DRAIN_MS).count();
    let last = runs.last().map_or(0, |r| r.at.saturating_sub(acked));
    let text = format!(
        "{late} requests reached {} later than {DRAIN_MS} ms after the ack, the last one {last} ms after it",
        leaving.name
    );
    record.line(&text);
    println!("{text}");
    Ok(late > 0)
}
