//! Log lines and spans. Every line starts with the prefix of its part: `entry`, `shard`,
//! `member`, `config`, `ticket`, `store`, `daemon` or `span`.

use crate::transport::settings::{DaemonSettings, LogFormat, LogLevel};
use fastrace::collector::{Config, Reporter, SpanRecord};
use logforth::append::Stderr;
use logforth::filter::FilterResult;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{FilterCriteria, Level, LevelFilter};
use logforth::{Diagnostic, Filter};

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
    if settings.log_spans {
        fastrace::set_reporter(SpanLogger, Config::default());
    }
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

/// Writes each finished span as one log line.
struct SpanLogger;

impl Reporter for SpanLogger {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in spans {
            log::info!(
                "span: {} trace={} id={} parent={} us={}",
                span.name,
                span.trace_id,
                span.span_id,
                span.parent_id,
                span.duration_ns / 1000
            );
        }
    }
}
