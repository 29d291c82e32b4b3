//! Queues whose policy only an advisor knows.

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
    assert!(advice_requests.len() <= 1, "one question a step at a time");
    advice_requests.pop()
}

/// Has the advisor grant these executors of those that it is asked about.
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
fn a_step_starts_only_where_it_was_granted_and_shows_the_ticket() {
    let mut fixture = fixture(3);
    fixture.submit(1, vec![step(2, 4, 1_000)]);
    let request = request(&mut fixture).expect("a question");
    assert_eq!(request.executors.len(), 3);
    assert_eq!(fixture.place(), 0, "nothing starts before the answer");
    assert!(
        fixture.scheduler.take_advice_requests().is_empty(),
        "nor is it asked again"
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
fn executors_that_were_denied_are_not_asked_about_again_but_new_ones_are() {
    let mut fixture = fixture(2);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    let first = request(&mut fixture).expect("a question");
    answer(&mut fixture, &first, &[]);
    assert_eq!(request(&mut fixture), None, "all are denied");
    fixture.list((1..=3).map(listing).collect());
    let second = request(&mut fixture).expect("a question");
    let names: Vec<&str> = second.executors.iter().map(|(_, id)| &**id).collect();
    assert_eq!(names, ["e3"]);
    answer(&mut fixture, &second, &["e3"]);
    assert_eq!(fixture.place(), 1);
}

#[test]
fn at_most_thirty_executors_are_in_one_question_and_the_rest_in_the_next() {
    let mut fixture = fixture(40);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    let first = request(&mut fixture).expect("a question");
    assert_eq!(first.executors.len(), 30);
    answer(&mut fixture, &first, &[]);
    assert_eq!(
        request(&mut fixture).expect("a question").executors.len(),
        10
    );
}

#[test]
fn a_question_without_an_answer_is_asked_again_after_a_pause() {
    let mut fixture = fixture(1);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    let first = request(&mut fixture).expect("a question");
    let now = fixture.now;
    fixture.scheduler.advice_answered(&first, None, now, now);
    assert_eq!(request(&mut fixture), None);
    fixture.pass(400);
    assert!(request(&mut fixture).is_some());
}

#[test]
fn a_ticket_is_not_used_when_its_time_is_nearly_over_nor_by_a_new_life() {
    let mut fixture = fixture(1);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    let first = request(&mut fixture).expect("a question");
    answer(&mut fixture, &first, &["e1"]);
    fixture.pass(3_900);
    assert!(request(&mut fixture).is_some(), "it has to be asked again");
    assert_eq!(fixture.place(), 0);

    let mut fixture = self::fixture(1);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    let first = request(&mut fixture).expect("a question");
    answer(&mut fixture, &first, &["e1"]);
    let mut anew = listing(1);
    anew.started_unix_ms = 2_000;
    fixture.list(vec![anew]);
    assert!(
        request(&mut fixture).is_some(),
        "a new life may be of another kind"
    );
}

#[test]
fn a_ticket_that_is_refused_is_asked_for_again() {
    let mut fixture = fixture(1);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    let first = request(&mut fixture).expect("a question");
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
