use std::time::Duration;

use model::Mono;
use route::verdict::Arrival;
use route::verdict::Finish;
use route::verdict::Reason;
use route::verdict::Verdict;

use crate::world::arrival;
use crate::world::at_once;
use crate::world::fill;
use crate::world::router;
use crate::world::teach;

fn within(ms: u64) -> Arrival {
    Arrival {
        patience: Some(Duration::from_millis(ms)),
        ..arrival()
    }
}

fn by(caller: &str) -> Arrival {
    Arrival {
        caller: Some(caller.to_owned()),
        ..arrival()
    }
}

#[test]
fn request_that_cannot_make_its_deadline_is_refused_at_once() {
    let mut router = router("entry-1", 1, &["entry-1"], at_once());
    let now = teach(&mut router, 100, 30);
    let Verdict::Refuse(refusal) = router.arrive(&within(50), now) else {
        panic!("50 ms are too short for 100 ms of work");
    };
    assert_eq!(refusal.reason, Reason::Deadline);
    fill(&mut router, now);
    assert!(matches!(
        router.arrive(&within(105), now),
        Verdict::Refuse(_)
    ));
    assert!(matches!(
        router.arrive(&within(5_000), now),
        Verdict::Wait(_)
    ));
}

#[test]
fn waiting_request_is_given_up_as_soon_as_it_has_become_hopeless() {
    let mut router = router("entry-1", 1, &["entry-1"], at_once());
    let now = teach(&mut router, 100, 30);
    fill(&mut router, now);
    let Verdict::Wait(ticket) = router.arrive(&within(1_000), now) else {
        panic!("no slot is free");
    };
    router.tick(Mono(now.0 + 890));
    assert!(router.take_resolved().is_empty());
    router.tick(Mono(now.0 + 920));
    let resolved = router.take_resolved();
    assert_eq!(resolved.len(), 1);
    assert_eq!(resolved[0].ticket, ticket);
    assert!(matches!(resolved[0].verdict, Verdict::Refuse(refusal)
        if refusal.reason == Reason::Deadline));
}

#[test]
fn standing_queue_is_cut_short_and_its_last_ones_are_told_at_once() {
    let mut router = router("entry-1", 1, &["entry-1"], at_once());
    let now = teach(&mut router, 100, 30);
    fill(&mut router, now);
    let mut waiting = 0;
    while let Verdict::Wait(_) = router.arrive(&arrival(), now) {
        waiting += 1;
    }
    assert!(waiting > 50, "a burst may wait: {waiting}");
    router.tick(Mono(now.0 + 250));
    let refused = router.take_resolved().len();
    let limits = route::config::Limits::default();
    let kept = 8 * limits.standing_delay_percent as usize / 100;
    assert_eq!(waiting - refused, kept, "of 8 slots");
}

#[test]
fn callers_share_scarce_slots_by_their_weights() {
    let mut router = router("entry-1", 1, &["entry-1"], at_once());
    let now = teach(&mut router, 100, 30);
    let mut open = fill(&mut router, now);
    let mut owner = std::collections::BTreeMap::new();
    for _ in 0..40 {
        for caller in ["planner", "portal"] {
            if let Verdict::Wait(ticket) = router.arrive(&by(caller), now) {
                owner.insert(ticket, caller);
            }
        }
    }
    let mut served = Vec::new();
    for at in 0..24 {
        let grant = open.remove(0);
        router.finish(&grant, Finish::Answered, Mono(now.0 + at));
        for resolved in router.take_resolved() {
            if let Verdict::Send(grant) = resolved.verdict {
                served.push(owner[&resolved.ticket]);
                open.push(grant);
            }
        }
    }
    let planner = served.iter().filter(|caller| **caller == "planner").count();
    assert_eq!(served.len(), 24);
    assert!((17..=19).contains(&planner), "3 of 4 of 24: {planner}");
}

#[test]
fn light_caller_is_admitted_to_a_queue_filled_by_a_heavy_one() {
    let mut router = router("entry-1", 1, &["entry-1"], at_once());
    let now = teach(&mut router, 100, 30);
    fill(&mut router, now);
    while let Verdict::Wait(_) = router.arrive(&by("portal"), now) {}
    let verdict = router.arrive(&by("planner"), now);
    assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
}

#[test]
fn sends_beyond_the_first_stay_within_the_budget_when_all_fails() {
    let mut router = router("entry-1", 20, &["entry-1"], at_once());
    let (mut requests, mut sends) = (0u32, 0u32);
    for at in 0..1_000 {
        let now = Mono(at * 10);
        router.tick(now);
        let members = crate::world::members(&["entry-1"]);
        let alive = route::RouteUpdate {
            members: Some(members),
            ..route::RouteUpdate::default()
        };
        router.update(alive, now);
        let Verdict::Send(mut grant) = router.arrive(&arrival(), now) else {
            continue;
        };
        requests += 1;
        loop {
            sends += 1;
            router.finish(&grant, Finish::Broken, now);
            match router.again(&grant, &[grant.executor], true, false, now) {
                Some(Verdict::Send(next)) => grant = next,
                _ => break,
            }
        }
    }
    assert_eq!(
        requests, 1_000,
        "ejection is capped, so some executor is left"
    );
    assert!(sends > 1_000, "retries happen");
    assert!(sends <= 1_102, "{sends} sends for {requests} requests");
}

#[test]
fn failing_executor_is_ejected_and_probed_and_a_cap_keeps_most_in_service() {
    let mut router = router("entry-1", 10, &["entry-1"], at_once());
    let mut now = Mono(1);
    for _ in 0..400 {
        now = Mono(now.0 + 1);
        if let Verdict::Send(grant) = router.arrive(&arrival(), now) {
            let bad = ["plan-1", "plan-2", "plan-3"].contains(&grant.name.as_str());
            let finish = if bad {
                Finish::Failed
            } else {
                Finish::Answered
            };
            router.finish(&grant, finish, now);
        }
    }
    let ejected = |router: &route::Router| router.report().upstreams["plan"].ejected.clone();
    assert_eq!(ejected(&router).len(), 2, "20 % of 10");
    router.tick(Mono(now.0 + 5_000));
    assert_eq!(ejected(&router).len(), 0, "they are tried again");
}
