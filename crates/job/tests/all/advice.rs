//! Tests of queues with an external advisor.

use job::advice::AdviceRequest;
use job::advice::Grant;
use job::scheduler::Command;
use job::scheduler::StartAnswer;
use model::Mono;

use crate::fixture::Fixture;
use crate::fixture::advised_plan;
use crate::fixture::listing;
use crate::fixture::step;

fn fixture(executors: usize) -> Fixture {
    let mut fixture = Fixture::new(executors);
    fixture.scheduler.plan = advised_plan();
    fixture
}

fn request(fixture: &mut Fixture) -> Option<AdviceRequest> {
    fixture.place();
    let mut advice_requests = fixture.scheduler.take_advice_requests();
    assert!(
        advice_requests.len() <= 1,
        "at most one request for each step at a time"
    );
    advice_requests.pop()
}

/// Answers a request of the advisor by granting these executors and denying all others.
fn answer(fixture: &mut Fixture, request: &AdviceRequest, granted: &[&str]) {
    let grants: Vec<Grant> = granted
        .iter()
        .map(|id| Grant {
            executor: (*id).into(),
            ticket: format!("ticket-{id}").into(),
        })
        .collect();
    let now = fixture.now;
    fixture
        .scheduler
        .advice_answered(request, Some(&grants), now, now);
}

fn starts(fixture: &mut Fixture) -> Vec<(Option<String>, job::scheduler::TaskKey, u64)> {
    fixture.store();
    let commands = fixture.scheduler.take_commands();
    let starts = commands.into_iter().filter_map(|command| match command {
        Command::Start {
            ticket, key, run, ..
        } => Some((ticket.map(|ticket| ticket.to_string()), key, run)),
        _ => None,
    });
    starts.collect()
}

#[test]
fn a_step_starts_only_on_granted_executors_and_presents_the_ticket() {
    let mut fixture = fixture(3);
    fixture.submit(1, vec![step(2, 4, 1_000)]);
    let request = request(&mut fixture).expect("a request is sent");
    assert_eq!(request.executors.len(), 3);
    assert_eq!(
        fixture.place(),
        0,
        "nothing starts before the request is answered"
    );
    assert!(
        fixture.scheduler.take_advice_requests().is_empty(),
        "the request is not repeated"
    );
    answer(&mut fixture, &request, &["e2"]);
    assert_eq!(fixture.place(), 2);
    let started = starts(&mut fixture);
    assert!(
        started
            .iter()
            .all(|(ticket, ..)| ticket.as_deref() == Some("ticket-e2"))
    );
    assert_eq!(fixture.tasks_on(2).len(), 2);
}

#[test]
fn denied_executors_are_not_requested_again_but_new_ones_are() {
    let mut fixture = fixture(2);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    let first = request(&mut fixture).expect("a request is sent");
    answer(&mut fixture, &first, &[]);
    assert_eq!(request(&mut fixture), None, "all executors are denied");
    fixture.list((1..=3).map(listing).collect());
    let second = request(&mut fixture).expect("a request is sent");
    let names: Vec<&str> = second.executors.iter().map(|(_, id)| &**id).collect();
    assert_eq!(names, ["e3"]);
    answer(&mut fixture, &second, &["e3"]);
    assert_eq!(fixture.place(), 1);
}

#[test]
fn at_most_thirty_executors_are_in_one_request_and_the_rest_in_the_next() {
    let mut fixture = fixture(40);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    let first = request(&mut fixture).expect("a request is sent");
    assert_eq!(first.executors.len(), 30);
    answer(&mut fixture, &first, &[]);
    assert_eq!(
        request(&mut fixture)
            .expect("a request is sent")
            .executors
            .len(),
        10
    );
}

#[test]
fn an_unanswered_request_is_repeated_after_a_delay() {
    let mut fixture = fixture(1);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    let first = request(&mut fixture).expect("a request is sent");
    let now = fixture.now;
    fixture.scheduler.advice_answered(&first, None, now, now);
    assert_eq!(request(&mut fixture), None);
    fixture.pass(400);
    assert!(request(&mut fixture).is_some());
}

#[test]
fn a_ticket_is_not_used_shortly_before_it_expires_nor_for_a_new_incarnation() {
    let mut fixture = fixture(1);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    let first = request(&mut fixture).expect("a request is sent");
    answer(&mut fixture, &first, &["e1"]);
    fixture.pass(3_900);
    assert!(
        request(&mut fixture).is_some(),
        "a new ticket has to be requested"
    );
    assert_eq!(fixture.place(), 0);

    let mut fixture = self::fixture(1);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    let first = request(&mut fixture).expect("a request is sent");
    answer(&mut fixture, &first, &["e1"]);
    let mut restarted = listing(1);
    restarted.started_unix_ms = 2_000;
    fixture.list(vec![restarted]);
    assert!(
        request(&mut fixture).is_some(),
        "a new incarnation may have other properties"
    );
}

#[test]
fn a_refused_ticket_is_requested_again() {
    let mut fixture = fixture(1);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    let first = request(&mut fixture).expect("a request is sent");
    answer(&mut fixture, &first, &["e1"]);
    fixture.place();
    let (_, key, run) = starts(&mut fixture).remove(0);
    let now = fixture.now;
    fixture
        .scheduler
        .start_answered(key, run, StartAnswer::NoTicket, now);
    fixture.pass(100);
    assert!(request(&mut fixture).is_some());
    assert_eq!(fixture.now, Mono(now.0 + 100));
}
