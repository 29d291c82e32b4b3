use std::time::Duration;

use lease::Event;
use lease::Fact;
use lease::owner::Cause;
use lease::owner::Reason;
use lease::owner::Refusal;
use lease::record::Phase;
use lease::timing::COMMAND_RETRY;
use lease::timing::DOUBT_RETRY;
use lease::timing::OWNER_WITHOUT_STORE;
use lease::timing::RENEW_INTERVAL;
use lease::timing::WORKER_LEASE;
use model::id::Attempt;
use model::id::Epoch;
use plat::commit::TxnOutcome;
use plat::worker::RunState;
use plat::worker::WorkerError;

use crate::fixture::Fixture;
use crate::fixture::SIZE;
use crate::fixture::TASK;
use crate::fixture::WORKER;
use crate::fixture::refused;
use crate::fixture::starts;
use crate::fixture::task;

#[test]
fn a_start_whose_answer_is_lost_waits_until_the_row_is_known() {
    let mut fixture = Fixture::new();
    fixture.submit(TASK);
    fixture.start(TASK);
    fixture.commit_unanswered();
    assert!(fixture.owner.is_in_doubt(&task()));
    assert_eq!(fixture.owner.reserved(&WORKER.into()), SIZE);
    fixture.start(TASK);
    assert_eq!(fixture.count(|fact| refused(fact, Refusal::InDoubt)), 1);
    assert_eq!(starts(&fixture), 0);

    fixture.pass(DOUBT_RETRY);
    fixture.commit();
    assert_eq!(starts(&fixture), 1);
    assert_eq!(fixture.row().map(|row| row.attempt), Some(Attempt(1)));
}

#[test]
fn an_owner_that_was_paused_past_its_right_sends_nothing() {
    for (past, expected) in [(0, Some(Reason::Lapsed)), (1, None)] {
        let mut fixture = Fixture::running();
        fixture.messages.clear();
        fixture.pass(OWNER_WITHOUT_STORE - Duration::from_millis(past));
        assert_eq!(fixture.stopped, expected);
        assert_eq!(fixture.messages.is_empty(), expected.is_some());
    }
}

#[test]
fn a_worker_that_obeys_a_higher_epoch_ends_the_ownership() {
    let mut fixture = Fixture::running();
    fixture.pass(RENEW_INTERVAL);
    let sequence = fixture.messages.remove(0).sequence;
    fixture.answer(sequence, Err(WorkerError::Fenced { epoch: Epoch(9) }));
    assert_eq!(fixture.stopped, Some(Reason::Fenced));
}

#[test]
fn a_successor_concludes_from_what_a_reachable_worker_reports() {
    let cases = [
        (Some(RunState::Running), "assigned"),
        (Some(RunState::Succeeded), "succeeded"),
        (Some(RunState::Failed), "queued"),
        (Some(RunState::Stopped), "queued"),
        (None, "queued"),
    ];
    for (state, expected) in cases {
        let mut fixture = Fixture::running();
        match state {
            Some(RunState::Running) => {}
            Some(RunState::Stopped) => fixture.agent.stopped(&task(), Attempt(1), None),
            Some(state) => fixture.end_run(state == RunState::Succeeded),
            None => fixture.agent = lease::agent::Agent::new(2),
        }
        fixture.take_over();
        assert!(
            fixture.commits.is_empty(),
            "{state:?}: concluded before the worker answered"
        );
        fixture.deliver_all();
        while !fixture.commits.is_empty() {
            fixture.commit();
        }
        let phase = fixture
            .row()
            .map(|row| row.phase)
            .or(fixture.job().and_then(|job| job.end));
        let found = match phase {
            Some(Phase::Assigned { .. }) => "assigned",
            Some(Phase::Succeeded) => "succeeded",
            Some(Phase::Queued) => "queued",
            other => panic!("{state:?}: {other:?}"),
        };
        assert_eq!(found, expected, "{state:?}");
    }
}

