//! What is logged and where metrics go: the part of the settings that a process reads again on a
//! reload.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::check::Invalid;
use crate::finding::sort;
use crate::schema;
use crate::tree;
use crate::validate::Validator;

/// Logs and metrics.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Observe {
    /// The least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// What goes beyond one level for all lines.
    #[serde(default)]
    pub logs: Logs,
    /// Where metrics go over UDP, in the StatsD format; nowhere if absent.
    #[serde(default)]
    #[schemars(extend("format" = "socket-address"))]
    pub statsd: Option<SocketAddr>,
}

/// How many lines are written, and of which events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Logs {
    /// Levels of single events, by the word in `event`; they go before `log_level`.
    pub events: BTreeMap<String, LogLevel>,
    /// The most lines of one event in a second; the others are counted.
    #[schemars(range(min = 1, max = 100_000))]
    pub lines_per_second: u32,
}

impl Default for Logs {
    fn default() -> Self {
        Self {
            events: BTreeMap::new(),
            lines_per_second: 100,
        }
    }
}

/// The settings of a process that gets all others from the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct OwnSettings {
    /// The least severe level that is logged.
    pub log_level: LogLevel,
    /// What goes beyond one level for all lines.
    pub logs: Logs,
}

/// How severe a log line is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Nothing.
    Off,
    /// Errors only.
    Error,
    /// Warnings and errors.
    Warn,
    /// What an operator wants to see on an ordinary day.
    #[default]
    Info,
    /// For finding faults.
    Debug,
}

/// Reads the settings of a process that gets all others from the platform.
///
/// # Errors
///
/// Returns the findings if there are any.
pub fn load(text: &str) -> Result<OwnSettings, Invalid> {
    let root = tree::parse(text).map_err(|finding| Invalid {
        findings: vec![finding],
    })?;
    let schema = schema::own_settings();
    let (valid, mut findings) = Validator::new(&schema, text).check(&root);
    sort(&mut findings);
    let settings = valid.and_then(|value| serde_json::from_value(value).ok());
    match settings {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => Err(Invalid { findings }),
    }
}
