use model::Mono;
use route::config::Limits;
use route::report::Phase;
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
use crate::world::member;
use crate::world::nowhere;

fn router(name: &str, half: &str) -> route::Router {
    let mut router = route::Router::new(config(name, half, at_once()), SEED);
    let update = RouteUpdate {
        document: Some(document(1, "rsh")),
        executors: Some(executors(2)),
        members: Some(vec![
            member("old", "rsh", nowhere()),
            member("new", "aqse", nowhere()),
        ]),
        released: Vec::new(),
    };
    router.update(update, Mono::ZERO);
    router
}

fn change(version: u64, half: &str) -> RouteUpdate {
    RouteUpdate {
        document: Some(document(version, half)),
        ..RouteUpdate::default()
    }
}

fn phase(router: &route::Router) -> Phase {
    router.phase(&"plan".into()).expect("the upstream is known")
}

#[test]
fn old_half_stops_sending_finishes_and_passes_waiting_requests_on() {
    let mut old = router("old", "rsh");
    let grants = crate::world::fill(&mut old, Mono(1));
    let Verdict::Wait(ticket) = old.arrive(&arrival(), Mono(1)) else {
        panic!("all slots are taken");
    };
    old.update(change(2, "aqse"), Mono(2));
    assert_eq!(phase(&old), Phase::Releasing);
    assert_eq!(old.released(), ["plan".into()]);
    let resolved = old.take_resolved();
    assert_eq!(resolved.len(), 1);
    assert_eq!(resolved[0].ticket, ticket);
    assert!(matches!(&resolved[0].verdict, Verdict::Pass(peer) if peer.id.as_str() == "new"));
    assert!(matches!(old.arrive(&arrival(), Mono(3)), Verdict::Pass(_)));
    for grant in &grants {
        old.finish(grant, Finish::Answered, Mono(4));
    }
    assert_eq!(phase(&old), Phase::Released);
    assert_eq!(old.in_flight(&"plan".into()), 0);
}

#[test]
fn new_half_lets_requests_wait_until_the_old_one_has_released() {
    for by_report in [true, false] {
        let mut new = router("new", "aqse");
        assert!(matches!(new.arrive(&arrival(), Mono(1)), Verdict::Pass(_)));
        new.update(change(2, "aqse"), Mono(2));
        assert_eq!(phase(&new), Phase::Waiting);
        let Verdict::Wait(ticket) = new.arrive(&arrival(), Mono(3)) else {
            panic!("nothing may be sent before the release");
        };
        new.tick(Mono(2_900));
        assert!(new.take_resolved().is_empty());
        if by_report {
            let released = RouteUpdate {
                released: vec!["plan".into()],
                ..RouteUpdate::default()
            };
            new.update(released, Mono(2_950));
        } else {
            new.tick(Mono(2).after(Limits::default().handover_wait));
        }
        let resolved = new.take_resolved();
        assert_eq!(resolved.len(), 1);
        assert_eq!(resolved[0].ticket, ticket);
        assert!(matches!(resolved[0].verdict, Verdict::Send(_)));
    }
}

#[test]
fn request_passed_on_by_a_newer_document_waits_for_it_instead_of_going_back() {
    let mut new = router("new", "aqse");
    let passed = Arrival {
        hops: 1,
        version: model::id::DocVersion(2),
        ..arrival()
    };
    let Verdict::Wait(ticket) = new.arrive(&passed, Mono(1)) else {
        panic!("the document of the sender is not known here yet");
    };
    new.update(change(2, "aqse"), Mono(500));
    assert!(new.take_resolved().is_empty(), "it waits for the release");
    new.tick(Mono(500).after(Limits::default().handover_wait));
    let resolved = new.take_resolved();
    assert_eq!(resolved.len(), 1);
    assert_eq!(resolved[0].ticket, ticket);
    assert!(matches!(resolved[0].verdict, Verdict::Send(_)));
}

#[test]
fn lower_document_version_is_never_taken() {
    let mut old = router("old", "rsh");
    old.update(change(5, "aqse"), Mono(1));
    old.update(change(4, "rsh"), Mono(2));
    assert_eq!(old.version(), model::id::DocVersion(5));
    assert_ne!(phase(&old), Phase::Owned);
}

#[test]
fn leaving_executor_gets_no_new_work_and_finishes_what_it_has() {
    let mut router = router("old", "rsh");
    let grants = crate::world::fill(&mut router, Mono(1));
    let mut list = executors(2);
    list[0].state = plat::hosts::HostState::Leaving;
    let leaving = list[0].id.clone();
    let update = RouteUpdate {
        executors: Some(list.clone()),
        ..RouteUpdate::default()
    };
    router.update(update, Mono(2));
    for grant in &grants {
        router.finish(grant, Finish::Answered, Mono(3));
    }
    let after = crate::world::fill(&mut router, Mono(4));
    assert_eq!(after.len(), 8);
    assert!(after.iter().all(|grant| grant.name != leaving));
    list[1].state = plat::hosts::HostState::Leaving;
    let all = RouteUpdate {
        executors: Some(list),
        ..RouteUpdate::default()
    };
    router.update(all, Mono(5));
    assert!(
        matches!(router.arrive(&arrival(), Mono(6)), Verdict::Refuse(refusal)
        if refusal.reason == Reason::NoExecutor)
    );
}

#[test]
fn an_upstream_whose_executors_were_listed_before_the_document_is_owned_at_once() {
    let mut router = route::Router::new(config("old", "rsh", at_once()), SEED);
    let early = RouteUpdate {
        executors: Some(executors(2)),
        members: Some(vec![member("old", "rsh", nowhere())]),
        ..RouteUpdate::default()
    };
    router.update(early, Mono::ZERO);
    router.update(change(1, "rsh"), Mono(1));
    assert_eq!(phase(&router), Phase::Owned);
    assert!(matches!(
        router.arrive(&arrival(), Mono(2)),
        Verdict::Send(_)
    ));
}

#[test]
fn a_half_without_a_daemon_near_the_executors_sends_to_them_at_once() {
    let mut far = member("new", "aqse", nowhere());
    far.place = model::place::Place::new("wallonie", "namur");
    let mut cfg = config("new", "aqse", at_once());
    cfg.place = far.place.clone();
    let mut router = route::Router::new(cfg, SEED);
    let update = RouteUpdate {
        document: Some(document(1, "aqse")),
        executors: Some(executors(2)),
        members: Some(vec![member("old", "rsh", nowhere()), far]),
        released: Vec::new(),
    };
    router.update(update, Mono::ZERO);
    let grants = crate::world::fill(&mut router, Mono(1));
    assert_eq!(grants.len(), 16, "all slots of both executors");
    assert!(grants.iter().all(|grant| grant.far));
}
