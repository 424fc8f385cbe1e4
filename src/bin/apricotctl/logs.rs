//! Reads the daemons' logs in JSON format.

use apricotrun::transport::error::{CliError, CliResult};
use serde::Serialize;
use serde_json::{Map, Value};
use std::fs;
use std::path::{Path, PathBuf};

/// One parsed log line.
#[derive(Clone, Debug, Serialize)]
pub struct LogLine {
    /// The time of the line, in seconds since the Unix epoch.
    pub at: f64,
    /// The key-value pairs of the line.
    pub fields: Map<String, Value>,
    /// The name of the file that contains the line, without its folder.
    pub file: String,
    /// The message, without the key-value pairs.
    pub message: String,
}

impl LogLine {
    /// Returns the value of a field if it is a string.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns the value of a field if it is a number.
    pub fn number(&self, field: &str) -> Option<f64> {
        self.fields.get(field)?.as_f64()
    }

    /// Returns whether the line logs the end of a request.
    pub fn is_end(&self) -> bool {
        matches!(
            self.message.as_str(),
            "entry: answered" | "entry: not answered" | "entry: the caller left"
        )
    }
}

/// Reads files with one JSON object per line and returns the lines of all in the order of their
/// times.
pub fn read_files(paths: &[PathBuf]) -> CliResult<Vec<LogLine>> {
    let mut lines = Vec::new();
    for path in paths {
        read_file(path, &mut lines)?;
    }
    lines.sort_by(|left, right| left.at.total_cmp(&right.at));
    Ok(lines)
}

fn read_file(path: &Path, lines: &mut Vec<LogLine>) -> CliResult<()> {
    let file = path.file_name().unwrap_or(path.as_os_str()).to_string_lossy().into_owned();
    let text = fs::read_to_string(path)
        .map_err(|error| CliError::Remote(format!("{}: {error}", path.display())))?;
    // Lines that are not JSON, such as the message of a panic, are skipped.
    let objects = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    for object in objects {
        let (Some(at), Some(message)) = (time_of(&object), object["message"].as_str()) else {
            continue;
        };
        let fields = object["kvs"].as_object().cloned().unwrap_or_default();
        lines.push(LogLine { at, fields, file: file.clone(), message: message.to_owned() });
    }
    Ok(())
}

/// Parses a line's RFC 3339 timestamp, with any number of fractional digits. Its UTC offset is
/// ignored.
fn time_of(object: &Value) -> Option<f64> {
    let text = object["timestamp"].as_str()?;
    let (date, time) = text.split_once('T')?;
    let mut date = date.split('-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let clock = time.split(['+', 'Z']).next()?;
    let mut clock = clock.split(':').map(|part| part.parse::<f64>().ok());
    let (hour, minute, second) = (clock.next()??, clock.next()??, clock.next()??);
    // Days since the epoch in the Gregorian calendar. Years begin in March, so that a leap day is
    // the last day of its year.
    let shifted = if month <= 2 { year - 1 } else { year };
    let era = shifted.div_euclid(400);
    let year_of_era = shifted.rem_euclid(400);
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    let days = era * 146_097 + day_of_era - 719_468;
    Some(days as f64 * 86_400.0 + hour * 3600.0 + minute * 60.0 + second)
}
