//! Types of the router's state dump.

use std::collections::BTreeMap;

use derive_more::Display;
use model::id::DocVersion;
use model::id::ExecutorId;
use model::id::UpstreamId;
use serde::Serialize;

use crate::decision::RefusalReason;

/// Handover phase of an upstream, as seen by this daemon.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HandoverPhase {
    /// Owned by this daemon's half; this daemon sends to the executors.
    #[display("owned")]
    Owned,
    /// No longer owned; requests that are in flight are finishing.
    #[display("releasing")]
    Releasing,
    /// No longer owned, and this daemon has no request in flight there.
    #[display("released")]
    Released,
    /// Owned, but the release by the previous half is outstanding; requests are queued.
    #[display("waiting")]
    Waiting,
    /// Owned by another half ever since this daemon first knew the upstream; requests are
    /// forwarded.
    #[default]
    #[display("foreign")]
    Foreign,
}

/// State of one upstream.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamReport {
    /// Handover phase.
    pub phase: HandoverPhase,
    /// Number of requests that are in flight at executors.
    pub in_flight: u32,
    /// Number of requests queued for a slot.
    pub waiting: usize,
    /// Number of slots that this daemon may use now, including borrowed ones.
    pub slots: u32,
    /// Number of slots borrowed from other daemons.
    pub borrowed: u32,
    /// Number of slots lent to other daemons.
    pub lent: u32,
    /// Mean service time in milliseconds.
    pub service_ms: f64,
    /// Executors that are ejected as outliers.
    pub ejected: Vec<ExecutorId>,
    /// Total number of requests that were sent to an executor at least once.
    pub requests: u64,
    /// Total number of sends, including retries and hedges.
    pub sends: u64,
}

/// State of the router and the data path.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RouterReport {
    /// Version of the active document, 0 without one.
    pub version: DocVersion,
    /// Whether this daemon may serve requests; false while it is isolated.
    pub serving: bool,
    /// Whether this daemon is draining.
    pub draining: bool,
    /// State of the upstreams by name.
    pub upstreams: BTreeMap<UpstreamId, UpstreamReport>,
    /// Number of requests that wait for a table update.
    #[serde(rename = "held")]
    pub parked: usize,
    /// Number of requests that are being forwarded to another daemon.
    #[serde(rename = "passing")]
    pub forwarding: usize,
    /// Total number of refusals by reason.
    pub refused: BTreeMap<String, u64>,
    /// Total number of bytes that the data path has sent to or received from other regions.
    #[serde(rename = "far_bytes")]
    pub cross_region_bytes: u64,
}

impl RouterReport {
    /// Adds one refusal to the total of its reason.
    pub fn count_refused(refused: &mut BTreeMap<String, u64>, reason: RefusalReason) {
        *refused.entry(reason.to_string()).or_default() += 1;
    }
}
