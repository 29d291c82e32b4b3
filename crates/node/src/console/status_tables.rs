//! Tables of the daemon's status: members, upstreams, handovers and shards.

use conf::api::HandoverView;
use conf::api::MemberView;
use conf::api::ShardView;
use conf::api::StatusView;
use conf::api::UpstreamView;

use crate::console::html::Element;
use crate::console::page::table;
use crate::console::state_pages::place;

/// Renders the daemons that this one knows.
pub(super) fn members(members: &[MemberView]) -> Element {
    let row = |member: &MemberView| {
        vec![
            member.daemon.to_string(),
            member.half.to_string(),
            place(&member.place),
            member.state.clone(),
            member.version.to_string(),
            member.silent_ms.to_string(),
        ]
    };
    table(
        "Daemons as this one sees them",
        &[
            "Daemon",
            "Half",
            "Place",
            "State",
            "Version",
            "Silent for ms",
        ],
        members.iter().map(row).collect(),
    )
}

/// Renders the upstreams with the slots of this daemon.
pub(super) fn upstreams(upstreams: &[UpstreamView]) -> Element {
    let row = |upstream: &UpstreamView| {
        vec![
            upstream.upstream.to_string(),
            upstream.half.to_string(),
            upstream.executors.to_string(),
            upstream.slots.to_string(),
            upstream.busy.to_string(),
            upstream
                .handover
                .as_ref()
                .map_or("none", |handover| &handover.step)
                .to_owned(),
        ]
    };
    table(
        "Upstreams; slots are those that this daemon may use",
        &["Upstream", "Half", "Executors", "Slots", "Busy", "Handover"],
        upstreams.iter().map(row).collect(),
    )
}

/// Renders the handovers in progress.
pub(super) fn handovers(status: &StatusView) -> Element {
    let row = |(upstream, handover): (&UpstreamView, &HandoverView)| {
        let waiting: Vec<&str> = handover
            .waiting_for
            .iter()
            .map(|daemon| daemon.as_str())
            .collect();
        vec![
            upstream.upstream.to_string(),
            handover.from.to_string(),
            handover.to.to_string(),
            handover.step.clone(),
            waiting.join(", "),
        ]
    };
    let in_handover = |upstream: &'_ UpstreamView| upstream.handover.is_some();
    let rows = status
        .upstreams
        .iter()
        .filter(|upstream| in_handover(upstream));
    let rows = rows.filter_map(|upstream| Some(row((upstream, upstream.handover.as_ref()?))));
    table(
        "Handovers in progress",
        &["Upstream", "From", "To", "Step", "Waits for"],
        rows.collect(),
    )
}

/// Renders the shards with their owners.
pub(super) fn shards(shards: &[ShardView]) -> Element {
    let row = |shard: &ShardView| {
        vec![
            shard.shard.to_string(),
            shard
                .owner
                .as_ref()
                .map_or_else(|| "nobody".into(), ToString::to_string),
            shard.epoch.to_string(),
            shard.workers.to_string(),
            shard.queued.to_string(),
            shard.assigned.to_string(),
        ]
    };
    table(
        "Shards; queues and tasks are counted at the owner",
        &["Shard", "Owner", "Epoch", "Workers", "Queued", "Assigned"],
        shards.iter().map(row).collect(),
    )
}
