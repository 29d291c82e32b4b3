//! Logging and metrics: the part of the settings that a process applies again on a reload.

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

/// Logging and metrics.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Observe {
    /// The least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Further options of the log.
    #[serde(default)]
    pub logs: Logs,
    /// The address for metrics over UDP in the StatsD format; no metrics are sent if absent.
    #[serde(default)]
    #[schemars(extend("format" = "socket-address"))]
    pub statsd: Option<SocketAddr>,
}

/// Levels of single events and the limit on the rate of log lines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Logs {
    /// Levels of single events, by the value of `event`; they take precedence over `log_level`.
    pub events: BTreeMap<String, LogLevel>,
    /// The maximum number of lines of one event in a second; further ones are only counted.
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

/// The settings of a process that receives all others from the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct OwnSettings {
    /// The least severe level that is logged.
    pub log_level: LogLevel,
    /// Further options of the log.
    pub logs: Logs,
}

/// The level of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// No log lines.
    Off,
    /// Errors only.
    Error,
    /// Warnings and errors.
    Warn,
    /// Events of normal operation that are relevant to operators.
    #[default]
    Info,
    /// Details for the diagnosis of problems.
    Debug,
}

/// Parses the settings of a process that receives all others from the platform.
///
/// # Errors
///
/// Returns the findings if there are any, whatever their severity.
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
