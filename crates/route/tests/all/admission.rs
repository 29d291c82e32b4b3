use std::time::Duration;

use model::Mono;
use route::decision::Decision;
use route::decision::RefusalReason;
use route::decision::Resend;
use route::decision::RouteRequest;
use route::decision::SendOutcome;

use crate::fixture::observe_service_time;
use crate::fixture::route_request;
use crate::fixture::router;
use crate::fixture::take_all_slots;
use crate::fixture::without_settle_delay;

fn within(ms: u64) -> RouteRequest {
    RouteRequest {
        timeout: Some(Duration::from_millis(ms)),
        ..route_request()
    }
}

fn by(caller: &str) -> RouteRequest {
    RouteRequest {
        caller: Some(caller.to_owned()),
        ..route_request()
    }
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut router = router("entry-1", 1, &["entry-1"], without_settle_delay());
    let now = observe_service_time(&mut router, 100, 30);
    let Decision::Refuse(refusal) = router.route(&within(50), now) else {
        panic!("a service time of 100 ms exceeds a timeout of 50 ms");
    };
    assert_eq!(refusal.reason, RefusalReason::Deadline);
    take_all_slots(&mut router, now);
    assert!(matches!(
        router.route(&within(105), now),
        Decision::Refuse(_)
    ));
    assert!(matches!(
        router.route(&within(5_000), now),
        Decision::Wait(_)
    ));
}

#[test]
fn queued_request_is_refused_as_soon_as_it_cannot_meet_its_deadline() {
    let mut router = router("entry-1", 1, &["entry-1"], without_settle_delay());
    let now = observe_service_time(&mut router, 100, 30);
    take_all_slots(&mut router, now);
    let Decision::Wait(ticket) = router.route(&within(1_000), now) else {
        panic!("no slot is free");
    };
    router.tick(Mono(now.0 + 890));
    assert!(router.take_resolved().is_empty());
    router.tick(Mono(now.0 + 920));
    let resolved = router.take_resolved();
    assert_eq!(resolved.len(), 1);
    assert_eq!(resolved[0].ticket, ticket);
    assert!(matches!(resolved[0].decision, Decision::Refuse(refusal)
        if refusal.reason == RefusalReason::Deadline));
}

#[test]
fn standing_queue_is_shortened_and_its_last_requests_are_refused_at_once() {
    let mut router = router("entry-1", 1, &["entry-1"], without_settle_delay());
    let now = observe_service_time(&mut router, 100, 30);
    take_all_slots(&mut router, now);
    let mut waiting = 0;
    while let Decision::Wait(_) = router.route(&route_request(), now) {
        waiting += 1;
    }
    assert!(waiting > 50, "a burst may be queued: {waiting}");
    router.tick(Mono(now.0 + 250));
    let refused = router.take_resolved().len();
    let limits = route::config::Limits::default();
    let limit = 8 * limits.standing_queue_delay_percent as usize / 100;
    assert_eq!(
        waiting - refused,
        limit,
        "the limit of a standing queue with 8 slots"
    );
}

#[test]
fn callers_share_scarce_slots_by_their_weights() {
    let mut router = router("entry-1", 1, &["entry-1"], without_settle_delay());
    let now = observe_service_time(&mut router, 100, 30);
    let mut open = take_all_slots(&mut router, now);
    let mut owner = std::collections::BTreeMap::new();
    for _ in 0..40 {
        for caller in ["planner", "portal"] {
            if let Decision::Wait(ticket) = router.route(&by(caller), now) {
                owner.insert(ticket, caller);
            }
        }
    }
    let mut served = Vec::new();
    for at in 0..24 {
        let grant = open.remove(0);
        router.finish(&grant, SendOutcome::Answered, Mono(now.0 + at));
        for resolved in router.take_resolved() {
            if let Decision::Send(grant) = resolved.decision {
                served.push(owner[&resolved.ticket]);
                open.push(grant);
            }
        }
    }
    let planner = served.iter().filter(|caller| **caller == "planner").count();
    assert_eq!(served.len(), 24);
    assert!(
        (17..=19).contains(&planner),
        "three quarters of 24 sends: {planner}"
    );
}

#[test]
fn light_caller_is_admitted_to_a_queue_filled_by_a_heavy_caller() {
    let mut router = router("entry-1", 1, &["entry-1"], without_settle_delay());
    let now = observe_service_time(&mut router, 100, 30);
    take_all_slots(&mut router, now);
    while let Decision::Wait(_) = router.route(&by("portal"), now) {}
    let decision = router.route(&by("planner"), now);
    assert!(matches!(decision, Decision::Wait(_)), "{decision:?}");
}

#[test]
fn retries_stay_within_the_budget_when_every_send_fails() {
    let mut router = router("entry-1", 20, &["entry-1"], without_settle_delay());
    let (mut requests, mut sends) = (0u32, 0u32);
    for at in 0..1_000 {
        let now = Mono(at * 10);
        router.tick(now);
        let members = crate::fixture::members(&["entry-1"]);
        let alive = route::RouteUpdate {
            members: Some(members),
            ..route::RouteUpdate::default()
        };
        router.update(alive, now);
        let Decision::Send(mut grant) = router.route(&route_request(), now) else {
            continue;
        };
        requests += 1;
        loop {
            sends += 1;
            router.finish(&grant, SendOutcome::Broken, now);
            match router.resend(&grant, &[grant.executor], Resend::Hedge, now) {
                Some(Decision::Send(next)) => grant = next,
                _ => break,
            }
        }
    }
    assert_eq!(
        requests, 1_000,
        "the cap on ejections leaves executors in service"
    );
    assert!(sends > 1_000, "some requests are retried");
    assert!(sends <= 1_102, "{sends} sends for {requests} requests");
}

#[test]
fn failing_executors_are_ejected_up_to_the_cap_and_readmitted() {
    let mut router = router("entry-1", 10, &["entry-1"], without_settle_delay());
    let mut now = Mono(1);
    for _ in 0..400 {
        now = Mono(now.0 + 1);
        if let Decision::Send(grant) = router.route(&route_request(), now) {
            let bad = ["plan-1", "plan-2", "plan-3"].contains(&grant.executor_id.as_str());
            let send_outcome = if bad {
                SendOutcome::Failed
            } else {
                SendOutcome::Answered
            };
            router.finish(&grant, send_outcome, now);
        }
    }
    let ejected = |router: &route::Router| router.report().upstreams["plan"].ejected.clone();
    assert_eq!(ejected(&router).len(), 2, "the cap of 20 % of 10 executors");
    router.tick(Mono(now.0 + 5_000));
    assert_eq!(ejected(&router).len(), 0, "they are readmitted");
}
