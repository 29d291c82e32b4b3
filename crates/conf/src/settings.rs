//! What one daemon needs to know to start.

use std::fmt;
use std::net::SocketAddr;

use jsonc_parser::ast::Value;
use model::id::DaemonId;
use model::id::HalfId;
use model::place::Place;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::check::Invalid;
use crate::check::is_valid_name;
use crate::finding::Code;
use crate::finding::Finding;
use crate::finding::sort;
use crate::observe::Observe;
use crate::schema;
use crate::tree;
use crate::tree::LineIndex;
use crate::tree::Locations;
use crate::validate::Validator;

/// The settings of one daemon, read from a file at its start.
#[derive(Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
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
    /// The token that operators show, at least 16 bytes.
    #[schemars(length(min = 16, max = 512))]
    pub operator_token: String,
    /// Logs and metrics.
    #[serde(default)]
    pub observe: Observe,
    /// How long a planned stop may take before requests in progress are given up, in milliseconds.
    #[serde(default = "default_drain_ms")]
    #[schemars(range(min = 1_000, max = 3_600_000))]
    pub drain_ms: u64,
}

/// Leaves the token out, so that no log or dump shows it.
impl fmt::Debug for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Settings")
            .field("daemon", &self.daemon)
            .field("half", &self.half)
            .field("place", &self.place)
            .field("listen", &self.listen)
            .field("advertise", &self.advertise)
            .field("platform", &self.platform)
            .field("observe", &self.observe)
            .field("drain_ms", &self.drain_ms)
            .finish_non_exhaustive()
    }
}

/// The addresses the daemon listens on; port 0 takes a free one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    #[schemars(extend("format" = "socket-address"))]
    pub callers: SocketAddr,
    /// For operators: client, console, dump, readiness.
    #[schemars(extend("format" = "socket-address"))]
    pub operators: SocketAddr,
    /// For the other daemons.
    #[schemars(extend("format" = "socket-address"))]
    pub peers: SocketAddr,
}

/// The addresses by which others reach the daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Advertise {
    /// For callers and for requests passed on by daemons.
    #[schemars(extend("format" = "socket-address"))]
    pub callers: SocketAddr,
    /// For the other daemons.
    #[schemars(extend("format" = "socket-address"))]
    pub peers: SocketAddr,
}

/// Where the platform's services listen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The transactional table.
    #[schemars(extend("format" = "socket-address"))]
    pub table: SocketAddr,
    /// The object store.
    #[schemars(extend("format" = "socket-address"))]
    pub objects: SocketAddr,
    /// The list of hosts.
    #[schemars(extend("format" = "socket-address"))]
    pub hosts: SocketAddr,
}

const fn default_drain_ms() -> u64 {
    30_000
}

/// Reads the settings and collects all findings on them.
///
/// # Errors
///
/// Returns the findings if there are any: a daemon starts by settings without fault or not at all.
pub fn load(text: &str) -> Result<Settings, Invalid> {
    let root = tree::parse(text).map_err(|finding| Invalid {
        findings: vec![finding],
    })?;
    let locations = Locations::collect(&root, &LineIndex::new(text));
    let schema = schema::settings();
    let (valid, mut findings) = Validator::new(&schema, text).check(&root);
    findings.extend(contradictions(&root, &locations));
    sort(&mut findings);
    let settings = valid.and_then(|value| serde_json::from_value(value).ok());
    match settings {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => Err(Invalid { findings }),
    }
}

/// The values that are names.
const NAME_POINTERS: [&str; 4] = ["/daemon", "/half", "/place/region", "/place/data_centre"];
/// The addresses that may not be given twice, because one process or service listens on each.
const DISTINCT_ADDRESSES: [&str; 6] = [
    "/listen/callers",
    "/listen/operators",
    "/listen/peers",
    "/platform/table",
    "/platform/objects",
    "/platform/hosts",
];
/// The addresses that others connect to, which therefore need a port.
const CONNECT_ADDRESSES: [&str; 6] = [
    "/advertise/callers",
    "/advertise/peers",
    "/platform/table",
    "/platform/objects",
    "/platform/hosts",
    "/observe/statsd",
];

/// The addresses that are told to others where none is advertised.
const DEFAULT_ADVERTISED: [&str; 2] = ["/listen/callers", "/listen/peers"];

fn contradictions(root: &Value<'_>, locations: &Locations) -> Vec<Finding> {
    let address =
        |pointer: &str| -> Option<SocketAddr> { tree::string_at(root, pointer)?.parse().ok() };
    let mut findings = Vec::new();
    let mut report = |code: Code, message: String, pointer: &str| {
        findings.push(Finding::error(code, message, locations.value(pointer)));
    };
    for pointer in NAME_POINTERS {
        if let Some(name) = tree::string_at(root, pointer).filter(|name| !is_valid_name(name)) {
            let message = format!("`{name}` cannot be used as a name");
            report(Code::OutOfRange, message, pointer);
        }
    }
    for (index, pointer) in DISTINCT_ADDRESSES.iter().enumerate() {
        let Some(own) = address(pointer).filter(|own| own.port() != 0) else {
            continue;
        };
        let earlier = &DISTINCT_ADDRESSES[..index];
        if let Some(other) = earlier.iter().find(|other| address(other) == Some(own)) {
            let message = format!("{own} is already given as `{}`", &other[1..]);
            report(Code::Contradiction, message, pointer);
        }
    }
    for pointer in CONNECT_ADDRESSES {
        let unreachable = |own: &SocketAddr| own.port() == 0 || own.ip().is_unspecified();
        if let Some(own) = address(pointer).filter(unreachable) {
            let message = format!("others cannot connect to {own}");
            report(Code::OutOfRange, message, pointer);
        }
    }
    for pointer in DEFAULT_ADVERTISED
        .iter()
        .filter(|_| !locations.contains("/advertise"))
    {
        if let Some(own) = address(pointer).filter(|own| own.ip().is_unspecified()) {
            let message = format!("others cannot connect to {own}, and `advertise` is absent");
            report(Code::Contradiction, message, pointer);
        }
    }
    findings
}
