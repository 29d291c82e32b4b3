//! The RPC interface between daemons, over `jsonrpsee`.

use std::collections::BTreeMap;

use conf::accept::message::Ack;
use conf::accept::message::Digest;
use conf::accept::message::DocumentDelta;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use model::id::RowVersion;
use model::id::ShardId;
use model::id::TaskId;
use route::slots::SlotLoan;
use route::slots::SlotRequest;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::gossip::Exchange;

/// The largest accepted request or response, in bytes.
pub const MAX_MESSAGE_BYTES: u32 = 1 << 20;

/// A gossip request with the sender's state of the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipRequest {
    /// The heartbeats and summaries of the sender.
    pub exchange: Exchange,
    /// The highest ballot that the sender has seen and the version of its active document.
    pub digest: Digest,
}

/// The response to a [`GossipRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipResponse {
    /// The heartbeats and summaries of the receiver.
    pub exchange: Exchange,
    /// The receiver's state of the document, without what the sender has according to its digest.
    #[serde(rename = "news")]
    pub delta: DocumentDelta,
}

/// A step of a proposer in the acceptance of a document; the response is an [`Ack`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "tell", rename_all = "kebab-case")]
pub enum DocumentRequest {
    /// Stages a document.
    Push {
        /// The document to stage, under the ballot that it contains.
        #[serde(rename = "news")]
        delta: DocumentDelta,
    },
    /// Activates the document that was staged under the ballot.
    Committed {
        /// The ballot of the document.
        ballot: RowVersion,
    },
    /// Discards the document that was staged under the ballot, which will never become active.
    Abandoned {
        /// The ballot of the document.
        ballot: RowVersion,
    },
}

/// A request to the owner of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum ShardRequest {
    /// Queues a task; `spec` has the structure of the task rows in the table.
    Submit {
        /// The shard of the task.
        shard: ShardId,
        /// The specification of the task.
        spec: Value,
    },
    /// Cancels a task.
    Cancel {
        /// The shard of the task.
        shard: ShardId,
        /// The id of the task.
        task: TaskId,
    },
    /// Scans the table for task rows that were moved to the shard.
    Rescan {
        /// The shard to scan.
        shard: ShardId,
    },
    /// Requests the wait reasons of queued tasks of the shard.
    #[serde(rename = "held")]
    WaitReasons {
        /// The shard of the tasks.
        shard: ShardId,
        /// The ids of the tasks.
        tasks: Vec<TaskId>,
    },
    /// Declares a worker lost at the request of an operator.
    WorkerLost {
        /// The shard of the worker.
        shard: ShardId,
        /// The id of the worker.
        worker: model::id::WorkerId,
    },
}

/// The response to a [`ShardRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum ShardResponse {
    /// The request took effect.
    Done,
    /// The wait reasons of those of the tasks that are queued.
    #[serde(rename = "held")]
    WaitReasons {
        /// The wait reason of each task as a sentence.
        reasons: BTreeMap<TaskId, String>,
    },
    /// The request certainly did not take effect.
    Refused {
        /// The reason, which is shown to the client.
        reason: String,
    },
    /// The receiver does not own the shard, so the request did not take effect.
    NotOwner,
    /// The request may or may not have taken effect.
    Unknown,
}

/// The RPC methods that a daemon provides to other daemons.
#[rpc(server, client, namespace = "peer")]
pub trait Peer {
    /// Exchanges heartbeats and summaries.
    #[method(name = "gossip")]
    async fn gossip(
        &self,
        #[argument(rename = "question")] request: GossipRequest,
    ) -> RpcResult<GossipResponse>;

    /// Executes a step in the acceptance of a document.
    #[method(name = "document")]
    async fn document(
        &self,
        #[argument(rename = "call")] request: DocumentRequest,
    ) -> RpcResult<Ack>;

    /// Executes a request for a shard that this daemon owns.
    #[method(name = "shard")]
    async fn shard(
        &self,
        #[argument(rename = "call")] request: ShardRequest,
    ) -> RpcResult<ShardResponse>;

    /// Lends slots of an upstream's executors.
    #[method(name = "lend")]
    async fn lend(&self, #[argument(rename = "ask")] request: SlotRequest) -> RpcResult<SlotLoan>;
}
