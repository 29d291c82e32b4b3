//! What one daemon needs to know to start.

use std::net::SocketAddr;

use model::id::DaemonId;
use model::id::HalfId;
use model::place::Place;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// The settings of one daemon, read from a file at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the daemon, unique among all of both halves.
    pub daemon: DaemonId,
    /// The half it works for.
    pub half: HalfId,
    /// Where it stands.
    pub place: Place,
    /// Where it listens.
    pub listen: Listen,
    /// The address that other daemons and hosts reach it by, if it differs from where it listens.
    #[serde(default)]
    pub advertise: Option<Advertise>,
    /// The platform's services.
    pub platform: Platform,
    /// The token that operators show.
    pub operator_token: String,
    /// Logs and metrics.
    #[serde(default)]
    pub observe: Observe,
    /// How long a planned stop may take before requests in progress are given up, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
}

/// The addresses the daemon listens on; port 0 takes a free one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators: client, console, dump, readiness.
    pub operators: SocketAddr,
    /// For the other daemons.
    pub peers: SocketAddr,
}

/// The addresses by which others reach the daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Advertise {
    /// For callers and for requests passed on by daemons.
    pub callers: SocketAddr,
    /// For the other daemons.
    pub peers: SocketAddr,
}

/// Where the platform's services listen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The transactional table.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The list of hosts.
    pub hosts: SocketAddr,
}

/// Logs and metrics.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Observe {
    /// The least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Where metrics go over UDP, in the StatsD format; nowhere if absent.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// How severe a log line is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
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

const fn default_drain_ms() -> u64 {
    30_000
}
