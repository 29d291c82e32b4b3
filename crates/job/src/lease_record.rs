//! What an owner stores about leases for its successor.

use serde::Deserialize;
use serde::Serialize;

use crate::authority::Witness;

/// The largest number of silent executors that the record names. The others are treated as if nothing
/// were stored of them.
pub const MAX_SILENT_EXECUTORS: usize = 400;

/// The witnesses, and the executors whose leases are not extended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The executors whose acceptance proves that no other owner has followed.
    #[serde(default)]
    pub witnesses: Vec<Witness>,
    /// The executors that do not answer.
    #[serde(default)]
    pub silent: Vec<SilentExecutor>,
}

/// An executor that does not answer. Its leases are not extended for as long as the stored record names
/// it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentExecutor {
    /// The incarnation that does not answer.
    #[serde(flatten)]
    pub executor: Witness,
    /// When the record was written, its leases expired within this time, in milliseconds.
    pub lease_ms: u64,
}