#[test]
fn a_task_of_an_unreachable_worker_waits_for_the_last_lease_of_anyone() {
    let earlier_grants = OWNER_WITHOUT_STORE + WORKER_LEASE;
    let cases = [("owned", WORKER_LEASE), ("taken over", earlier_grants)];
    for (name, span) in cases {
        let mut fixture = Fixture::running();
        if name == "taken over" {
            fixture.take_over();
        }
        let begun = fixture.now;
        while fixture.commits.is_empty() {
            while !fixture.messages.is_empty() {
                fixture.lose_message();
            }
            fixture.now = fixture.owner.next_wake();
            let shard = fixture.store.read("shard/rack").cloned();
            let sent = fixture.now;
            fixture.tell(Event::ShardRow { row: shard, sent });
        }
        assert!(fixture.now.since(begun) > span, "{name}: too early");
        assert_eq!(
            fixture.count(|fact| matches!(fact, Fact::WorkerLapsed { .. })),
            1
        );
        fixture.commit();
        assert_eq!(
            fixture.row().map(|row| row.phase),
            Some(Phase::Queued),
            "{name}"
        );
    }
}

#[test]
fn an_operators_word_ends_the_wait_for_a_lost_worker() {
    let mut fixture = Fixture::running();
    fixture.take_over();
    fixture.tell(Event::Lost(WORKER.into()));
    fixture.commit();
    assert_eq!(fixture.row().map(|row| row.phase), Some(Phase::Queued));
}

#[test]
fn repeated_and_late_reports_change_nothing() {
    let mut fixture = Fixture::running();
    fixture.pass(RENEW_INTERVAL);
    let message = fixture.messages.remove(0);
    let (older, _) = fixture.agent.handle(&message, fixture.now);
    fixture.end_run(true);
    let (newer, _) = fixture.agent.handle(&message, fixture.now);
    for answer in [newer.clone(), older, newer] {
        fixture.answer(message.sequence, answer);
    }
    assert_eq!(fixture.commits.len(), 1);
    fixture.commit();
    assert_eq!(
        fixture.job().and_then(|job| job.end),
        Some(Phase::Succeeded)
    );
    assert_eq!(fixture.count(|fact| matches!(fact, Fact::Ended { .. })), 1);
}

#[test]
fn a_late_report_from_before_the_start_does_not_end_the_run() {
    let mut fixture = Fixture::new();
    fixture.pass(RENEW_INTERVAL);
    let message = fixture.messages[0].clone();
    let (before, _) = fixture.agent.handle(&message, fixture.now);
    fixture.deliver();
    fixture.submit(TASK);
    fixture.start(TASK);
    fixture.commit();
    fixture.deliver_all();
    fixture.answer(message.sequence, before);
    assert!(fixture.commits.is_empty());
}

#[test]
fn an_eviction_whose_requeue_answer_is_lost_resumes_once() {
    let mut fixture = Fixture::running();
    fixture.tell(Event::Evict(task()));
    fixture.deliver_all();
    fixture.commit_unanswered();
    fixture.start(TASK);
    assert_eq!(fixture.count(|fact| refused(fact, Refusal::InDoubt)), 1);
    fixture.pass(DOUBT_RETRY);
    fixture.commit();
    let row = fixture.row().expect("the task is queued");
    assert_eq!((row.phase, row.evictions), (Phase::Queued, 1));
    assert_eq!(row.checkpoint, Some("crest-1".into()));
    let requeued = |fact: &Fact| {
        matches!(
            fact,
            Fact::Requeued {
                cause: Cause::Evicted,
                ..
            }
        )
    };
    assert_eq!(fixture.count(requeued), 1);
}

#[test]
fn a_store_outage_during_an_eviction_keeps_the_run_until_it_is_requeued() {
    let mut fixture = Fixture::running();
    fixture.tell(Event::Store { reachable: false });
    fixture.tell(Event::Evict(task()));
    for _ in 0..3 {
        fixture.deliver_all();
        fixture.pass(COMMAND_RETRY);
    }
    assert!(fixture.commits.is_empty());
    assert_eq!(
        fixture.agent.runs().len(),
        1,
        "released before the table holds its end"
    );
    fixture.tell(Event::Store { reachable: true });
    assert_eq!(fixture.commits.len(), 1);
    fixture.commit();
    fixture.deliver_all();
    assert_eq!(fixture.row().map(|row| row.evictions), Some(1));
    assert!(fixture.agent.runs().is_empty());
}

