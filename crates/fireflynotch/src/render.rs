//! Plain-text rendering of API responses.

use conf::api::ApplyReply;
use conf::api::HandoverView;
use conf::api::StatusView;
use conf::api::TaskPage;
use conf::diff::Change;
use conf::diff::Conflict;
use model::id::DaemonId;

use crate::table::format_table;

/// Renders the changes of a document, one a line.
#[must_use]
pub fn changes(changes: &[Change]) -> String {
    if changes.is_empty() {
        return "No changes.\n".to_owned();
    }
    changes
        .iter()
        .map(|change| format!("  {}\n", change.summary))
        .collect()
}

/// Renders the entries that two operators changed in different ways, one a line.
#[must_use]
pub fn conflicts(conflicts: &[Conflict]) -> String {
    let line = |conflict: &Conflict| {
        format!(
            "  yours: {}; theirs: {}\n",
            conflict.ours.summary, conflict.theirs.summary
        )
    };
    conflicts.iter().map(line).collect()
}

/// Joins daemon names with commas.
#[must_use]
pub fn join_names(daemons: &[DaemonId]) -> String {
    let names: Vec<&str> = daemons.iter().map(DaemonId::as_str).collect();
    names.join(", ")
}

/// Renders the outcome of `apply`, without the findings.
#[must_use]
pub fn apply_reply(reply: &ApplyReply) -> String {
    match reply {
        ApplyReply::Accepted {
            version,
            changes,
            in_force,
            pending,
            passed_over,
        } => {
            let mut text = format!("Accepted as version {version}.\n");
            text.push_str(&self::changes(changes));
            let lists = [
                ("In force on", in_force),
                ("Not yet known to be in force on", pending),
                ("Passed over, because they cannot be serving:", passed_over),
            ];
            for (label, daemons) in lists.iter().filter(|(_, daemons)| !daemons.is_empty()) {
                text.push_str(&format!("{label} {}\n", join_names(daemons)));
            }
            text
        }
        ApplyReply::Invalid { .. } => String::new(),
        ApplyReply::Overtaken {
            version,
            by,
            theirs,
            conflicts,
        } => {
            let mut text = format!("Not applied: {by} came first with version {version}:\n");
            text.push_str(&self::changes(theirs));
            if !conflicts.is_empty() {
                text.push_str("Both changed:\n");
                text.push_str(&self::conflicts(conflicts));
            }
            text
        }
        ApplyReply::Unreachable { daemons } => format!(
            "Not applied: {} may be serving and did not answer.\nIf a daemon is known to be dead, exclude it with `--without NAME`.\n",
            join_names(daemons)
        ),
    }
}

/// Renders the status of a daemon and of the cluster as it sees it.
#[must_use]
pub fn status(status: &StatusView) -> String {
    let ready = match (status.draining, status.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let store = status.store_silent_ms.map_or_else(
        || "the table has not answered yet".to_owned(),
        |ms| format!("the table answered {ms} ms ago"),
    );
    let summary = format!(
        "{} is {ready}, with version {} of the document; {store}.\n",
        status.daemon, status.version
    );
    let tasks: Vec<String> = status
        .tasks
        .iter()
        .map(|(state, count)| format!("{count} {state}"))
        .collect();
    [
        summary,
        members_table(status),
        upstreams_table(status),
        shards_table(status),
        format!("Tasks of its shards: {}\n", tasks.join(", ")),
    ]
    .join("\n")
}

fn members_table(status: &StatusView) -> String {
    let rows: Vec<[String; 6]> = status
        .members
        .iter()
        .map(|member| {
            [
                member.daemon.to_string(),
                member.half.to_string(),
                format!("{}/{}", member.place.region, member.place.data_centre),
                member.state.clone(),
                member.version.to_string(),
                format!("{} ms", member.silent_ms),
            ]
        })
        .collect();
    format_table(
        ["DAEMON", "HALF", "PLACE", "STATE", "VERSION", "SILENT"],
        &rows,
    )
}

fn upstreams_table(status: &StatusView) -> String {
    let rows: Vec<[String; 5]> = status
        .upstreams
        .iter()
        .map(|upstream| {
            [
                upstream.upstream.to_string(),
                upstream.half.to_string(),
                upstream.executors.to_string(),
                format!("{}/{}", upstream.busy, upstream.slots),
                upstream
                    .handover
                    .as_ref()
                    .map_or_else(String::new, handover),
            ]
        })
        .collect();
    format_table(
        ["UPSTREAM", "HALF", "EXECUTORS", "SLOTS", "HANDOVER"],
        &rows,
    )
}

fn handover(handover: &HandoverView) -> String {
    let transition = format!("{} to {}, {}", handover.from, handover.to, handover.step);
    if handover.waiting_for.is_empty() {
        return transition;
    }
    format!(
        "{transition}, waiting for {}",
        join_names(&handover.waiting_for)
    )
}

fn shards_table(status: &StatusView) -> String {
    let rows: Vec<[String; 6]> = status
        .shards
        .iter()
        .map(|shard| {
            let owner = shard.owner.as_ref();
            [
                shard.shard.to_string(),
                owner.map_or_else(|| "-".to_owned(), ToString::to_string),
                shard.epoch.to_string(),
                shard.workers.to_string(),
                shard.queued.to_string(),
                shard.assigned.to_string(),
            ]
        })
        .collect();
    format_table(
        ["SHARD", "OWNER", "EPOCH", "WORKERS", "QUEUED", "ASSIGNED"],
        &rows,
    )
}

/// Renders a page of tasks as a table.
#[must_use]
pub fn tasks(page: &TaskPage) -> String {
    let rows: Vec<[String; 8]> = page
        .tasks
        .iter()
        .map(|task| {
            let worker = task.worker.as_ref();
            [
                task.task.to_string(),
                task.state.as_str().to_owned(),
                task.team.to_string(),
                task.class.to_string(),
                worker.map_or_else(|| "-".to_owned(), ToString::to_string),
                task.attempt.to_string(),
                task.evictions.to_string(),
                task.reason.clone().unwrap_or_default(),
            ]
        })
        .collect();
    format_table(
        [
            "TASK",
            "STATE",
            "TEAM",
            "CLASS",
            "WORKER",
            "ATTEMPT",
            "EVICTIONS",
            "REASON",
        ],
        &rows,
    )
}
