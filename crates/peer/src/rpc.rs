//! The calls between daemons, over `jsonrpsee`.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use model::id::DocVersion;
use model::id::ShardId;
use model::id::TaskId;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::gossip::Exchange;

/// The largest message between daemons, in bytes.
pub const MAX_MESSAGE_BYTES: u32 = 1 << 20;

/// Tells that the table has something new of the document; the receiver reads it from there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocNotice {
    /// The version that is staged, if one is.
    pub staged: Option<DocVersion>,
    /// The version that is committed.
    pub committed: DocVersion,
}

/// Hands something for one of its shards to the daemon that owns it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum ShardCall {
    /// Queues a task; `spec` has the shape of the table's task rows.
    Submit {
        /// The shard.
        shard: ShardId,
        /// What was asked for.
        spec: Value,
    },
    /// Cancels a task.
    Cancel {
        /// The shard.
        shard: ShardId,
        /// The task.
        task: TaskId,
    },
    /// Looks for rows that were handed to the shard.
    Rescan {
        /// The shard.
        shard: ShardId,
    },
    /// Takes a worker for dead on an operator's word.
    WorkerLost {
        /// The shard.
        shard: ShardId,
        /// The worker.
        worker: model::id::WorkerId,
    },
}

/// What became of a [`ShardCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum ShardAnswer {
    /// It took effect.
    Done,
    /// It certainly did not take effect, and why.
    Refused {
        /// What the asker is told.
        reason: String,
    },
    /// The receiver does not own the shard; nothing was done.
    NotOwner,
    /// It may or may not have taken effect.
    Unknown,
}

/// The calls that a daemon answers to other daemons.
#[rpc(server, client, namespace = "peer")]
pub trait Peer {
    /// Exchanges heartbeats and summaries.
    #[method(name = "gossip")]
    async fn gossip(&self, exchange: Exchange) -> RpcResult<Exchange>;

    /// Tells of news of the document; answers with the version in force here.
    #[method(name = "document")]
    async fn document(&self, notice: DocNotice) -> RpcResult<DocVersion>;

    /// Hands on something for a shard.
    #[method(name = "shard")]
    async fn shard(&self, call: ShardCall) -> RpcResult<ShardAnswer>;
}
