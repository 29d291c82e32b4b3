//! The calls between daemons, over `jsonrpsee`.

use std::collections::BTreeMap;

use conf::accept::message::Ack;
use conf::accept::message::Digest;
use conf::accept::message::News;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use model::id::RowVersion;
use model::id::ShardId;
use model::id::TaskId;
use route::slots::Ask;
use route::slots::Loan;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::gossip::Exchange;

/// The largest message between daemons, in bytes.
pub const MAX_MESSAGE_BYTES: u32 = 1 << 20;

/// An exchange as a question, with what the asker knows of the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipRequest {
    /// Heartbeats and summaries.
    pub exchange: Exchange,
    /// What the asker has of the document.
    pub digest: Digest,
}

/// The answer to a [`GossipRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipResponse {
    /// Heartbeats and summaries.
    pub exchange: Exchange,
    /// What the asker lacks of the document.
    pub news: News,
}

/// What a proposer tells a daemon of a document; answered with an [`Ack`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "tell", rename_all = "kebab-case")]
pub enum DocumentRequest {
    /// Stage this document.
    Push {
        /// The document.
        news: News,
    },
    /// The document staged under the ballot is in force.
    Committed {
        /// The ballot.
        ballot: RowVersion,
    },
    /// The document staged under the ballot will never be in force.
    Abandoned {
        /// The ballot.
        ballot: RowVersion,
    },
}

/// Hands something for one of its shards to the daemon that owns it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum ShardRequest {
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
    /// Tells what holds tasks of the shard back.
    #[serde(rename = "held")]
    WaitReasons {
        /// The shard.
        shard: ShardId,
        /// The tasks.
        tasks: Vec<TaskId>,
    },
    /// Takes a worker for dead on an operator's word.
    WorkerLost {
        /// The shard.
        shard: ShardId,
        /// The worker.
        worker: model::id::WorkerId,
    },
}

/// What became of a [`ShardRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum ShardResponse {
    /// It took effect.
    Done,
    /// Those of the tasks that wait, with what holds each back.
    #[serde(rename = "held")]
    WaitReasons {
        /// The sentences by task.
        reasons: BTreeMap<TaskId, String>,
    },
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
    async fn gossip(
        &self,
        #[argument(rename = "question")] request: GossipRequest,
    ) -> RpcResult<GossipResponse>;

    /// Tells of a document that is being accepted.
    #[method(name = "document")]
    async fn document(
        &self,
        #[argument(rename = "call")] request: DocumentRequest,
    ) -> RpcResult<Ack>;

    /// Hands on something for a shard.
    #[method(name = "shard")]
    async fn shard(
        &self,
        #[argument(rename = "call")] request: ShardRequest,
    ) -> RpcResult<ShardResponse>;

    /// Lends slots of an upstream's executors.
    #[method(name = "lend")]
    async fn lend(&self, ask: Ask) -> RpcResult<Loan>;
}
