//! Tests of what shows that the process of a silent executor has ended.

use job::fleet::Listing;
use job::scheduler::Event;
use job::scheduler::Report;
use job::scheduler::TaskKey;

use crate::fixture::Fixture;
use crate::fixture::listing;
use crate::fixture::step;

/// When the process started that is listed at the address of executor 1, in milliseconds since 1970.
const LATER_START: u64 = 5_000;

/// Returns an owner whose only task runs on executor 1, which has answered a poll.
fn fixture_with_task() -> (Fixture, TaskKey) {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    fixture.place();
    fixture.start_all();
    fixture.pass(100);
    fixture.report(1, Vec::new());
    fixture.pass(100);
    let task = fixture.tasks_on(1)[0];
    (fixture, task)
}

/// Returns an entry with the address of executor 1.
fn entry(id: &str, started_unix_ms: u64) -> Listing {
    Listing {
        id: id.into(),
        started_unix_ms,
        ..listing(1)
    }
}

fn lose(fixture: &mut Fixture, number: usize) {
    let executor = fixture.executor(number);
    fixture.scheduler.mark_unreachable(executor, fixture.now);
}

/// Lets the executor with this name answer a poll that was sent `ago_ms` ago.
fn answer(fixture: &mut Fixture, id: &str, started_unix_ms: u64, ago_ms: u64) {
    let executor = fixture.scheduler.fleet.find(id).expect("listed");
    let report = Report {
        started_unix_ms: Some(started_unix_ms),
        clock_ms: fixture.now.0,
        ..Report::default()
    };
    let sent = model::Mono(fixture.now.0 - ago_ms);
    fixture
        .scheduler
        .report(executor, &report, sent, fixture.now);
}

fn asked(fixture: &mut Fixture) -> usize {
    let events = fixture.scheduler.take_events();
    let asked = |event: &&Event| matches!(event, Event::SuccessorAsked { .. });
    events.iter().filter(asked).count()
}

/// TWICE (issue 68): an entry in the list, which anyone may have written, was taken for the end of a process.
#[test]
fn an_entry_at_the_address_of_a_silent_executor_has_it_asked_and_releases_nothing() {
    let (mut fixture, task) = fixture_with_task();
    let list = vec![listing(1), entry("later", LATER_START)];
    lose(&mut fixture, 1);
    for _ in 0..3 {
        fixture.list(list.clone());
        fixture.pass(500);
    }
    assert_eq!(fixture.tasks_on(1), [task]);
    assert_eq!(asked(&mut fixture), 1, "each pair is recorded once");
    let later = fixture.scheduler.fleet.find("later").expect("listed");
    assert!(fixture.scheduler.take_poll_candidates().contains(&later));
    fixture.submit(2, vec![step(1, 4, 100)]);
    assert_eq!(fixture.place(), 0, "the entry gets a task");
    answer(&mut fixture, "later", LATER_START, 10);
    assert_eq!(fixture.tasks_on(1), []);
    assert_eq!(fixture.place(), 2, "the process that answers gets tasks");
}

/// Entries that come under ever new names must not fill the log.
#[test]
fn only_the_first_entries_at_the_address_of_a_silent_executor_are_recorded() {
    let (mut fixture, task) = fixture_with_task();
    lose(&mut fixture, 1);
    for number in 0..20 {
        let name = format!("later-{number}");
        fixture.list(vec![listing(1), entry(&name, LATER_START + number)]);
        fixture.pass(50);
    }
    assert_eq!(asked(&mut fixture), 4);
    assert_eq!(fixture.tasks_on(1), [task]);
}

/// Of several entries, the one that answers may be any, not the one with the latest start alone.
#[test]
fn a_process_that_answers_proves_the_end_beside_entries_with_a_later_start() {
    let (mut fixture, _) = fixture_with_task();
    lose(&mut fixture, 1);
    let entries = [entry("real", LATER_START), entry("copy", LATER_START + 1)];
    fixture.list([vec![listing(1)], entries.to_vec()].concat());
    fixture.pass(10);
    answer(&mut fixture, "real", LATER_START, 5);
    assert_eq!(fixture.tasks_on(1), []);
}

/// Clocks may be set back: an earlier process at the address may name the later start.
#[test]
fn an_answer_from_before_the_latest_one_of_the_executor_proves_nothing() {
    let (mut fixture, task) = fixture_with_task();
    let list = vec![listing(1), entry("former", LATER_START)];
    fixture.list(list.clone());
    fixture.pass(10);
    answer(&mut fixture, "former", LATER_START, 0);
    fixture.pass(100);
    fixture.report(1, Vec::new());
    fixture.pass(100);
    lose(&mut fixture, 1);
    fixture.list(list);
    assert_eq!(fixture.tasks_on(1), [task]);
}

/// The row of an executor may be written over, so that it names the address of another one.
#[test]
fn a_process_at_the_address_in_the_row_of_an_executor_that_answered_elsewhere_proves_nothing() {
    let (mut fixture, task) = fixture_with_task();
    let other = Listing {
        started_unix_ms: LATER_START,
        ..listing(2)
    };
    let mut overwritten = listing(1);
    overwritten.address = other.address.clone();
    lose(&mut fixture, 1);
    fixture.list(vec![overwritten, other]);
    fixture.pass(10);
    answer(&mut fixture, "e2", LATER_START, 5);
    fixture.pass(10);
    answer(&mut fixture, "e2", LATER_START, 5);
    assert_eq!(fixture.tasks_on(1), [task]);
}

/// A poll may have gone to the address that the list named before.
#[test]
fn an_answer_to_a_poll_from_before_a_change_of_the_address_proves_nothing_there() {
    let (mut fixture, task) = fixture_with_task();
    let moving = Listing {
        started_unix_ms: LATER_START,
        ..listing(2)
    };
    fixture.list(vec![listing(1), moving.clone()]);
    lose(&mut fixture, 1);
    fixture.pass(50);
    let moved = Listing {
        address: listing(1).address,
        ..moving
    };
    let list = vec![listing(1), moved];
    fixture.list(list.clone());
    fixture.pass(10);
    answer(&mut fixture, "e2", LATER_START, 20);
    fixture.list(list);
    assert_eq!(fixture.tasks_on(1), [task]);
}
