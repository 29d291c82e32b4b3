//! The platform's list of hosts and executors, which lags behind the truth.

use std::net::SocketAddr;
use std::time::Duration;

use model::Size;
use model::id::ExecutorId;
use model::id::ShardId;
use model::id::UpstreamId;
use model::id::WorkerId;
use model::place::Place;
use serde::Deserialize;
use serde::Serialize;

use crate::call::Call;
use crate::error::CallError;

pub mod http;
mod newest;

pub use self::http::http;
pub use self::newest::NewestHostList;

/// How long one call of the list may take.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest answer of the list that is read, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// What the list says of a host's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// Believed to be running.
    #[default]
    Live,
    /// To be taken away: no new work.
    Leaving,
}

/// A worker as listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// The name.
    pub id: WorkerId,
    /// Where its agent listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub place: Place,
    /// Its rack, which is its shard.
    pub rack: ShardId,
    /// What it has.
    pub capacity: Size,
    /// Whether it is leaving.
    #[serde(default)]
    pub state: HostState,
}

/// An executor as listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecutorEntry {
    /// The name.
    pub id: ExecutorId,
    /// The upstream it belongs to.
    pub upstream: UpstreamId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it stands.
    pub place: Place,
    /// Whether it is leaving.
    #[serde(default)]
    pub state: HostState,
}

/// An entry host as listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonEntry {
    /// The name of the daemon that belongs there.
    pub id: model::id::DaemonId,
    /// Whether the host is leaving.
    #[serde(default)]
    pub state: HostState,
}

/// The whole list at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// Counts the changes of the list; an answer with a lower one is older.
    pub revision: u64,
    /// The workers.
    #[serde(default)]
    pub workers: Vec<WorkerEntry>,
    /// The executors.
    #[serde(default)]
    pub executors: Vec<ExecutorEntry>,
    /// The entry hosts.
    #[serde(default)]
    pub daemons: Vec<DaemonEntry>,
}

/// The call of the list.
#[derive(Clone)]
pub struct Hosts {
    /// Returns the list if its revision differs from the one given, `None` otherwise.
    pub list: Call<Option<u64>, Result<Option<HostList>, CallError>>,
}
