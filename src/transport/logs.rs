//! Log lines and spans. Every line starts with the prefix of its part: `entry`, `shard`,
//! `member`, `config`, `ticket`, `store`, `daemon` or `span`.

use crate::transport::settings::{DaemonSettings, LogFormat, LogLevel};
use fastrace::collector::{Config, Reporter, SpanRecord};
use logforth::append::Stderr;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

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
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(append))
        .apply();
    if settings.log_spans {
        fastrace::set_reporter(SpanLogger, Config::default());
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
