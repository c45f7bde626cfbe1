//! Cases of the review: `stand-ins CASE FOLDER` plays one and writes `record.txt` to the folder.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With the
//! variable `TROUBLE=0` the disruption is left out.

mod cases;
mod engine;
mod fleet;
mod gateway;
mod http;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: stand-ins CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let folder = PathBuf::from(folder);
    let played = match case.as_str() {
        "silent-watch" => cases::silent_watch::play(&folder, trouble),
        "restored-store" => cases::restored_store::play(&folder, trouble),
        "raised-limit" => cases::raised_limit::play(&folder, trouble),
        "tiny-chunks" => cases::tiny_chunks::play(&folder, trouble),
        _ => Err(std::io::Error::other("unknown case")),
    };
    match played {
        Ok(true) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
