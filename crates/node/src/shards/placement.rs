//! Chooses the shard at which a new task is queued.

use conf::doc::Document;
use lease::record::TaskSpec;
use model::Size;
use model::hash::combine_hashes;
use model::hash::stable_hash;
use model::id::ShardId;
use model::place::Place;

/// A shard at which a task could be queued.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Identifier of the shard.
    pub shard: ShardId,
    /// Location of the shard's workers.
    pub place: Place,
    /// Capacity of its largest worker.
    pub largest: Size,
    /// Free capacity of the worker that has the most.
    pub free: Size,
    /// Whether its owner runs in this daemon, which saves a message.
    pub owned_here: bool,
}

/// Chooses the shard for a task. Shards that the task's class allows and whose largest worker is
/// big enough come first, then those with enough free capacity now, then those whose owner runs
/// here. Ties are broken by a hash of the task and the shard, so that tasks are spread.
///
/// A task that fits no shard is queued nevertheless: its owner reports why it cannot run.
#[must_use]
pub fn choose_shard<'a>(
    spec: &TaskSpec,
    document: &Document,
    candidates: &'a [Candidate],
) -> Option<&'a ShardId> {
    let class = document.classes.get(&spec.class);
    let allowed = |place: &Place| {
        class.is_none_or(|class| {
            let region = class.regions.is_empty() || class.regions.contains(&place.region);
            let centres = &class.data_centres;
            region && (centres.is_empty() || centres.contains(&place.data_centre))
        })
    };
    let rank = |candidate: &Candidate| {
        let suits = allowed(&candidate.place) && spec.size.fits(&candidate.largest);
        let has_room = suits && spec.size.fits(&candidate.free);
        let spread = combine_hashes(
            stable_hash(spec.task.as_str().as_bytes()),
            stable_hash(candidate.shard.as_str().as_bytes()),
        );
        (suits, has_room, candidate.owned_here, spread)
    };
    candidates
        .iter()
        .max_by_key(|candidate| rank(candidate))
        .map(|candidate| &candidate.shard)
}
