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
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

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
        let stage = Stage {
            place: &place,
            trouble,
            record,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime.block_on(async {
            let mut terminated = signal(SignalKind::terminate())?;
            let mut interrupted = signal(SignalKind::interrupt())?;
            tokio::select! {
                verdict = play(&case, stage) => verdict,
                // The gateways are killed as they are dropped.
                _ = terminated.recv() => Err(std::io::Error::other("terminated")),
                _ = interrupted.recv() => Err(std::io::Error::other("interrupted")),
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

async fn play(case: &str, stage: Stage<'_>) -> std::io::Result<Verdict> {
    match case {
        "streams" => terminate::play(stage, &terminate::STREAMS).await,
        "restore" => restore::play(stage).await,
        "silent" => silent::play(stage).await,
        // Not one of the three cases; see REPORT.md.
        "long-answers" => terminate::play(stage, &terminate::LONG_ANSWERS).await,
        _ => Err(std::io::Error::other("no such case")),
    }
}
