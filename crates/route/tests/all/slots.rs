use std::time::Duration;

use model::Mono;
use model::id::DaemonId;
use model::id::ExecutorId;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use route::config::Limits;
use route::slots::quota;
use route::verdict::Arrival;
use route::verdict::Finish;
use route::verdict::Reason;
use route::verdict::Verdict;
use route::view::RouteUpdate;

use crate::world::SEED;
use crate::world::arrival;
use crate::world::at_once;
use crate::world::config;
use crate::world::document;
use crate::world::executors;
use crate::world::fill;
use crate::world::members;
use crate::world::router;
use crate::world::teach;

const GEN_SIZE: usize = 64;

fn daemons(count: usize) -> Vec<DaemonId> {
    (0..count)
        .map(|at| DaemonId::from(format!("entry-{at}")))
        .collect()
}

#[test]
fn every_slot_has_exactly_one_holder_and_few_move_when_a_daemon_leaves() {
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
fn daemons_of_one_view_use_each_slot_once() {
    let names = ["entry-1", "entry-2", "entry-3"];
    let grants: usize = names
        .iter()
        .map(|name| fill(&mut router(name, 5, &names, at_once()), Mono(1)).len())
        .sum();
    assert_eq!(grants, 5 * 8);
}

#[test]
fn slots_gained_from_a_lost_daemon_rest_until_it_has_heard_of_it() {
    let mut router = router("entry-1", 4, &["entry-1", "entry-2"], Limits::default());
    router.tick(Mono(3_000));
    assert_eq!(fill(&mut router, Mono(3_000)).len(), 16);
    let change = RouteUpdate {
        members: Some(members(&["entry-1"])),
        ..RouteUpdate::default()
    };
    router.update(change, Mono(4_000));
    router.tick(Mono(6_999));
    assert_eq!(fill(&mut router, Mono(6_999)).len(), 0);
    router.tick(Mono(7_000));
    assert_eq!(fill(&mut router, Mono(7_000)).len(), 16);
}

#[test]
fn slots_lost_to_a_new_daemon_are_not_used_any_more() {
    let mut router = router("entry-1", 4, &["entry-1"], at_once());
    let grants = fill(&mut router, Mono(1));
    assert_eq!(grants.len(), 32);
    let change = RouteUpdate {
        members: Some(members(&["entry-1", "entry-2"])),
        ..RouteUpdate::default()
    };
    router.update(change, Mono(2));
    for grant in &grants[..16] {
        router.finish(grant, Finish::Answered, Mono(3));
    }
    let more = fill(&mut router, Mono(4)).len();
    let left = 16 + more;
    assert!(left <= 32 - 8, "{left} of the 32 slots are in use");
    for grant in &grants[16..] {
        router.finish(grant, Finish::Answered, Mono(5));
    }
    assert_eq!(more + fill(&mut router, Mono(6)).len(), 16);
}

#[test]
fn daemon_paused_past_its_member_lease_refuses_as_not_run() {
    let mut router = router("entry-1", 4, &["entry-1", "entry-2"], at_once());
    let lease = Limits::default().view_lease;
    let last = Mono::ZERO.after(lease);
    assert!(matches!(router.arrive(&arrival(), last), Verdict::Send(_)));
    let woken = last.after(Duration::from_millis(1));
    let Verdict::Refuse(refusal) = router.arrive(&arrival(), woken) else {
        panic!("a paused daemon sent a request");
    };
    assert_eq!(refusal.reason, Reason::Isolated);
}

#[test]
fn waiting_requests_of_a_paused_daemon_are_not_sent_when_it_wakes() {
    let mut router = router("entry-1", 4, &["entry-1", "entry-2"], at_once());
    let grants = fill(&mut router, Mono(1));
    let passed = Arrival {
        hops: 1,
        ..arrival()
    };
    assert!(matches!(router.arrive(&passed, Mono(2)), Verdict::Wait(_)));
    let woken = Mono(1).after(Limits::default().view_lease);
    router.finish(&grants[0], Finish::Answered, woken);
    let resolved = router.take_resolved();
    assert_eq!(resolved.len(), 1);
    assert!(matches!(resolved[0].verdict, Verdict::Refuse(refusal)
        if refusal.reason == Reason::Isolated));
}

#[test]
fn request_without_a_free_slot_is_passed_on_once_and_not_to_a_busy_peer() {
    let mut router = router("entry-1", 1, &["entry-1", "entry-2"], at_once());
    fill(&mut router, Mono(1));
    let Verdict::Pass(peer) = router.arrive(&arrival(), Mono(2)) else {
        panic!("the peer may have a slot");
    };
    let passed = Arrival {
        hops: 1,
        ..arrival()
    };
    assert!(matches!(router.arrive(&passed, Mono(2)), Verdict::Wait(_)));
    router.peer_busy(&peer.id, Mono(3));
    assert!(matches!(
        router.arrive(&arrival(), Mono(4)),
        Verdict::Wait(_)
    ));
}

#[test]
fn request_crosses_regions_only_if_its_deadline_can_be_met_only_there() {
    let mut router = router("entry-1", 1, &["entry-1"], at_once());
    let mut both = members(&["entry-1", "entry-2"]);
    both[1].place = model::place::Place::new("wallonie", "namur");
    let change = RouteUpdate {
        members: Some(both),
        ..RouteUpdate::default()
    };
    router.update(change, Mono::ZERO);
    let now = teach(&mut router, 100, 30);
    fill(&mut router, now);
    let within = |ms| Arrival {
        patience: Some(Duration::from_millis(ms)),
        ..arrival()
    };
    assert!(matches!(
        router.arrive(&within(5_000), now),
        Verdict::Wait(_)
    ));
    assert!(matches!(
        router.arrive(&within(110), now),
        Verdict::Refuse(_)
    ));
    for _ in 0..3 {
        router.arrive(&within(5_000), now);
    }
    assert!(matches!(router.arrive(&within(145), now), Verdict::Pass(peer) if peer.far));
}

#[test]
fn upstream_without_executors_in_the_region_is_served_across_regions() {
    let mut router = route::Router::new(config("entry-1", "rsh", at_once()), SEED);
    let mut far = executors(2);
    for executor in &mut far {
        executor.place = model::place::Place::new("wallonie", "namur");
    }
    let executors_first = RouteUpdate {
        executors: Some(far),
        ..RouteUpdate::default()
    };
    router.update(executors_first, Mono::ZERO);
    let rest = RouteUpdate {
        document: Some(document(1, "rsh")),
        members: Some(members(&["entry-1"])),
        ..RouteUpdate::default()
    };
    router.update(rest, Mono::ZERO);
    let grants = fill(&mut router, Mono(1));
    assert_eq!(grants.len(), 16);
    assert!(grants.iter().all(|grant| grant.far));
    assert!(matches!(
        router.arrive(&arrival(), Mono(2)),
        Verdict::Wait(_)
    ));
    router.finish(&grants[0], Finish::Answered, Mono(3));
    assert_eq!(router.take_resolved().len(), 1);
}

#[test]
fn lent_slots_are_used_by_the_borrower_only_and_come_back() {
    let names = ["entry-1", "entry-2"];
    let mut lender = router("entry-1", 8, &names, at_once());
    let mut borrower = router("entry-2", 8, &names, at_once());
    let own = fill(&mut borrower, Mono(1)).len();
    let asks = borrower.asks(Mono(2));
    assert_eq!(asks.len(), 1, "a full daemon asks its only peer");
    let mut ask = asks[0].1.clone();
    ask.wanted = 10;
    let loan = lender.lend(&ask, Mono(2));
    borrower.borrow(&loan, Mono(2), Mono(3));
    let borrowed = fill(&mut borrower, Mono(4));
    assert_eq!(borrowed.len(), 10);
    assert_eq!(fill(&mut lender, Mono(4)).len() + borrowed.len() + own, 64);

    let lapsed = Mono(2).after(Limits::default().loan_lease);
    borrower.tick(lapsed);
    borrower.finish(&borrowed[0], Finish::Answered, lapsed);
    assert_eq!(fill(&mut borrower, lapsed).len(), 0, "the loan has lapsed");
    lender.tick(lapsed);
    assert_eq!(fill(&mut lender, lapsed).len(), 10);
}

#[test]
fn busy_borrowed_slots_stay_lent_when_their_loan_is_asked_for_again() {
    let names = ["entry-1", "entry-2"];
    let mut lender = router("entry-1", 8, &names, at_once());
    let mut borrower = router("entry-2", 8, &names, at_once());
    fill(&mut borrower, Mono(1));
    let mut ask = borrower.asks(Mono(2)).remove(0).1;
    ask.wanted = 6;
    let loan = lender.lend(&ask, Mono(2));
    borrower.borrow(&loan, Mono(2), Mono(2));
    assert_eq!(fill(&mut borrower, Mono(3)).len(), 6);
    let mut ask = borrower.asks(Mono(1_500)).remove(0).1;
    ask.wanted = 0;
    let loan = lender.lend(&ask, Mono(1_500));
    borrower.borrow(&loan, Mono(1_500), Mono(1_500));
    let lapsed = Mono(2).after(Limits::default().loan_lease);
    lender.tick(lapsed);
    assert_eq!(fill(&mut lender, lapsed).len(), 32 - 6);
}

#[test]
fn random_events_never_use_a_slot_twice_nor_lose_one() {
    fn property(events: Vec<(u8, u8)>) -> bool {
        let names = ["entry-1", "entry-2", "entry-3"];
        let mut routers = names.map(|name| router(name, 3, &names, at_once()));
        let mut open = Vec::new();
        let mut now = Mono(1);
        for (who, what) in events {
            let at = usize::from(who) % 3;
            now = Mono(now.0 + u64::from(what % 7));
            let lender = (at + 1) % 3;
            match what % 5 {
                0..=2 => {
                    if let Verdict::Send(grant) = routers[at].arrive(&arrival(), now) {
                        open.push((at, grant));
                    }
                }
                3 if !open.is_empty() => {
                    let (at, grant) = open.swap_remove(usize::from(who) % open.len());
                    routers[at].finish(&grant, Finish::Answered, now);
                }
                _ => {
                    for (peer, ask) in routers[at].asks(now) {
                        if peer.as_str() == names[lender] {
                            let loan = routers[lender].lend(&ask, now);
                            routers[at].borrow(&loan, now, now);
                        }
                    }
                }
            }
            for (at, router) in routers.iter_mut().enumerate() {
                router.tick(now);
                for resolved in router.take_resolved() {
                    if let Verdict::Send(grant) = resolved.verdict {
                        open.push((at, grant));
                    }
                }
            }
            for name in ["plan-0", "plan-1", "plan-2"] {
                let used = open.iter().filter(|(_, grant)| grant.name.as_str() == name);
                if used.count() > 8 {
                    return false;
                }
            }
        }
        while let Some((at, grant)) = open.pop() {
            routers[at].finish(&grant, Finish::Cancelled, now);
            for resolved in routers[at].take_resolved() {
                if let Verdict::Send(grant) = resolved.verdict {
                    open.push((at, grant));
                }
            }
        }
        let idle = routers.iter().all(|router| router.unfinished() == 0);
        let lapsed = now.after(Limits::default().loan_lease);
        let free: usize = routers
            .iter_mut()
            .map(|router| {
                router.tick(lapsed);
                fill(router, lapsed).len()
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
