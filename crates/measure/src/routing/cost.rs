//! Cost of a routing decision as the number of executors grows.

use std::hint::black_box;

use model::Mono;
use route::Router;
use route::config::Limits;
use route::decision::Decision;
use route::decision::Grant;
use route::decision::RouteRequest;
use route::decision::SendOutcome;
use route::router::TICK;
use tokio::time::Instant;

use super::policy::router;
use super::scenario::Scenario;
use crate::figure::Figure;

/// Executors of RSH at present.
const CURRENT_EXECUTORS: usize = 65;
/// Executors at the target size.
const TARGET_EXECUTORS: usize = 660;
/// Target for the cost of all decisions about one request in microseconds, from issue 4.
const TARGET_COST_US: f64 = 2.0;
/// Maximum fraction of a core that the router's timer may use: a tenth of a daemon's control budget.
const TARGET_TICK_CORE: f64 = 0.003;
const ROUNDS: usize = 7;
const TIMER_TICKS: u32 = 2_000;
const MEMBER_CHANGES: u32 = 50;
const REQUESTS_PER_ROUND: usize = 200_000;

/// Returns the cost of the decisions per request, from its arrival to the end of its send, and of
/// the router's other work.
pub(super) fn figures() -> Vec<Figure> {
    let (current, current_waiting) = (
        cost(CURRENT_EXECUTORS, false),
        cost(CURRENT_EXECUTORS, true),
    );
    let (target, target_waiting) = (cost(TARGET_EXECUTORS, false), cost(TARGET_EXECUTORS, true));
    let growth = target / current;
    vec![
        Figure::at_most("decision-65-executors", current, "us", TARGET_COST_US),
        Figure::at_most("decision-660-executors", target, "us", TARGET_COST_US).baseline(current),
        Figure::at_most("decision-growth-65-to-660", growth, "1", 660.0 / 65.0),
        Figure::at_most(
            "decision-queued-65-executors",
            current_waiting,
            "us",
            TARGET_COST_US,
        ),
        Figure::at_most(
            "decision-queued-660-executors",
            target_waiting,
            "us",
            TARGET_COST_US,
        )
        .baseline(current_waiting),
        Figure::at_most(
            "timer-660-executors",
            timer_cost(),
            "core",
            TARGET_TICK_CORE,
        ),
        Figure::reported("member-change-660-executors", member_change_cost(), "us"),
    ]
}

/// Returns the fraction of a core that the router's timer uses while requests are queued.
fn timer_cost() -> f64 {
    let scenario = Scenario {
        executors: TARGET_EXECUTORS,
        ..Scenario::usual()
    };
    let mut router = router(&scenario, 0, Limits::default());
    let now = Mono(1);
    while let Decision::Send(_) = router.route(&request(true), now) {}
    for _ in 0..100 {
        router.route(&request(true), now);
    }
    let started = Instant::now();
    for _ in 0..TIMER_TICKS {
        router.tick(black_box(now));
    }
    started.elapsed().as_secs_f64() / f64::from(TIMER_TICKS) / TICK.as_secs_f64()
}

/// Returns the cost of redistributing all slots after a member change, in microseconds.
fn member_change_cost() -> f64 {
    let scenario = Scenario {
        executors: TARGET_EXECUTORS,
        daemons: 9,
        ..Scenario::usual()
    };
    let mut router = router(&scenario, 0, Limits::default());
    let started = Instant::now();
    for change in 0..MEMBER_CHANGES {
        let lost = (change % 2 == 0).then_some(8);
        let update = route::RouteUpdate {
            members: Some(super::policy::members(&scenario, lost)),
            ..route::RouteUpdate::default()
        };
        router.update(update, Mono(u64::from(change)));
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(MEMBER_CHANGES)
}

/// Creates a request. If `queued` is set, it counts as already forwarded once, so that it waits
/// here instead of being forwarded again.
fn request(queued: bool) -> RouteRequest {
    RouteRequest {
        path: "/plan/visit".to_owned(),
        hops: u8::from(queued),
        ..RouteRequest::default()
    }
}

/// Returns the minimum of several rounds, in microseconds per request.
///
/// If `queued` is set, all slots stay occupied, so that each request waits until another one ends
/// and takes over its slot.
fn cost(executors: usize, queued: bool) -> f64 {
    let scenario = Scenario {
        executors,
        ..Scenario::usual()
    };
    let mut router = router(&scenario, 0, Limits::default());
    let mut open = Vec::new();
    let mut now = Mono(1);
    while let Decision::Send(grant) = router.route(&request(queued), now) {
        open.push(grant);
    }
    router.tick(now);
    let _ = router.take_resolved();
    let open_count = if queued {
        open.len()
    } else {
        open.len() * 4 / 5
    };
    for grant in open.split_off(open_count) {
        router.finish(&grant, SendOutcome::Answered, now);
    }
    let mut least = f64::INFINITY;
    for _ in 0..ROUNDS {
        let started = Instant::now();
        for index in 0..REQUESTS_PER_ROUND {
            now = Mono(now.0 + u64::from(index % 100 == 0));
            route_and_finish(&mut router, &mut open, &request(queued), index, now);
        }
        #[expect(clippy::cast_precision_loss, reason = "a small constant")]
        let us_per_request = started.elapsed().as_secs_f64() * 1e6 / REQUESTS_PER_ROUND as f64;
        least = least.min(us_per_request);
        now = Mono(now.0 + 1);
        renew_members(&mut router, &scenario, now);
    }
    least
}

fn renew_members(router: &mut Router, scenario: &Scenario, now: Mono) {
    let update = route::RouteUpdate {
        members: Some(super::policy::members(scenario, None)),
        ..route::RouteUpdate::default()
    };
    router.update(update, now);
}

fn route_and_finish(
    router: &mut Router,
    open: &mut Vec<Grant>,
    req: &RouteRequest,
    index: usize,
    now: Mono,
) {
    let decision = router.route(black_box(req), now);
    if let Decision::Send(grant) = decision {
        open.push(grant);
    }
    let grant = open.swap_remove(index * 7919 % open.len());
    router.finish(&grant, SendOutcome::Answered, now);
    for resolved in router.take_resolved() {
        if let Decision::Send(grant) = resolved.decision {
            open.push(grant);
        }
    }
}
