//! What a decision costs as the number of executors grows.

use std::hint::black_box;

use model::Mono;
use route::Router;
use route::config::Limits;
use route::verdict::Arrival;
use route::verdict::Finish;
use route::verdict::Grant;
use route::verdict::Verdict;
use tokio::time::Instant;

use super::policy::router;
use super::scenario::Scenario;
use crate::figure::Figure;

/// The executors of RSH today, and at the target size.
const TODAY: usize = 65;
const TARGET: usize = 660;
/// The cost of the decisions about one request that issue 4 asks for, in microseconds.
const TARGET_US: f64 = 2.0;
const ROUNDS: usize = 7;
const REQUESTS: usize = 200_000;

/// Returns the cost per request, from arrival to the end of its send.
pub(super) fn figures() -> Vec<Figure> {
    let (today, today_waiting) = (cost(TODAY, false), cost(TODAY, true));
    let (target, target_waiting) = (cost(TARGET, false), cost(TARGET, true));
    let growth = target / today;
    vec![
        Figure::at_most("decision-65-executors", today, "us", TARGET_US),
        Figure::at_most("decision-660-executors", target, "us", TARGET_US).baseline(today),
        Figure::at_most("decision-growth-65-to-660", growth, "1", 660.0 / 65.0),
        Figure::at_most(
            "decision-queued-65-executors",
            today_waiting,
            "us",
            TARGET_US,
        ),
        Figure::at_most(
            "decision-queued-660-executors",
            target_waiting,
            "us",
            TARGET_US,
        )
        .baseline(today_waiting),
    ]
}

/// Makes a request; one that was passed on before waits here instead of being passed on again.
fn arrival(queued: bool) -> Arrival {
    Arrival {
        path: "/plan/visit".to_owned(),
        hops: u8::from(queued),
        ..Arrival::default()
    }
}

/// Returns the least of several rounds, in microseconds a request; `queued` keeps all slots taken,
/// so that each request waits and is given its slot by the end of another.
fn cost(executors: usize, queued: bool) -> f64 {
    let scenario = Scenario {
        executors,
        ..Scenario::usual()
    };
    let mut router = router(&scenario, 0, Limits::default());
    let mut open = Vec::new();
    let mut now = Mono(1);
    while let Verdict::Send(grant) = router.arrive(&arrival(queued), now) {
        open.push(grant);
    }
    router.tick(now);
    let _ = router.take_resolved();
    let keep = if queued {
        open.len()
    } else {
        open.len() * 4 / 5
    };
    for grant in open.split_off(keep) {
        router.finish(&grant, Finish::Answered, now);
    }
    let mut least = f64::INFINITY;
    for _ in 0..ROUNDS {
        let started = Instant::now();
        for at in 0..REQUESTS {
            now = Mono(now.0 + u64::from(at % 100 == 0));
            one(&mut router, &mut open, &arrival(queued), at, now);
        }
        #[expect(clippy::cast_precision_loss, reason = "a small constant")]
        let each = started.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64;
        least = least.min(each);
        now = Mono(now.0 + 1);
        renew(&mut router, &scenario, now);
    }
    least
}

fn renew(router: &mut Router, scenario: &Scenario, now: Mono) {
    let update = route::RouteUpdate {
        members: Some(super::policy::members(scenario, None)),
        ..route::RouteUpdate::default()
    };
    router.update(update, now);
}

fn one(router: &mut Router, open: &mut Vec<Grant>, req: &Arrival, at: usize, now: Mono) {
    let verdict = router.arrive(black_box(req), now);
    if let Verdict::Send(grant) = verdict {
        open.push(grant);
    }
    let grant = open.swap_remove(at * 7919 % open.len());
    router.finish(&grant, Finish::Answered, now);
    for resolved in router.take_resolved() {
        if let Verdict::Send(grant) = resolved.verdict {
            open.push(grant);
        }
    }
}
