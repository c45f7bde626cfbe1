//! CONFIG: all gateways are killed while the store comes back from an older copy. A key that was
//! taken away works again.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::fleet::next_id;
use crate::fleet::request;
use crate::fleet::Desired;
use crate::fleet::Fleet;
use crate::fleet::KEY;
use crate::fleet::OTHER_KEY;
use crate::http::Connection;

/// `revokeMs` of the sheet.
const REVOKE_MS: u64 = 5_000;

/// Time from the ack until the store is away and all processes are killed.
const AWAY_AFTER_MS: u64 = 4_200;

/// Time for which the store is away.
const AWAY_MS: u64 = 400;

/// Time from the store's return until the operator has written again.
const REWRITE_MS: u64 = 1_500;

pub fn play(out: &Path, trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::start(out, 2, 1, 2, &Desired::default())?;
    let record = fleet.record.clone();
    thread::sleep(Duration::from_secs(4));
    let copy = fleet.store.copy();
    record.line("a copy of the store is taken");
    thread::sleep(Duration::from_millis(300));
    let revoked = Desired {
        version: 9,
        first_keys: Vec::new(),
        ..Desired::default()
    };
    fleet.store.put("config", "main", &revoked.json());
    let acked = record.ms();
    record.line("ack: version 9 takes the key of hule930 away");
    record.sleep_until(acked + AWAY_AFTER_MS);
    if trouble {
        fleet.store.go_away();
        for gateway in &mut fleet.gateways {
            gateway.kill();
        }
        record.line("the store is away, all gateways are killed");
        thread::sleep(Duration::from_millis(AWAY_MS));
        fleet.store.come_back(copy);
        record.line("the store is back from the copy");
        for gateway in &mut fleet.gateways {
            gateway.start()?;
        }
        record.line("the gateways are started again");
    }
    let back = record.ms();
    let store = fleet.store.clone();
    let operator = {
        let record = record.clone();
        thread::spawn(move || {
            record.sleep_until(back + REWRITE_MS);
            if trouble {
                store.put("config", "main", &revoked.json());
                record.line("the operator has written version 9 again");
            }
        })
    };
    record.sleep_until(acked + REVOKE_MS + 50);
    let mut ok_with_other_key = 0;
    while record.ms() < back + REWRITE_MS + 3_000 {
        for (i, gateway) in fleet.gateways.iter().enumerate() {
            let key = if record.ms() / 50 % 4 == i as u64 {
                OTHER_KEY
            } else {
                KEY
            };
            let id = next_id();
            let word = if key == KEY { "taken away" } else { "valid" };
            record.line(&format!("sent id={id} key={word}"));
            let connection = Connection::open(gateway.listen, Duration::from_secs(2));
            let head = request("POST", "/once/a", &id, key, 1_500, 0);
            let status = connection
                .and_then(|mut c| c.call(&head, b""))
                .map(|a| a.status());
            record.line(&format!("answered id={id} {status:?}"));
            ok_with_other_key += u32::from(key == OTHER_KEY && matches!(status, Ok(200)));
        }
        thread::sleep(Duration::from_millis(20));
    }
    operator.join().unwrap();
    if ok_with_other_key == 0 {
        return Err(io::Error::other("no request with a valid key was served"));
    }
    let runs = fleet.plain.iter().flat_map(|e| e.runs());
    let late = runs.filter(|r| r.tenant == "hule930" && r.at > acked + REVOKE_MS);
    let late = late.count();
    let text = format!(
        "{late} requests ran that were sent with the key later than {REVOKE_MS} ms after the ack"
    );
    record.line(&text);
    println!("{text}");
    Ok(late > 0)
}
