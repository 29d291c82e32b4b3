//! The dump of the router's state.

use std::collections::BTreeMap;

use derive_more::Display;
use model::id::DocVersion;
use model::id::ExecutorId;
use model::id::UpstreamId;
use serde::Serialize;

use crate::decision::RefusalReason;

/// Where an upstream is in changing hands, as seen by this daemon.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HandoverPhase {
    /// Owned by this daemon's half, which sends to it.
    #[display("owned")]
    Owned,
    /// No longer owned; requests in progress are finishing.
    #[display("releasing")]
    Releasing,
    /// No longer owned, and nothing of this daemon's is in progress there.
    #[display("released")]
    Released,
    /// Owned now, waiting for the former half's release; requests wait.
    #[display("waiting")]
    Waiting,
    /// Owned by the other half all along; requests are passed on.
    #[default]
    #[display("foreign")]
    Foreign,
}

/// The state of one upstream.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamReport {
    /// Where it is in changing hands.
    pub phase: HandoverPhase,
    /// Requests in progress at executors.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Slots that this daemon may use now, borrowed ones included.
    pub slots: u32,
    /// Slots borrowed.
    pub borrowed: u32,
    /// Slots lent.
    pub lent: u32,
    /// The mean service time in milliseconds.
    pub service_ms: f64,
    /// Executors ejected as outliers.
    pub ejected: Vec<ExecutorId>,
    /// Requests admitted.
    pub requests: u64,
    /// Sends, retries and hedges included.
    pub sends: u64,
}

/// The state of the router.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RouterReport {
    /// The version of the document in force.
    pub version: DocVersion,
    /// Whether this daemon serves.
    pub serving: bool,
    /// Whether it is stopping.
    pub draining: bool,
    /// The upstreams.
    pub upstreams: BTreeMap<UpstreamId, UpstreamReport>,
    /// Requests that wait for a change of the tables.
    pub held: usize,
    /// Requests that are being passed to another daemon.
    pub passing: usize,
    /// Refusals by reason.
    pub refused: BTreeMap<String, u64>,
    /// Bytes of requests and answers that crossed between regions, as far as the data path counted.
    pub far_bytes: u64,
}

impl RouterReport {
    /// Counts a refusal.
    pub fn count_refused(refused: &mut BTreeMap<String, u64>, reason: RefusalReason) {
        *refused.entry(reason.to_string()).or_default() += 1;
    }
}
