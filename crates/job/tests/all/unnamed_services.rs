//! Tests of entries in the executor list whose service the document does not name.

use std::sync::Arc;

use job::fleet::Listing;
use job::plan::Plan;
use job::plan::Service;

use crate::fixture::Fixture;
use crate::fixture::listing;
use crate::fixture::plan;
use crate::fixture::step;

const ATTEMPTS: u32 = 4;

/// Returns the entry of an executor that works for this service.
fn entry(number: usize, service: &str) -> Listing {
    Listing {
        service: service.into(),
        ..listing(number)
    }
}

/// Returns the document without its queue and its service.
fn without_service() -> Arc<Plan> {
    let mut plan = (*plan(ATTEMPTS)).clone();
    plan.queues = Vec::new().into();
    plan.services.clear();
    Arc::new(plan)
}

/// Returns the document with one more service.
fn with_service(name: &str) -> Arc<Plan> {
    let mut plan = (*plan(ATTEMPTS)).clone();
    plan.services.insert(name.into(), Service::default());
    Arc::new(plan)
}

fn set_plan(fixture: &mut Fixture, plan: Arc<Plan>) {
    fixture.scheduler.set_plan(plan, fixture.now);
}

fn unnamed(fixture: &Fixture) -> Vec<String> {
    let entries = fixture.scheduler.unnamed_entries();
    entries.map(|listing| listing.id.to_string()).collect()
}

/// Guards against conclusions from entries that name no executor (issue 68).
#[test]
fn an_entry_of_a_service_that_the_document_does_not_name_is_no_executor() {
    let mut fixture = Fixture::new(0);
    for service in ["other", "", "Service", "service "] {
        fixture.list(vec![listing(1), entry(2, service)]);
        assert_eq!(fixture.scheduler.fleet.len(), 1, "{service:?}");
        assert_eq!(unnamed(&fixture), ["e2"], "{service:?}");
    }
    fixture.list(vec![listing(1)]);
    assert!(unnamed(&fixture).is_empty());
}

/// A service that only a queue names is named as well; the check of documents tells of it.
#[test]
fn an_executor_of_a_service_that_only_a_queue_names_is_used() {
    let mut fixture = Fixture::new(0);
    let mut plan = (*plan(ATTEMPTS)).clone();
    plan.services.clear();
    set_plan(&mut fixture, Arc::new(plan));
    fixture.list(vec![listing(1)]);
    fixture.submit(1, vec![step(1, 4, 100)]);
    assert_eq!(fixture.place(), 1);
}

/// The list may be read before the document that adds the service.
#[test]
fn executors_that_are_listed_before_their_service_is_named_are_used_once_it_is() {
    let mut fixture = Fixture::new(0);
    set_plan(&mut fixture, without_service());
    fixture.list(vec![listing(1), entry(2, "other")]);
    assert_eq!(fixture.scheduler.fleet.len(), 0);
    fixture.pass(300);
    set_plan(&mut fixture, plan(ATTEMPTS));
    fixture.submit(1, vec![step(1, 4, 100)]);
    assert_eq!(fixture.place(), 1);
    assert_eq!(unnamed(&fixture), ["e2"]);
    let executor = fixture.executor(1);
    let executor = fixture.scheduler.fleet.get(executor).expect("known");
    let clock = executor.clock.expect("a clock");
    assert_eq!(clock.at.0 + 300, fixture.now.0, "when the entry was read");
    set_plan(&mut fixture, with_service("other"));
    assert!(fixture.scheduler.fleet.find("e2").is_some());
}

/// An executor that has answered is one, whatever the document names: its tasks run to their ends.
#[test]
fn an_executor_whose_service_a_document_removes_stays_known() {
    let mut fixture = Fixture::new(2);
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    fixture.place();
    fixture.start_all();
    let (number, idle) = if fixture.tasks_on(1).is_empty() {
        (2, 1)
    } else {
        (1, 2)
    };
    let task = fixture.tasks_on(number)[0];
    fixture.pass(100);
    fixture.report(idle, Vec::new());
    for plan in [without_service(), plan(ATTEMPTS)] {
        set_plan(&mut fixture, plan);
        fixture.pass(1_000);
        let draining = Listing {
            draining: true,
            ..listing(number)
        };
        fixture.list(vec![draining, listing(idle)]);
        let executor = fixture.executor(number);
        let executor = fixture.scheduler.fleet.get(executor).expect("known");
        assert!(executor.listed && executor.listing.draining);
        assert_eq!(fixture.tasks_on(number), [task]);
        assert!(unnamed(&fixture).is_empty());
    }
}

/// The row of an executor may be written over by another writer.
#[test]
fn tasks_go_on_while_the_row_of_their_executor_names_a_service_that_no_document_does() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    fixture.place();
    fixture.start_all();
    fixture.pass(100);
    fixture.report(1, Vec::new());
    let task = fixture.tasks_on(1)[0];
    let overwritten = Listing {
        address: listing(9).address,
        started_unix_ms: 9_000,
        ..entry(1, "other")
    };
    fixture.list(vec![overwritten]);
    let executor = fixture.executor(1);
    let known = fixture.scheduler.fleet.get(executor).expect("known");
    assert!(!known.listed && known.needs_poll());
    assert_eq!(known.listing, listing(1));
    assert_eq!(fixture.tasks_on(1), [task]);
    fixture.list(vec![listing(1)]);
    fixture.submit(2, vec![step(1, 4, 100)]);
    assert_eq!(fixture.place(), 1);
}

/// A successor may know an older document than its predecessor.
#[test]
fn a_successor_polls_executors_with_tasks_whose_service_its_document_does_not_name() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    fixture.place();
    let mut next = fixture.successor();
    set_plan(&mut next, without_service());
    next.list(vec![listing(1), listing(2)]);
    let executor = next.executor(1);
    let known = next.scheduler.fleet.get(executor).expect("known");
    assert!(known.listed && known.clock.is_some() && known.needs_poll());
    assert_eq!(next.tasks_on(1).len(), 1);
    assert_eq!(unnamed(&next), ["e2"]);
}
