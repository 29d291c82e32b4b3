//! The settings that a daemon needs to start.

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

/// The settings of one daemon, read from a file when it starts.
#[derive(Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the daemon, unique among the daemons of all halves.
    pub daemon: DaemonId,
    /// The half that the daemon belongs to.
    pub half: HalfId,
    /// The region and data centre of the daemon.
    pub place: Place,
    /// The addresses that the daemon listens on.
    pub listen: Listen,
    /// The addresses by which others reach the daemon, if they differ from those it listens on.
    #[serde(default)]
    pub advertise: Option<Advertise>,
    /// The addresses of the platform's services.
    pub platform: Platform,
    /// The token that operators authenticate with, at least 16 bytes long.
    #[schemars(length(min = 16, max = 512))]
    pub operator_token: String,
    /// Logging and metrics.
    #[serde(default)]
    pub observe: Observe,
    /// How long a planned stop may take before requests in progress are aborted, in milliseconds.
    #[serde(default = "default_drain_ms")]
    #[schemars(range(min = 1_000, max = 3_600_000))]
    pub drain_ms: u64,
}

/// Omits the operator token, so that it does not appear in logs or dumps.
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

/// The addresses that a daemon listens on; port 0 selects a free port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// The address for callers.
    #[schemars(extend("format" = "socket-address"))]
    pub callers: SocketAddr,
    /// The address for operators: client, console, dump and readiness.
    #[schemars(extend("format" = "socket-address"))]
    pub operators: SocketAddr,
    /// The address for the other daemons.
    #[schemars(extend("format" = "socket-address"))]
    pub peers: SocketAddr,
}

/// The addresses by which others reach a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Advertise {
    /// The address for callers and for requests that other daemons forward.
    #[schemars(extend("format" = "socket-address"))]
    pub callers: SocketAddr,
    /// The address for the other daemons.
    #[schemars(extend("format" = "socket-address"))]
    pub peers: SocketAddr,
}

/// The addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The address of the transactional table.
    #[schemars(extend("format" = "socket-address"))]
    pub table: SocketAddr,
    /// The address of the object store.
    #[schemars(extend("format" = "socket-address"))]
    pub objects: SocketAddr,
    /// The address of the host list.
    #[schemars(extend("format" = "socket-address"))]
    pub hosts: SocketAddr,
}

const fn default_drain_ms() -> u64 {
    30_000
}

/// Parses the settings and collects all findings on them.
///
/// # Errors
///
/// Returns the findings if there are any, whatever their severity: a daemon does not start with
/// settings that have findings.
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

/// The pointers of values that must be valid names.
const NAME_POINTERS: [&str; 4] = ["/daemon", "/half", "/place/region", "/place/data_centre"];
/// The pointers of addresses that must differ, because one process or service listens on each.
const DISTINCT_ADDRESSES: [&str; 6] = [
    "/listen/callers",
    "/listen/operators",
    "/listen/peers",
    "/platform/table",
    "/platform/objects",
    "/platform/hosts",
];
/// The pointers of addresses that are connected to, which therefore need a host and a port.
const CONNECT_ADDRESSES: [&str; 6] = [
    "/advertise/callers",
    "/advertise/peers",
    "/platform/table",
    "/platform/objects",
    "/platform/hosts",
    "/observe/statsd",
];

/// The pointers of addresses that are advertised to others if `advertise` is absent.
const DEFAULT_ADVERTISED: [&str; 2] = ["/listen/callers", "/listen/peers"];

/// Returns findings on values that are valid by themselves but cannot work.
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
            let message = format!("{own} is already used for `{}`", &other[1..]);
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
