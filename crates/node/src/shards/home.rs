//! Which shard a new task is queued at.

use conf::doc::Document;
use lease::record::TaskSpec;
use model::Size;
use model::hash::combine_hashes;
use model::hash::stable_hash;
use model::id::ShardId;
use model::place::Place;

/// A shard that a task could be queued at.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The shard.
    pub shard: ShardId,
    /// Where it stands.
    pub place: Place,
    /// The capacity of its largest worker.
    pub largest: Size,
    /// The free room of the worker with the most room.
    pub free: Size,
    /// Whether its owner runs here, which saves a message.
    pub here: bool,
}

/// Picks the shard for a task: one that could hold it, by preference one that has the room now and
/// whose owner runs here; among equals the task's name decides, so that tasks are spread.
///
/// A task that no shard could hold is queued all the same: its owner reports why it cannot run.
#[must_use]
pub fn pick<'a>(
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
    let rank = |one: &Candidate| {
        let suits = allowed(&one.place) && spec.size.fits(&one.largest);
        let has_room = suits && spec.size.fits(&one.free);
        let spread = combine_hashes(
            stable_hash(spec.task.as_str().as_bytes()),
            stable_hash(one.shard.as_str().as_bytes()),
        );
        (suits, has_room, one.here, spread)
    };
    candidates
        .iter()
        .max_by_key(|one| rank(one))
        .map(|one| &one.shard)
}
