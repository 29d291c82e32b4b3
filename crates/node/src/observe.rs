//! Tells the metrics what this daemon holds, at a steady interval.
//!
//! `docs/OPERATIONS.md` lists each metric. Gauges are of the moment; what only ever grows is told as
//! a counter of what was added since the last time, so that a daemon that starts again does not
//! show as a fall.

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

use crate::cx::Cx;
use crate::shards::input::Snapshot;
use crate::supervisor::PartResult;

/// How often the metrics are told.
pub const INTERVAL: Duration = Duration::from_secs(10);

/// What the counters were at, to tell only what was added.
#[derive(Debug, Default)]
struct Counters {
    seen: Map<String, u64>,
}

/// Tells the metrics until `token` asks for the end.
///
/// # Errors
///
/// None at present; the signature is that of a part.
pub async fn run(cx: Arc<Cx>, token: CancellationToken) -> PartResult {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut counters = Counters::default();
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            _ = ticks.tick() => {}
        }
        let snapshot = cx.shards.snapshot().await;
        tell_control(&cx);
        tell_requests(&cx.metrics, &cx.proxy.report(), &mut counters);
        if let Some(snapshot) = snapshot {
            tell_tasks(&cx, &snapshot);
        }
        tell_parts(&cx, &mut counters);
    }
}

/// Members, document and store.
fn tell_control(cx: &Cx) {
    let now = cx.clock.now();
    let (alive, store_at) = {
        let view = cx.view();
        (view.members.alive(now).count(), view.store_at)
    };
    let (version, serve) = {
        let follower = cx.follower();
        (follower.version(), follower.serving_mode(now))
    };
    let metrics = &cx.metrics;
    gauge(metrics, "members.alive", alive as u64);
    gauge(metrics, "document.version", version.0);
    gauge(metrics, "document.serve", level(serve));
    gauge(metrics, "stage", *cx.stage.borrow() as u64);
    if let Some(at) = store_at {
        gauge(metrics, "store.silent_ms", millis(now.since(at)));
    }
}

/// Upstreams and refusals.
fn tell_requests(metrics: &StatsdClient, report: &RouterReport, counters: &mut Counters) {
    gauge(metrics, "requests.held", report.held as u64);
    let far = ("link", "between-regions");
    counters.tell(metrics, "requests.far_bytes", far, report.far_bytes);
    for (upstream, told) in &report.upstreams {
        let tagged = |name: &str, value: u64| {
            metrics
                .gauge_with_tags(name, value)
                .with_tag("upstream", upstream.as_str())
                .send();
        };
        tagged("upstream.slots", told.slots.into());
        tagged("upstream.busy", told.in_flight.into());
        tagged("upstream.waiting", told.waiting as u64);
        tagged("upstream.borrowed", told.borrowed.into());
        tagged("upstream.lent", told.lent.into());
        tagged("upstream.ejected", told.ejected.len() as u64);
        let name = upstream.as_str();
        counters.tell(
            metrics,
            "upstream.requests",
            ("upstream", name),
            told.requests,
        );
        counters.tell(metrics, "upstream.sends", ("upstream", name), told.sends);
    }
    for (reason, count) in &report.refused {
        let reason = reason.replace(' ', "-");
        counters.tell(metrics, "requests.refused", ("reason", &reason), *count);
    }
}

/// Shards and tasks that this daemon owns.
fn tell_tasks(cx: &Cx, snapshot: &Snapshot) {
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
    tell_scheduler(metrics, &snapshot.sched);
}

/// What the scheduler thinks of its workers and tasks; it dumps itself as JSON.
fn tell_scheduler(metrics: &StatsdClient, sched: &Value) {
    let workers = sched.get("workers").and_then(Value::as_array);
    let workers = || workers.into_iter().flatten();
    let with = |flag: &str| {
        let set = |worker: &&Value| worker.get(flag).and_then(Value::as_bool) == Some(true);
        workers().filter(set).count() as u64
    };
    gauge(metrics, "workers.known", workers().count() as u64);
    gauge(metrics, "workers.quarantined", with("quarantined"));
    gauge(metrics, "workers.leaving", with("leaving"));
    let unrunnable = sched.get("unrunnable").and_then(Value::as_u64);
    gauge(metrics, "tasks.unrunnable", unrunnable.unwrap_or_default());
}

/// Restarts of the parts.
fn tell_parts(cx: &Cx, counters: &mut Counters) {
    for part in cx.board.all() {
        let restarts = u64::from(part.restarts);
        counters.tell(
            &cx.metrics,
            "parts.restarts",
            ("part", &part.part),
            restarts,
        );
    }
}

impl Counters {
    /// Tells how much a counter has grown; one that has fallen was started anew.
    fn tell(&mut self, metrics: &StatsdClient, name: &str, tag: (&str, &str), total: u64) {
        let seen = self.seen.entry(format!("{name}/{}", tag.1)).or_default();
        let added = total.checked_sub(*seen).unwrap_or(total);
        *seen = total;
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

/// What this daemon may serve by, as a number: 0 nothing, 1 what two documents have in common, 2 all.
const fn level(serve: ServingMode) -> u64 {
    match serve {
        ServingMode::Nothing => 0,
        ServingMode::Common => 1,
        ServingMode::InForce => 2,
    }
}

fn gauge(metrics: &StatsdClient, name: &str, value: u64) {
    metrics.gauge_with_tags(name, value).send();
}
