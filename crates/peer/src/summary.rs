//! The summary of a daemon's load, which other daemons use to move tasks to its shards, to enforce
//! quotas and to hand over upstreams.

use model::Size;
use model::id::DocVersion;
use model::id::ShardId;
use model::id::TeamId;
use model::id::UpstreamId;
use model::place::Place;
use serde::Deserialize;
use serde::Serialize;

/// The summary of a daemon; a higher sequence supersedes a lower one of the same daemon.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The sequence number of the summary, which increases over all incarnations of the daemon.
    pub sequence: u64,
    /// The total capacity of all workers of the shards that it owns.
    #[serde(default)]
    pub capacity: Size,
    /// The capacity of each shard that it owns.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shards: Vec<ShardCapacity>,
    /// The resources reserved by each team on its shards.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamUsage>,
    /// The upstreams to which it has stopped sending, because another half owns them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub released: Vec<ReleasedUpstream>,
}

/// The capacity of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardCapacity {
    /// The id of the shard.
    pub shard: ShardId,
    /// The region and data centre of the shard.
    pub place: Place,
    /// The total capacity of its largest worker.
    pub largest: Size,
    /// The free capacity of the worker with the most free capacity.
    pub free: Size,
}

/// The resources reserved by a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// The id of the team.
    pub team: TeamId,
    /// The resources that are reserved for its tasks.
    pub used: Size,
}

/// An upstream that a half has released to its new owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedUpstream {
    /// The id of the upstream.
    pub upstream: UpstreamId,
    /// The version of the document that assigns the upstream to the new owner.
    pub doc: DocVersion,
}
