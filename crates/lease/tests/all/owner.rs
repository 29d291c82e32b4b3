use std::time::Duration;

use lease::Event;
use lease::Notification;
use lease::owner::Refusal;
use lease::owner::RequeueCause;
use lease::owner::StopReason;
use lease::record::Phase;
use lease::timing::COMMAND_RETRY_INTERVAL;
use lease::timing::IN_DOUBT_RETRY_INTERVAL;
use lease::timing::OWNER_STORE_TIMEOUT;
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
    assert_eq!(
        fixture.count(|notification| refused(notification, Refusal::InDoubt)),
        1
    );
    assert_eq!(starts(&fixture), 0);

    fixture.advance(IN_DOUBT_RETRY_INTERVAL);
    fixture.commit();
    assert_eq!(starts(&fixture), 1);
    assert_eq!(fixture.row().map(|row| row.attempt), Some(Attempt(1)));
}

#[test]
fn an_owner_paused_past_its_store_timeout_sends_nothing() {
    for (past, expected) in [(0, Some(StopReason::StoreTimeout)), (1, None)] {
        let mut fixture = Fixture::running();
        fixture.messages.clear();
        fixture.advance(OWNER_STORE_TIMEOUT - Duration::from_millis(past));
        assert_eq!(fixture.stopped, expected);
        assert_eq!(fixture.messages.is_empty(), expected.is_some());
    }
}

#[test]
fn a_worker_that_obeys_a_higher_epoch_ends_the_ownership() {
    let mut fixture = Fixture::running();
    fixture.advance(RENEW_INTERVAL);
    let sequence = fixture.messages.remove(0).sequence;
    fixture.answer(sequence, Err(WorkerError::Fenced { epoch: Epoch(9) }));
    assert_eq!(fixture.stopped, Some(StopReason::Fenced));
}

