//! API requests that read state: the document, the check of a text, status, tasks and dump.

use std::collections::BTreeMap;
use std::sync::Arc;

use conf::api::CheckReply;
use conf::api::DocumentView;
use conf::api::HandoverView;
use conf::api::MemberView;
use conf::api::ShardView;
use conf::api::StatusView;
use conf::api::TaskPage;
use conf::api::TaskQuery;
use conf::api::TaskState;
use conf::api::TaskView;
use conf::api::UpstreamView;
use conf::check;
use conf::diff;
use conf::doc::Document;
use http::StatusCode;
use lease::record::JobRow;
use lease::record::Phase;
use lease::record::TaskRow;
use model::Mono;
use model::id::DocVersion;
use model::id::ShardId;
use model::time::millis;
use peer::members::MEMBER_TIMEOUT;
use plat::table::Row;
use plat::table::Scan;
use route::report::HandoverPhase;
use serde_json::json;

use crate::context::DaemonContext;
use crate::context::Stage;
use crate::document::propose;
use crate::operators::ApiError;
use crate::operators::ApiResult;
use crate::operators::wait_reasons::fill_wait_reasons;
use crate::shards::input::ShardStatus;
use crate::shards::input::Snapshot;

/// The maximum number of tasks on one page.
const MAX_PAGE: usize = 500;
/// The retry delay sent when the table does not answer, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// Returns the document in force.
///
/// # Errors
///
/// Returns an error with status 404 if no document is in force yet.
pub fn document(cx: &DaemonContext) -> Result<DocumentView, ApiError> {
    let doc = cx.doc.borrow().clone();
    let Some(doc) = doc else {
        return Err(ApiError::not_run(
            StatusCode::NOT_FOUND,
            "no document is in force yet",
        ));
    };
    Ok(DocumentView {
        version: doc.version,
        text: doc.text.to_string(),
        by: doc.by.clone(),
        op: doc.op.clone(),
    })
}

/// Checks the text of a document and returns its findings and its changes against the document in
/// force.
#[must_use]
pub fn check(cx: &DaemonContext, text: &str) -> CheckReply {
    let doc = cx.doc.borrow().clone();
    let before = doc
        .as_ref()
        .map_or_else(Document::default, |doc| (*doc.document).clone());
    let current = cx.follower().current.clone();
    let changes = check::read(text).map(|after| diff::changes(&before, &after));
    CheckReply {
        base: doc.map_or(DocVersion(0), |doc| doc.version),
        findings: propose::findings(cx, text, current.as_ref()),
        changes: changes.unwrap_or_default(),
    }
}

/// Returns what this daemon knows about itself and the other daemons.
pub async fn status(cx: &Arc<DaemonContext>) -> StatusView {
    let snapshot = cx.shards.snapshot().await;
    let now = cx.clock.now();
    let me = cx.identity();
    let stage = *cx.stage.borrow();
    let shards = snapshot
        .as_ref()
        .map(|snapshot| &snapshot.shards[..])
        .unwrap_or_default();
    let store_answered_at = cx.view().store_answered_at;
    StatusView {
        daemon: me.daemon,
        incarnation: me.incarnation,
        ready: cx.is_ready(),
        draining: stage > Stage::Serving,
        version: cx.follower().version(),
        store_silent_ms: store_answered_at.map(|at| millis(now.since(at))),
        members: members(cx, now),
        upstreams: upstreams(cx, now),
        shards: shards.iter().map(shard_view).collect(),
        tasks: count_by_state(shards),
    }
}

fn members(cx: &DaemonContext, now: Mono) -> Vec<MemberView> {
    let view = cx.view();
    let member = |(daemon, member): (&model::id::DaemonId, &peer::members::Member)| {
        let profile = member.profile.as_ref()?;
        let silent = now.since(member.advanced_at);
        let state = match () {
            () if member.draining => "leaving",
            () if member.count == 0 => "gone",
            () if silent < MEMBER_TIMEOUT => "live",
            () => "silent",
        };
        Some(MemberView {
            daemon: daemon.clone(),
            half: profile.half.clone(),
            place: profile.place.clone(),
            state: state.to_owned(),
            version: member.doc,
            silent_ms: millis(silent),
        })
    };
    view.members.all().filter_map(member).collect()
}

