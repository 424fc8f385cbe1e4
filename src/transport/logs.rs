//! Log lines and spans. Every line starts with the prefix of its part: `entry`, `shard`,
//! `member`, `config`, `ticket`, `store`, `daemon` or `span`.

use crate::transport::settings::{DaemonSettings, LogFormat, LogLevel};
use logforth::append::asynchronous::AsyncBuilder;
use logforth::append::{Stderr, Stdout};
use logforth::filter::FilterResult;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{FilterCriteria, Level, LevelFilter};
use logforth::{Diagnostic, Filter};

/// How many lines may wait for a slow reader, some seconds' worth under load.
const BUFFERED_LINES: usize = 4096;

/// Installs the logger, before the HTTP library can install its own.
pub fn install(settings: &DaemonSettings) {
    let level = match settings.log_level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warn => Level::Warn,
        LogLevel::Error => Level::Error,
    };
    let filter = LevelFilter::MoreSevereEqual(level);
    let append = match settings.log_format {
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
    };
    let libraries = HideLibraries;
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).filter(libraries).append(append))
        .apply();
}

/// Installs a logger that writes one JSON object a line to standard output.
pub fn install_structured() {
    let stdout = Stdout::default().with_layout(JsonLayout::default());
    // A reader that stops must not stop the daemon: its thread waits, and lines are dropped.
    let append = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(stdout)
        .build();
    let filter = LevelFilter::MoreSevereEqual(Level::Info);
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).filter(HideLibraries).append(append))
        .apply();
}

/// Rejects what libraries log below the level of warnings.
#[derive(Debug)]
struct HideLibraries;

impl Filter for HideLibraries {
    fn enabled(&self, criteria: &FilterCriteria, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        let own = criteria.target().starts_with("apricotrun");
        match own || LevelFilter::MoreSevereEqual(Level::Warn).test(criteria.level()) {
            true => FilterResult::Neutral,
            false => FilterResult::Reject,
        }
    }
}
