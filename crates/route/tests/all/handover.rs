use model::Mono;
use route::config::Limits;
use route::decision::Decision;
use route::decision::RefusalReason;
use route::decision::RouteRequest;
use route::decision::SendOutcome;
use route::report::HandoverPhase;
use route::update::RouteUpdate;

use crate::fixture::SEED;
use crate::fixture::config;
use crate::fixture::document;
use crate::fixture::executors;
use crate::fixture::member;
use crate::fixture::route_request;
use crate::fixture::unused_address;
use crate::fixture::without_settle_delay;

fn router(name: &str, half: &str) -> route::Router {
    let mut router = route::Router::new(config(name, half, without_settle_delay()), SEED);
    let update = RouteUpdate {
        document: Some(document(1, "rsh")),
        executors: Some(executors(2)),
        members: Some(vec![
            member("old", "rsh", unused_address()),
            member("new", "aqse", unused_address()),
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

fn phase(router: &route::Router) -> HandoverPhase {
    router.phase(&"plan".into()).expect("the upstream is known")
}

#[test]
fn previous_owner_finishes_its_requests_and_forwards_queued_ones() {
    let mut old = router("old", "rsh");
    let grants = crate::fixture::take_all_slots(&mut old, Mono(1));
    let Decision::Wait(ticket) = old.route(&route_request(), Mono(1)) else {
        panic!("no slot is free");
    };
    old.update(change(2, "aqse"), Mono(2));
    assert_eq!(phase(&old), HandoverPhase::Releasing);
    assert_eq!(old.released(), ["plan".into()]);
    let resolved = old.take_resolved();
    assert_eq!(resolved.len(), 1);
    assert_eq!(resolved[0].ticket, ticket);
    assert!(matches!(&resolved[0].decision, Decision::Forward(peer) if peer.id.as_str() == "new"));
    assert!(matches!(
        old.route(&route_request(), Mono(3)),
        Decision::Forward(_)
    ));
    for grant in &grants {
        old.finish(grant, SendOutcome::Answered, Mono(4));
    }
    assert_eq!(phase(&old), HandoverPhase::Released);
    assert_eq!(old.in_flight(&"plan".into()), 0);
}

#[test]
fn new_owner_queues_requests_until_the_previous_one_has_released() {
    for by_report in [true, false] {
        let mut new = router("new", "aqse");
        assert!(matches!(
            new.route(&route_request(), Mono(1)),
            Decision::Forward(_)
        ));
        new.update(change(2, "aqse"), Mono(2));
        assert_eq!(phase(&new), HandoverPhase::Waiting);
        let Decision::Wait(ticket) = new.route(&route_request(), Mono(3)) else {
            panic!("no request may be sent before the release");
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
            new.tick(Mono(2).after(Limits::default().handover_timeout));
        }
        let resolved = new.take_resolved();
        assert_eq!(resolved.len(), 1);
        assert_eq!(resolved[0].ticket, ticket);
        assert!(matches!(resolved[0].decision, Decision::Send(_)));
    }
}

#[test]
fn request_forwarded_under_a_newer_document_waits_for_that_document() {
    let mut new = router("new", "aqse");
    let forwarded = RouteRequest {
        hops: 1,
        version: model::id::DocVersion(2),
        ..route_request()
    };
    let Decision::Wait(ticket) = new.route(&forwarded, Mono(1)) else {
        panic!("the document of the sender is not active here yet");
    };
    new.update(change(2, "aqse"), Mono(500));
    assert!(
        new.take_resolved().is_empty(),
        "it waits for the release of the upstream"
    );
    new.tick(Mono(500).after(Limits::default().handover_timeout));
    let resolved = new.take_resolved();
    assert_eq!(resolved.len(), 1);
    assert_eq!(resolved[0].ticket, ticket);
    assert!(matches!(resolved[0].decision, Decision::Send(_)));
}

#[test]
fn lower_document_version_is_ignored() {
    let mut old = router("old", "rsh");
    old.update(change(5, "aqse"), Mono(1));
    old.update(change(4, "rsh"), Mono(2));
    assert_eq!(old.version(), model::id::DocVersion(5));
    assert_ne!(phase(&old), HandoverPhase::Owned);
}

#[test]
fn leaving_executor_gets_no_new_requests_and_finishes_the_active_ones() {
    let mut router = router("old", "rsh");
    let grants = crate::fixture::take_all_slots(&mut router, Mono(1));
    let mut list = executors(2);
    list[0].state = plat::hosts::HostState::Leaving;
    let leaving = list[0].id.clone();
    let update = RouteUpdate {
        executors: Some(list.clone()),
        ..RouteUpdate::default()
    };
    router.update(update, Mono(2));
    for grant in &grants {
        router.finish(grant, SendOutcome::Answered, Mono(3));
    }
    let after = crate::fixture::take_all_slots(&mut router, Mono(4));
    assert_eq!(after.len(), 8);
    assert!(after.iter().all(|grant| grant.executor_id != leaving));
    list[1].state = plat::hosts::HostState::Leaving;
    let all = RouteUpdate {
        executors: Some(list),
        ..RouteUpdate::default()
    };
    router.update(all, Mono(5));
    assert!(
        matches!(router.route(&route_request(), Mono(6)), Decision::Refuse(refusal)
        if refusal.reason == RefusalReason::NoExecutor)
    );
}

#[test]
fn an_upstream_whose_executors_were_listed_before_the_document_is_owned_at_once() {
    let mut router = route::Router::new(config("old", "rsh", without_settle_delay()), SEED);
    let early = RouteUpdate {
        executors: Some(executors(2)),
        members: Some(vec![member("old", "rsh", unused_address())]),
        ..RouteUpdate::default()
    };
    router.update(early, Mono::ZERO);
    router.update(change(1, "rsh"), Mono(1));
    assert_eq!(phase(&router), HandoverPhase::Owned);
    assert!(matches!(
        router.route(&route_request(), Mono(2)),
        Decision::Send(_)
    ));
}

#[test]
fn a_half_without_a_daemon_near_the_executors_sends_to_them_at_once() {
    let mut remote = member("new", "aqse", unused_address());
    remote.place = model::place::Place::new("wallonie", "namur");
    let mut cfg = config("new", "aqse", without_settle_delay());
    cfg.place = remote.place.clone();
    let mut router = route::Router::new(cfg, SEED);
    let update = RouteUpdate {
        document: Some(document(1, "aqse")),
        executors: Some(executors(2)),
        members: Some(vec![member("old", "rsh", unused_address()), remote]),
        released: Vec::new(),
    };
    router.update(update, Mono::ZERO);
    let grants = crate::fixture::take_all_slots(&mut router, Mono(1));
    assert_eq!(grants.len(), 16, "all slots of both executors");
    assert!(grants.iter().all(|grant| grant.cross_region));
}
