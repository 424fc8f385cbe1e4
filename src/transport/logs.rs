//! Sets up the log. Every line starts with the prefix of its component: `entry`, `shard`, `member`,
//! `config`, `ticket`, `store`, `daemon` or `span`.

use crate::transport::settings::{DaemonSettings, LogFormat, LogLevel};
use logforth::append::asynchronous::AsyncBuilder;
use logforth::append::{Stderr, Stdout};
use logforth::filter::FilterResult;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{FilterCriteria, Level, LevelFilter};
use logforth::{Diagnostic, Filter};

/// The number of lines that are buffered for a slow reader, enough for some seconds under load.
const BUFFERED_LINES: usize = 4096;

/// Installs a logger that writes to standard error. Must run before the HTTP library can install
/// its own logger.
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
    let libraries = LibraryFilter;
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).filter(libraries).append(append))
        .apply();
}

/// Installs a logger that writes one JSON object a line to standard output.
pub fn install_structured() {
    let stdout = Stdout::default().with_layout(JsonLayout::default());
    // A reader that stalls must not block the daemon: only the writer's thread waits, and lines
    // that do not fit into the buffer are dropped.
    let append = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(stdout)
        .build();
    let filter = LevelFilter::MoreSevereEqual(Level::Info);
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).filter(LibraryFilter).append(append))
        .apply();
}

/// Rejects the log lines of libraries below the level of warnings.
#[derive(Debug)]
struct LibraryFilter;

impl Filter for LibraryFilter {
    fn enabled(&self, criteria: &FilterCriteria, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        let own = criteria.target().starts_with("apricotrun");
        match own || LevelFilter::MoreSevereEqual(Level::Warn).test(criteria.level()) {
            true => FilterResult::Neutral,
            false => FilterResult::Reject,
        }
    }
}