fn upstreams(cx: &DaemonContext, now: Mono) -> Vec<UpstreamView> {
    let Some(doc) = cx.doc.borrow().clone() else {
        return Vec::new();
    };
    let report = cx.proxy.report();
    let hosts = cx.hosts.borrow().clone();
    let upstream = |(id, upstream): (&model::id::UpstreamId, &conf::doc::Upstream)| {
        let reported = report.upstreams.get(id);
        let executors = hosts
            .executors
            .iter()
            .filter(|entry| entry.upstream == *id)
            .count();
        UpstreamView {
            upstream: id.clone(),
            half: upstream.half.clone(),
            handover: reported
                .and_then(|report| handover_view(cx, id, &upstream.half, report.phase, now)),
            executors: executors as u64,
            slots: reported.map_or(0, |report| report.slots.into()),
            busy: reported.map_or(0, |report| report.in_flight.into()),
        }
    };
    doc.document.upstreams.iter().map(upstream).collect()
}

/// Returns the progress of a handover, as far as this daemon takes part in it.
fn handover_view(
    cx: &DaemonContext,
    upstream: &model::id::UpstreamId,
    to: &model::id::HalfId,
    phase: HandoverPhase,
    now: Mono,
) -> Option<HandoverView> {
    let step = match phase {
        HandoverPhase::Releasing => "in-flight",
        HandoverPhase::Waiting => "releasing",
        HandoverPhase::Released => "taken",
        HandoverPhase::Owned | HandoverPhase::Foreign => return None,
    };
    let view = cx.view();
    let mut waiting_for = Vec::new();
    let mut from = None;
    for (daemon, member) in view.members.alive(now) {
        let half = member.profile.as_ref().map(|profile| profile.half.clone());
        if half.as_ref() == Some(to) {
            continue;
        }
        from = from.or(half);
        let mut summaries = view.gossip.summaries(&view.members, now);
        let summary = summaries.find(|(sender, _)| *sender == daemon);
        let released = summary.is_some_and(|(_, summary)| {
            summary
                .released
                .iter()
                .any(|release| release.upstream == *upstream)
        });
        if !released && phase == HandoverPhase::Waiting {
            waiting_for.push(daemon.clone());
        }
    }
    let from = from.unwrap_or_else(|| cx.settings.half.clone());
    Some(HandoverView {
        from,
        to: to.clone(),
        step: step.to_owned(),
        waiting_for,
    })
}

fn shard_view(status: &ShardStatus) -> ShardView {
    let assigned = status
        .tasks
        .iter()
        .filter(|task| task.worker.is_some())
        .count();
    ShardView {
        shard: status.shard.clone(),
        owner: status.owner.clone(),
        epoch: status.epoch,
        workers: status.workers as u64,
        queued: (status.tasks.len() - assigned) as u64,
        assigned: assigned as u64,
    }
}

fn count_by_state(shards: &[ShardStatus]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for task in shards.iter().flat_map(|shard| &shard.tasks) {
        let state = if task.worker.is_some() {
            TaskState::Assigned
        } else {
            TaskState::Queued
        };
        *counts.entry(state.as_str().to_owned()).or_default() += 1;
    }
    counts
}

