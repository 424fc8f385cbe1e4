//! Plays one case of the review: `standins-3 CASE RECORD`, from the repository's root.
//!
//! Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
//! `TROUBLE=0` leaves the disruption out.

mod engine;
mod host;
mod http;
mod json;
mod left_callers;
mod lost_at_stop;
mod record;
mod store;
mod two_holders;
mod worker;

use record::Record;
use std::process::ExitCode;

/// What a case has found.
pub enum Finding {
    Broken(String),
    Held(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, path, folder] = &arguments[..] else {
        eprintln!("standins-3 CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let finding = match case.as_str() {
        "left-callers" => left_callers::play(&record, folder, has_trouble),
        "lost-at-stop" => lost_at_stop::play(&record, folder, has_trouble),
        "two-holders" => two_holders::play(&record, folder, has_trouble),
        _ => Finding::CouldNotRun(format!("there is no case {case}")),
    };
    let (code, text) = match finding {
        Finding::Held(text) => (0, format!("held: {text}")),
        Finding::Broken(text) => (1, format!("broken: {text}")),
        Finding::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    record.note(&text);
    record.write(path);
    println!("{text}");
    ExitCode::from(code)
}
