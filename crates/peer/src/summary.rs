//! What a daemon tells the others about its load, so that they can hand off, share and hand over.

use model::Size;
use model::id::DocVersion;
use model::id::ShardId;
use model::id::TeamId;
use model::id::UpstreamId;
use model::place::Place;
use serde::Deserialize;
use serde::Serialize;

/// A daemon's summary; a higher sequence replaces a lower one of the same daemon.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Counts the summaries of one daemon, over all of its lives.
    pub sequence: u64,
    /// The capacity of all workers of the shards it owns.
    #[serde(default)]
    pub capacity: Size,
    /// The room of the shards it owns.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shards: Vec<ShardCapacity>,
    /// What the tasks of each team hold on its shards.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamUsage>,
    /// Upstreams that it has stopped sending to, since another half owns them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub released: Vec<ReleasedUpstream>,
}

/// The room of one shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardCapacity {
    /// The shard.
    pub shard: ShardId,
    /// Where it stands.
    pub place: Place,
    /// The capacity of its largest worker.
    pub largest: Size,
    /// The free room of the worker with the most room.
    pub free: Size,
}

/// What a team's tasks hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// The team.
    pub team: TeamId,
    /// What is reserved for its tasks.
    pub used: Size,
}

/// An upstream that is released, under the document that gave it away.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedUpstream {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The document that names another owner.
    pub doc: DocVersion,
}
