//! The platform's list of hosts and executors, which lags behind the actual state.

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

/// The timeout of a call for the list.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest accepted response body with the list, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The state of a host or executor according to the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It is assumed to be running.
    #[default]
    Live,
    /// It is going to be removed and must get no new work.
    Leaving,
}

/// The list entry of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// The unique id of the worker.
    pub id: WorkerId,
    /// The address on which its agent listens.
    pub address: SocketAddr,
    /// Its region and data centre.
    pub place: Place,
    /// Its rack, which is also its shard.
    pub rack: ShardId,
    /// Its total resources.
    pub capacity: Size,
    /// Whether it may get new work; `Live` if the list does not say.
    #[serde(default)]
    pub state: HostState,
}

/// The list entry of an executor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecutorEntry {
    /// The unique id of the executor.
    pub id: ExecutorId,
    /// The upstream to which it belongs.
    pub upstream: UpstreamId,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// Its region and data centre.
    pub place: Place,
    /// Whether it may get new requests; `Live` if the list does not say.
    #[serde(default)]
    pub state: HostState,
}

/// The list entry of a host that runs a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonEntry {
    /// The id of the daemon on this host.
    pub id: model::id::DaemonId,
    /// Whether the host is going to be removed; `Live` if the list does not say.
    #[serde(default)]
    pub state: HostState,
}

/// A snapshot of the whole list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// The number of changes of the list so far; a response with a lower revision is older.
    pub revision: u64,
    /// All workers.
    #[serde(default)]
    pub workers: Vec<WorkerEntry>,
    /// All executors.
    #[serde(default)]
    pub executors: Vec<ExecutorEntry>,
    /// All hosts that run a daemon.
    #[serde(default)]
    pub daemons: Vec<DaemonEntry>,
}

/// The interface to the list of hosts.
#[derive(Clone)]
pub struct Hosts {
    /// Returns the list if its revision differs from the given one, `None` otherwise.
    pub list: Call<Option<u64>, Result<Option<HostList>, CallError>>,
}