/// Returns one page of tasks. Queued and assigned tasks are read from their task rows, ended tasks
/// from the rows that reserve their names.
///
/// # Errors
///
/// Returns an error if the table does not answer.
pub async fn tasks(cx: &DaemonContext, query: &TaskQuery) -> Result<TaskPage, ApiError> {
    let ended = matches!(
        query.state,
        Some(TaskState::Succeeded | TaskState::Failed | TaskState::Cancelled)
    );
    let prefix = if ended { "job/" } else { "task/" };
    let limit = query
        .limit
        .map_or(MAX_PAGE, |limit| (limit as usize).clamp(1, MAX_PAGE));
    let scan = Scan {
        prefix: prefix.to_owned(),
        after: query.after.clone(),
        limit,
    };
    let rows = (cx.platform.table.scan)(scan).await.map_err(|error| {
        ApiError::retry_later(
            format!("the table does not answer: {error}"),
            RETRY_AFTER_MS,
        )
    })?;
    let next = (rows.len() == limit)
        .then(|| rows.last().map(|row| row.key.clone()))
        .flatten();
    let read = |row: Row| {
        if ended {
            ended_task(row)
        } else {
            live_task(row)
        }
    };
    let wanted = |task: &TaskView| {
        query.state.is_none_or(|state| state == task.state)
            && query.team.as_ref().is_none_or(|team| *team == task.team)
            && query
                .class
                .as_ref()
                .is_none_or(|class| *class == task.class)
    };
    let mut tasks: Vec<TaskView> = rows.into_iter().filter_map(read).filter(wanted).collect();
    fill_wait_reasons(cx, &mut tasks).await;
    Ok(TaskPage { tasks, next })
}

fn live_task(row: Row) -> Option<TaskView> {
    let shard = ShardId::new(row.key.split('/').nth(1)?);
    let task: TaskRow = serde_json::from_value(row.value).ok()?;
    let worker = task.worker().cloned();
    Some(TaskView {
        state: state_of(&task.phase),
        attempt: task.attempt,
        shard,
        worker,
        evictions: task.evictions,
        failures: task.failures,
        reason: None,
        task: task.spec.task,
        team: task.spec.team,
        class: task.spec.class,
    })
}

fn ended_task(row: Row) -> Option<TaskView> {
    let job: JobRow = serde_json::from_value(row.value).ok()?;
    let end = job.end?;
    let reason = match &end {
        Phase::Failed { reason } => Some(reason.clone()),
        _ => None,
    };
    Some(TaskView {
        state: state_of(&end),
        attempt: model::id::Attempt(0),
        shard: job.shard,
        worker: None,
        evictions: 0,
        failures: 0,
        reason,
        task: job.spec.task,
        team: job.spec.team,
        class: job.spec.class,
    })
}

fn state_of(phase: &Phase) -> TaskState {
    match phase {
        Phase::Queued => TaskState::Queued,
        Phase::Assigned { .. } => TaskState::Assigned,
        Phase::Succeeded => TaskState::Succeeded,
        Phase::Failed { .. } => TaskState::Failed,
        Phase::Cancelled => TaskState::Cancelled,
    }
}

/// Returns the resident memory of the process in MB (10^6 bytes), if `/proc` is available.
fn resident_memory_mb() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes / 1000)
}

/// Returns a dump of the daemon's state.
///
/// # Errors
///
/// Never returns an error at present; the signature is that of the other API requests.
pub async fn dump(cx: &Arc<DaemonContext>) -> ApiResult {
    let snapshot: Option<Snapshot> = cx.shards.snapshot().await;
    let (members, contact_count, store_answered_at) = {
        let view = cx.view();
        let members = serde_json::to_value(&view.members).unwrap_or_default();
        (members, view.contacts.len(), view.store_answered_at)
    };
    let follower = cx.follower().clone();
    let now = cx.clock.now();
    Ok(json!({
        "daemon": cx.settings.daemon,
        "incarnation": cx.identity().incarnation,
        "uptime_ms": now.0,
        "memory_mb": resident_memory_mb(),
        "stage": *cx.stage.borrow(),
        "store_silent_ms": store_answered_at.map(|at| millis(now.since(at))),
        "parts": cx.board.all(),
        "members": members,
        "heard_from": contact_count,
        "document": {
            "version": follower.version(),
            "ballot": follower.ballot,
            "staged": follower.staged.as_ref().map(|staged| staged.version),
            "serve": format!("{:?}", follower.serving_mode(now)),
            "known_ago_ms": millis(now.since(follower.confirmed_at)),
            "contact_ago_ms": follower.contact_at.map(|at| millis(now.since(at))),
        },
        "requests": cx.proxy.report(),
        "tasks": snapshot,
    }))
}