#[test]
fn a_takeover_after_a_lost_requeue_answer_resumes_once() {
    let mut fixture = Fixture::running();
    fixture.tell(Event::Evict(task()));
    fixture.deliver_all();
    fixture.commit_unanswered();
    fixture.take_over();
    fixture.deliver_all();
    assert!(fixture.commits.is_empty());
    fixture.start(TASK);
    fixture.commit();
    fixture.deliver_all();
    let row = fixture.row().expect("the task is granted");
    assert_eq!((row.attempt, row.evictions), (Attempt(2), 1));
    let runs: Vec<_> = fixture.agent.runs().iter().collect();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].0.1, Attempt(2));
    assert_eq!(runs[0].1.checkpoint, Some("crest-1".into()));
}

#[test]
fn a_worker_that_dies_while_a_grant_is_in_doubt_loses_the_task() {
    let mut fixture = Fixture::new();
    fixture.submit(TASK);
    fixture.start(TASK);
    fixture.commit_unanswered();
    fixture.tell(Event::Lost(WORKER.into()));
    fixture.pass(DOUBT_RETRY);
    fixture.commit();
    assert_eq!(starts(&fixture), 0);
    fixture.commit();
    assert_eq!(fixture.row().map(|row| row.phase), Some(Phase::Queued));
}

#[test]
fn a_worker_declared_lost_before_the_rows_are_read_loses_its_tasks() {
    let mut fixture = Fixture::running();
    let rows = fixture.store.scan("task/rack/");
    fixture.take_over_unread();
    fixture.tell(Event::Lost(WORKER.into()));
    fixture.tell(Event::Loaded(rows));
    fixture.commit();
    assert_eq!(fixture.row().map(|row| row.phase), Some(Phase::Queued));
}

#[test]
fn a_refused_write_is_tried_again_later() {
    let mut fixture = Fixture::running();
    fixture.end_run(true);
    fixture.pass(RENEW_INTERVAL);
    fixture.deliver_all();
    let op = fixture.commits.remove(0).op;
    let settled = TxnOutcome::Refused("busy".to_owned());
    fixture.tell(Event::Settled { op, settled });
    assert!(fixture.commits.is_empty());
    assert!(fixture.owner.next_wake() <= fixture.now.after(DOUBT_RETRY));
    fixture.pass(DOUBT_RETRY);
    fixture.commit();
    assert_eq!(
        fixture.job().and_then(|job| job.end),
        Some(Phase::Succeeded)
    );
}

#[test]
fn a_task_that_keeps_failing_is_given_up_with_the_reason() {
    let mut fixture = Fixture::running();
    for _ in 0..2 {
        fixture.end_run(false);
        fixture.pass(RENEW_INTERVAL);
        fixture.deliver_all();
        fixture.commit();
        fixture.deliver_all();
        fixture.start(TASK);
        if !fixture.commits.is_empty() {
            fixture.commit();
            fixture.deliver_all();
        }
    }
    let reason = "failed 2 times".to_owned();
    assert_eq!(
        fixture.job().and_then(|job| job.end),
        Some(Phase::Failed { reason })
    );
    assert!(fixture.row().is_none());
}

#[test]
fn a_refusal_after_an_unknown_outcome_settles_nothing() {
    let mut fixture = Fixture::new();
    fixture.submit(TASK);
    fixture.start(TASK);
    fixture.commit_unanswered();
    fixture.pass(DOUBT_RETRY);
    let op = fixture.commits.remove(0).op;
    let settled = TxnOutcome::Refused("busy".to_owned());
    fixture.tell(Event::Settled { op, settled });
    assert!(fixture.owner.is_in_doubt(&task()));
}

#[test]
fn a_shard_that_is_given_back_spares_its_successor_the_long_wait() {
    let mut fixture = Fixture::running();
    fixture.tell(Event::GiveBack);
    fixture.commit();
    assert_eq!(fixture.stopped, Some(Reason::GivenBack));
    fixture.take_over();
    let prior = fixture.owner.claimed().prior;
    assert_eq!(prior, lease::claim::Prior::Settled);
}
