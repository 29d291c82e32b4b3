use std::time::Duration;

use model::Mono;
use model::id::DaemonId;
use model::id::ExecutorId;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use route::config::Limits;
use route::decision::Decision;
use route::decision::RefusalReason;
use route::decision::RouteRequest;
use route::decision::SendOutcome;
use route::slots::quota;
use route::update::RouteUpdate;

use crate::fixture::SEED;
use crate::fixture::config;
use crate::fixture::document;
use crate::fixture::executors;
use crate::fixture::members;
use crate::fixture::observe_service_time;
use crate::fixture::route_request;
use crate::fixture::router;
use crate::fixture::take_all_slots;
use crate::fixture::without_settle_delay;

const GEN_SIZE: usize = 64;

fn daemons(count: usize) -> Vec<DaemonId> {
    (0..count)
        .map(|at| DaemonId::from(format!("entry-{at}")))
        .collect()
}

#[test]
fn every_slot_has_exactly_one_owner_and_few_move_when_a_daemon_leaves() {
    fn property(executor: u16, count: u8, slots: u8) -> bool {
        let count = usize::from(count % 9) + 2;
        let slots = u16::from(slots % 64);
        let executor = ExecutorId::from(format!("plan-{executor}"));
        let all = daemons(count);
        let share = |id, among: &[DaemonId]| quota(&executor, slots, id, among.iter());
        let sum: u16 = all.iter().map(|id| share(id, &all)).sum();
        let rest = &all[1..];
        let moved: u16 = rest
            .iter()
            .map(|id| share(id, rest).saturating_sub(share(id, &all)))
            .sum();
        sum == slots && moved == share(&all[0], &all) && share(&all[0], rest) == 0
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .quickcheck(property as fn(u16, u8, u8) -> bool);
}

#[test]
fn daemons_with_equal_members_use_each_slot_once() {
    let names = ["entry-1", "entry-2", "entry-3"];
    let grants: usize = names
        .iter()
        .map(|name| {
            take_all_slots(
                &mut router(name, 5, &names, without_settle_delay()),
                Mono(1),
            )
            .len()
        })
        .sum();
    assert_eq!(grants, 5 * 8);
}

#[test]
fn slots_gained_from_a_lost_daemon_are_unused_until_the_settle_delay_is_over() {
    let mut router = router("entry-1", 4, &["entry-1", "entry-2"], Limits::default());
    router.tick(Mono(3_000));
    assert_eq!(take_all_slots(&mut router, Mono(3_000)).len(), 16);
    let change = RouteUpdate {
        members: Some(members(&["entry-1"])),
        ..RouteUpdate::default()
    };
    router.update(change, Mono(4_000));
    router.tick(Mono(6_999));
    assert_eq!(take_all_slots(&mut router, Mono(6_999)).len(), 0);
    router.tick(Mono(7_000));
    assert_eq!(take_all_slots(&mut router, Mono(7_000)).len(), 16);
}

#[test]
fn slots_lost_to_a_new_daemon_are_not_used_any_more() {
    let mut router = router("entry-1", 4, &["entry-1"], without_settle_delay());
    let grants = take_all_slots(&mut router, Mono(1));
    assert_eq!(grants.len(), 32);
    let change = RouteUpdate {
        members: Some(members(&["entry-1", "entry-2"])),
        ..RouteUpdate::default()
    };
    router.update(change, Mono(2));
    for grant in &grants[..16] {
        router.finish(grant, SendOutcome::Answered, Mono(3));
    }
    let more = take_all_slots(&mut router, Mono(4)).len();
    let left = 16 + more;
    assert!(left <= 32 - 8, "{left} of the 32 slots are in use");
    for grant in &grants[16..] {
        router.finish(grant, SendOutcome::Answered, Mono(5));
    }
    assert_eq!(more + take_all_slots(&mut router, Mono(6)).len(), 16);
}

#[test]
fn daemon_paused_past_its_membership_lease_refuses_as_not_run() {
    let mut router = router(
        "entry-1",
        4,
        &["entry-1", "entry-2"],
        without_settle_delay(),
    );
    let lease = Limits::default().membership_lease;
    let last = Mono::ZERO.after(lease);
    assert!(matches!(
        router.route(&route_request(), last),
        Decision::Send(_)
    ));
    let resumed = last.after(Duration::from_millis(1));
    let Decision::Refuse(refusal) = router.route(&route_request(), resumed) else {
        panic!("a paused daemon sent a request");
    };
    assert_eq!(refusal.reason, RefusalReason::Isolated);
}

#[test]
fn queued_requests_of_a_paused_daemon_are_not_sent_when_it_resumes() {
    let mut router = router(
        "entry-1",
        4,
        &["entry-1", "entry-2"],
        without_settle_delay(),
    );
    let grants = take_all_slots(&mut router, Mono(1));
    let forwarded = RouteRequest {
        hops: 1,
        ..route_request()
    };
    assert!(matches!(
        router.route(&forwarded, Mono(2)),
        Decision::Wait(_)
    ));
    let resumed = Mono(1).after(Limits::default().membership_lease);
    router.finish(&grants[0], SendOutcome::Answered, resumed);
    let resolved = router.take_resolved();
    assert_eq!(resolved.len(), 1);
    assert!(matches!(resolved[0].decision, Decision::Refuse(refusal)
        if refusal.reason == RefusalReason::Isolated));
}

#[test]
fn request_without_a_free_slot_is_forwarded_once_and_not_to_a_busy_peer() {
    let mut router = router(
        "entry-1",
        1,
        &["entry-1", "entry-2"],
        without_settle_delay(),
    );
    take_all_slots(&mut router, Mono(1));
    let Decision::Forward(peer) = router.route(&route_request(), Mono(2)) else {
        panic!("the peer may have a slot");
    };
    let forwarded = RouteRequest {
        hops: 1,
        ..route_request()
    };
    assert!(matches!(
        router.route(&forwarded, Mono(2)),
        Decision::Wait(_)
    ));
    router.mark_peer_busy(&peer.id, Mono(3));
    assert!(matches!(
        router.route(&route_request(), Mono(4)),
        Decision::Wait(_)
    ));
}

#[test]
fn request_crosses_regions_only_if_its_deadline_can_be_met_only_there() {
    let mut router = router("entry-1", 1, &["entry-1"], without_settle_delay());
    let mut both = members(&["entry-1", "entry-2"]);
    both[1].place = model::place::Place::new("wallonie", "namur");
    let change = RouteUpdate {
        members: Some(both),
        ..RouteUpdate::default()
    };
    router.update(change, Mono::ZERO);
    let now = observe_service_time(&mut router, 100, 30);
    take_all_slots(&mut router, now);
    let within = |ms| RouteRequest {
        timeout: Some(Duration::from_millis(ms)),
        ..route_request()
    };
    assert!(matches!(
        router.route(&within(5_000), now),
        Decision::Wait(_)
    ));
    assert!(matches!(
        router.route(&within(110), now),
        Decision::Refuse(_)
    ));
    for _ in 0..3 {
        router.route(&within(5_000), now);
    }
    assert!(
        matches!(router.route(&within(145), now), Decision::Forward(peer) if peer.cross_region)
    );
}

#[test]
fn upstream_without_executors_in_the_region_is_served_across_regions() {
    let mut router = route::Router::new(config("entry-1", "rsh", without_settle_delay()), SEED);
    let mut remote = executors(2);
    for executor in &mut remote {
        executor.place = model::place::Place::new("wallonie", "namur");
    }
    let executors_first = RouteUpdate {
        executors: Some(remote),
        ..RouteUpdate::default()
    };
    router.update(executors_first, Mono::ZERO);
    let rest = RouteUpdate {
        document: Some(document(1, "rsh")),
        members: Some(members(&["entry-1"])),
        ..RouteUpdate::default()
    };
    router.update(rest, Mono::ZERO);
    let grants = take_all_slots(&mut router, Mono(1));
    assert_eq!(grants.len(), 16);
    assert!(grants.iter().all(|grant| grant.cross_region));
    assert!(matches!(
        router.route(&route_request(), Mono(2)),
        Decision::Wait(_)
    ));
    router.finish(&grants[0], SendOutcome::Answered, Mono(3));
    assert_eq!(router.take_resolved().len(), 1);
}

#[test]
fn lent_slots_are_used_by_the_borrower_only_and_return_after_the_lease() {
    let names = ["entry-1", "entry-2"];
    let mut lender = router("entry-1", 8, &names, without_settle_delay());
    let mut borrower = router("entry-2", 8, &names, without_settle_delay());
    let own = take_all_slots(&mut borrower, Mono(1)).len();
    let requests = borrower.slot_requests(Mono(2));
    assert_eq!(
        requests.len(),
        1,
        "a daemon without free slots sends a request to its only peer"
    );
    let mut request = requests[0].1.clone();
    request.wanted = 10;
    let loan = lender.lend(&request, Mono(2));
    borrower.borrow(&loan, Mono(2), Mono(3));
    let borrowed = take_all_slots(&mut borrower, Mono(4));
    assert_eq!(borrowed.len(), 10);
    assert_eq!(
        take_all_slots(&mut lender, Mono(4)).len() + borrowed.len() + own,
        64
    );

    let expired = Mono(2).after(Limits::default().loan_lease);
    borrower.tick(expired);
    borrower.finish(&borrowed[0], SendOutcome::Answered, expired);
    assert_eq!(
        take_all_slots(&mut borrower, expired).len(),
        0,
        "the loan has expired"
    );
    lender.tick(expired);
    assert_eq!(take_all_slots(&mut lender, expired).len(), 10);
}

#[test]
fn busy_borrowed_slots_stay_lent_when_their_loan_is_renewed() {
    let names = ["entry-1", "entry-2"];
    let mut lender = router("entry-1", 8, &names, without_settle_delay());
    let mut borrower = router("entry-2", 8, &names, without_settle_delay());
    take_all_slots(&mut borrower, Mono(1));
    let mut request = borrower.slot_requests(Mono(2)).remove(0).1;
    request.wanted = 6;
    let loan = lender.lend(&request, Mono(2));
    borrower.borrow(&loan, Mono(2), Mono(2));
    assert_eq!(take_all_slots(&mut borrower, Mono(3)).len(), 6);
    let mut request = borrower.slot_requests(Mono(1_500)).remove(0).1;
    request.wanted = 0;
    let loan = lender.lend(&request, Mono(1_500));
    borrower.borrow(&loan, Mono(1_500), Mono(1_500));
    let expired = Mono(2).after(Limits::default().loan_lease);
    lender.tick(expired);
    assert_eq!(take_all_slots(&mut lender, expired).len(), 32 - 6);
}

#[test]
fn random_events_never_use_a_slot_twice_nor_leak_one() {
    fn property(events: Vec<(u8, u8)>) -> bool {
        let names = ["entry-1", "entry-2", "entry-3"];
        let mut routers = names.map(|name| router(name, 3, &names, without_settle_delay()));
        let mut open = Vec::new();
        let mut now = Mono(1);
        for (who, what) in events {
            let at = usize::from(who) % 3;
            now = Mono(now.0 + u64::from(what % 7));
            let lender = (at + 1) % 3;
            match what % 5 {
                0..=2 => {
                    if let Decision::Send(grant) = routers[at].route(&route_request(), now) {
                        open.push((at, grant));
                    }
                }
                3 if !open.is_empty() => {
                    let (at, grant) = open.swap_remove(usize::from(who) % open.len());
                    routers[at].finish(&grant, SendOutcome::Answered, now);
                }
                _ => {
                    for (peer, request) in routers[at].slot_requests(now) {
                        if peer.as_str() == names[lender] {
                            let loan = routers[lender].lend(&request, now);
                            routers[at].borrow(&loan, now, now);
                        }
                    }
                }
            }
            for (at, router) in routers.iter_mut().enumerate() {
                router.tick(now);
                for resolved in router.take_resolved() {
                    if let Decision::Send(grant) = resolved.decision {
                        open.push((at, grant));
                    }
                }
            }
            for name in ["plan-0", "plan-1", "plan-2"] {
                let used = open
                    .iter()
                    .filter(|(_, grant)| grant.executor_id.as_str() == name);
                if used.count() > 8 {
                    return false;
                }
            }
        }
        while let Some((at, grant)) = open.pop() {
            routers[at].finish(&grant, SendOutcome::Cancelled, now);
            for resolved in routers[at].take_resolved() {
                if let Decision::Send(grant) = resolved.decision {
                    open.push((at, grant));
                }
            }
        }
        let idle = routers.iter().all(|router| router.unfinished() == 0);
        let expired = now.after(Limits::default().loan_lease);
        let free: usize = routers
            .iter_mut()
            .map(|router| {
                router.tick(expired);
                take_all_slots(router, expired).len()
            })
            .sum();
        idle && free == 3 * 8
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(200, SEED))
        .quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}
