//! Reports metrics of this daemon at a fixed interval.
//!
//! `docs/OPERATIONS.md` lists each metric. Gauges are current values. Totals that only grow are
//! reported as the increment since the last report, so that a restart of the daemon does not show
//! as a decrease.

use std::sync::Arc;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use conf::accept::follower::ServingMode;
use model::Map;
use model::time::millis;
use route::report::RouterReport;
use serde_json::Value;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::context::DaemonContext;
use crate::shards::input::Snapshot;
use crate::supervisor::PartResult;

/// Interval between two reports.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// The totals at the last report, from which increments are computed.
#[derive(Debug, Default)]
struct Counters {
    reported: Map<String, u64>,
}

/// Reports metrics until `token` is cancelled.
///
/// # Errors
///
/// Currently never fails; the signature is that of a part.
pub async fn run(cx: Arc<DaemonContext>, token: CancellationToken) -> PartResult {
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut counters = Counters::default();
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            _ = ticks.tick() => {}
        }
        let snapshot = cx.shards.snapshot().await;
        report_control(&cx);
        report_requests(&cx.metrics, &cx.proxy.report(), &mut counters);
        if let Some(snapshot) = snapshot {
            report_tasks(&cx, &snapshot);
        }
        report_parts(&cx, &mut counters);
    }
}

/// Reports members, document, lifecycle stage and store.
fn report_control(cx: &DaemonContext) {
    let now = cx.clock.now();
    let (alive, store_answered_at) = {
        let view = cx.view();
        (view.members.alive(now).count(), view.store_answered_at)
    };
    let (version, serve) = {
        let follower = cx.follower();
        (follower.version(), follower.serving_mode(now))
    };
    let metrics = &cx.metrics;
    gauge(metrics, "members.alive", alive as u64);
    gauge(metrics, "document.version", version.0);
    gauge(metrics, "document.serve", serving_level(serve));
    gauge(metrics, "stage", *cx.stage.borrow() as u64);
    if let Some(at) = store_answered_at {
        gauge(metrics, "store.silent_ms", millis(now.since(at)));
    }
}

/// Reports upstreams and refused requests.
fn report_requests(metrics: &StatsdClient, report: &RouterReport, counters: &mut Counters) {
    gauge(metrics, "requests.held", report.parked as u64);
    let tag = ("link", "between-regions");
    counters.report(
        metrics,
        "requests.far_bytes",
        tag,
        report.cross_region_bytes,
    );
    for (upstream, status) in &report.upstreams {
        let tagged = |name: &str, value: u64| {
            metrics
                .gauge_with_tags(name, value)
                .with_tag("upstream", upstream.as_str())
                .send();
        };
        tagged("upstream.slots", status.slots.into());
        tagged("upstream.busy", status.in_flight.into());
        tagged("upstream.waiting", status.waiting as u64);
        tagged("upstream.borrowed", status.borrowed.into());
        tagged("upstream.lent", status.lent.into());
        tagged("upstream.ejected", status.ejected.len() as u64);
        let name = upstream.as_str();
        counters.report(
            metrics,
            "upstream.requests",
            ("upstream", name),
            status.requests,
        );
        counters.report(metrics, "upstream.sends", ("upstream", name), status.sends);
    }
    for (reason, count) in &report.refused {
        let reason = reason.replace(' ', "-");
        counters.report(metrics, "requests.refused", ("reason", &reason), *count);
    }
}

/// Reports the shards and tasks that this daemon owns.
fn report_tasks(cx: &DaemonContext, snapshot: &Snapshot) {
    let own = || snapshot.shards.iter().filter(|shard| shard.here);
    let ownerless = snapshot
        .shards
        .iter()
        .filter(|shard| shard.owner.is_none())
        .count();
    let tasks = || own().flat_map(|shard| &shard.tasks);
    let assigned = tasks().filter(|task| task.worker.is_some()).count();
    let metrics = &cx.metrics;
    gauge(metrics, "shards.owned", own().count() as u64);
    gauge(metrics, "shards.ownerless", ownerless as u64);
    gauge(metrics, "tasks.assigned", assigned as u64);
    gauge(metrics, "tasks.queued", (tasks().count() - assigned) as u64);
    gauge(
        metrics,
        "tasks.in_doubt",
        tasks().filter(|task| task.in_doubt).count() as u64,
    );
    report_scheduler(metrics, &snapshot.sched);
}

/// Reports the scheduler's workers and unrunnable tasks from its JSON dump.
fn report_scheduler(metrics: &StatsdClient, sched: &Value) {
    let workers = sched.get("workers").and_then(Value::as_array);
    let workers = || workers.into_iter().flatten();
    let count_flagged = |flag: &str| {
        let is_set = |worker: &&Value| worker.get(flag).and_then(Value::as_bool) == Some(true);
        workers().filter(is_set).count() as u64
    };
    gauge(metrics, "workers.known", workers().count() as u64);
    gauge(metrics, "workers.quarantined", count_flagged("quarantined"));
    gauge(metrics, "workers.leaving", count_flagged("leaving"));
    let unrunnable = sched.get("unrunnable").and_then(Value::as_u64);
    gauge(metrics, "tasks.unrunnable", unrunnable.unwrap_or_default());
}

/// Reports the restarts of the parts.
fn report_parts(cx: &DaemonContext, counters: &mut Counters) {
    for part in cx.board.all() {
        let restarts = u64::from(part.restarts);
        counters.report(
            &cx.metrics,
            "parts.restarts",
            ("part", &part.part),
            restarts,
        );
    }
}

impl Counters {
    /// Reports how much a total has grown. A total that has decreased was restarted from zero.
    fn report(&mut self, metrics: &StatsdClient, name: &str, tag: (&str, &str), total: u64) {
        let reported = self
            .reported
            .entry(format!("{name}/{}", tag.1))
            .or_default();
        let added = total.checked_sub(*reported).unwrap_or(total);
        *reported = total;
        if let Ok(added) = i64::try_from(added)
            && added > 0
        {
            metrics
                .count_with_tags(name, added)
                .with_tag(tag.0, tag.1)
                .send();
        }
    }
}

/// Returns the numeric metric value: 0 for not serving, 1 for the intersection of two documents, 2
/// for the document in force.
const fn serving_level(serve: ServingMode) -> u64 {
    match serve {
        ServingMode::Nothing => 0,
        ServingMode::Common => 1,
        ServingMode::InForce => 2,
    }
}

fn gauge(metrics: &StatsdClient, name: &str, value: u64) {
    metrics.gauge_with_tags(name, value).send();
}