#[test]
fn a_successor_updates_tasks_from_the_report_of_a_reachable_worker() {
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
            Some(RunState::Stopped) => fixture.agent.run_stopped(&task(), Attempt(1), None),
            Some(state) => fixture.end_run(state == RunState::Succeeded),
            None => fixture.agent = lease::agent::Agent::new(2),
        }
        fixture.take_over();
        assert!(
            fixture.commits.is_empty(),
            "{state:?}: updated before the worker answered"
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
fn a_task_of_an_unreachable_worker_is_requeued_after_all_leases_expire() {
    let earlier_grants = OWNER_STORE_TIMEOUT + WORKER_LEASE;
    let cases = [("owned", WORKER_LEASE), ("taken over", earlier_grants)];
    for (name, duration) in cases {
        let mut fixture = Fixture::running();
        if name == "taken over" {
            fixture.take_over();
        }
        let started_at = fixture.now;
        while fixture.commits.is_empty() {
            while !fixture.messages.is_empty() {
                fixture.lose_message();
            }
            fixture.now = fixture.owner.next_wake();
            let shard = fixture.store.read("shard/rack").cloned();
            let sent = fixture.now;
            fixture.handle(Event::ShardRow { row: shard, sent });
        }
        assert!(
            fixture.now.since(started_at) > duration,
            "{name}: too early"
        );
        assert_eq!(
            fixture.count(|notification| matches!(
                notification,
                Notification::WorkerLeaseExpired { .. }
            )),
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
fn a_worker_declared_lost_by_an_operator_is_not_waited_for() {
    let mut fixture = Fixture::running();
    fixture.take_over();
    fixture.handle(Event::WorkerLost(WORKER.into()));
    fixture.commit();
    assert_eq!(fixture.row().map(|row| row.phase), Some(Phase::Queued));
}

#[test]
fn repeated_and_late_reports_change_nothing() {
    let mut fixture = Fixture::running();
    fixture.advance(RENEW_INTERVAL);
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
    assert_eq!(
        fixture.count(|notification| matches!(notification, Notification::Ended { .. })),
        1
    );
}

#[test]
fn a_late_report_from_before_the_start_does_not_end_the_run() {
    let mut fixture = Fixture::new();
    fixture.advance(RENEW_INTERVAL);
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
    fixture.handle(Event::Evict(task()));
    fixture.deliver_all();
    fixture.commit_unanswered();
    fixture.start(TASK);
    assert_eq!(
        fixture.count(|notification| refused(notification, Refusal::InDoubt)),
        1
    );
    fixture.advance(IN_DOUBT_RETRY_INTERVAL);
    fixture.commit();
    let row = fixture.row().expect("the task is queued");
    assert_eq!((row.phase, row.evictions), (Phase::Queued, 1));
    assert_eq!(row.checkpoint, Some("crest-1".into()));
    let requeued = |notification: &Notification| {
        matches!(
            notification,
            Notification::Requeued {
                cause: RequeueCause::Evicted,
                ..
            }
        )
    };
    assert_eq!(fixture.count(requeued), 1);
}

#[test]
fn a_store_outage_during_an_eviction_keeps_the_run_until_it_is_requeued() {
    let mut fixture = Fixture::running();
    fixture.handle(Event::StoreStatus { reachable: false });
    fixture.handle(Event::Evict(task()));
    for _ in 0..3 {
        fixture.deliver_all();
        fixture.advance(COMMAND_RETRY_INTERVAL);
    }
    assert!(fixture.commits.is_empty());
    assert_eq!(
        fixture.agent.runs().len(),
        1,
        "the run was released before its end was stored"
    );
    fixture.handle(Event::StoreStatus { reachable: true });
    assert_eq!(fixture.commits.len(), 1);
    fixture.commit();
    fixture.deliver_all();
    assert_eq!(fixture.row().map(|row| row.evictions), Some(1));
    assert!(fixture.agent.runs().is_empty());
}

#[test]
fn a_takeover_after_a_lost_requeue_answer_resumes_once() {
    let mut fixture = Fixture::running();
    fixture.handle(Event::Evict(task()));
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
    fixture.handle(Event::WorkerLost(WORKER.into()));
    fixture.advance(IN_DOUBT_RETRY_INTERVAL);
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
    fixture.handle(Event::WorkerLost(WORKER.into()));
    fixture.handle(Event::Loaded(rows));
    fixture.commit();
    assert_eq!(fixture.row().map(|row| row.phase), Some(Phase::Queued));
}

#[test]
fn a_refused_write_is_tried_again_later() {
    let mut fixture = Fixture::running();
    fixture.end_run(true);
    fixture.advance(RENEW_INTERVAL);
    fixture.deliver_all();
    let op = fixture.commits.remove(0).op;
    let settled = TxnOutcome::Refused("busy".to_owned());
    fixture.handle(Event::Settled { op, settled });
    assert!(fixture.commits.is_empty());
    assert!(fixture.owner.next_wake() <= fixture.now.after(IN_DOUBT_RETRY_INTERVAL));
    fixture.advance(IN_DOUBT_RETRY_INTERVAL);
    fixture.commit();
    assert_eq!(
        fixture.job().and_then(|job| job.end),
        Some(Phase::Succeeded)
    );
}

#[test]
fn a_task_that_keeps_failing_fails_for_good_with_a_reason() {
    let mut fixture = Fixture::running();
    for _ in 0..2 {
        fixture.end_run(false);
        fixture.advance(RENEW_INTERVAL);
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
    fixture.advance(IN_DOUBT_RETRY_INTERVAL);
    let op = fixture.commits.remove(0).op;
    let settled = TxnOutcome::Refused("busy".to_owned());
    fixture.handle(Event::Settled { op, settled });
    assert!(fixture.owner.is_in_doubt(&task()));
}

#[test]
fn the_successor_of_a_released_shard_does_not_wait_for_prior_owners() {
    let mut fixture = Fixture::running();
    fixture.handle(Event::ReleaseShard);
    fixture.commit();
    assert_eq!(fixture.stopped, Some(StopReason::Released));
    fixture.take_over();
    let prior = fixture.owner.ownership().prior_owners;
    assert_eq!(prior, lease::claim::PriorOwners::Inactive);
}
