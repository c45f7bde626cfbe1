//! Plays one case of the review: stand-ins of the platform in this process, gateways as processes
//! of their own.
//!
//! Usage: `review-case CASE FOLDER`. Writes `record.txt` into the folder. Ends with 0 if the rule
//! held, 1 if it was broken and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod client;
mod engine;
mod fleet;
mod http;
mod proxy;
mod record;
mod restore;
mod silent;
mod store;
mod terminate;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Whether a rule was broken.
pub enum Verdict {
    Held,
    Broken,
}

/// What a case is played with.
pub struct Stage<'a> {
    /// A temporary folder.
    pub place: &'a Path,
    /// Whether the disruption is played.
    pub trouble: bool,
    pub record: Record,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-case CASE FOLDER");
        return ExitCode::from(2);
    };
    let place = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let played = std::fs::create_dir_all(&place).and_then(|()| {
        let record = Record::create(&Path::new(&folder).join("record.txt"))?;
        let stage = Stage { place: &place, trouble, record };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(async {
            match case.as_str() {
                "silent" => silent::play(stage).await,
                "restore" => restore::play(stage).await,
                "terminate" => terminate::play(stage).await,
                _ => Err(std::io::Error::other("no such case")),
            }
        })
    });
    if std::env::var("KEEP").is_err() {
        let _removed = std::fs::remove_dir_all(&place);
    }
    match played {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}
