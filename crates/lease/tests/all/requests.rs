use lease::Event;
use lease::Notification;
use lease::owner::Refusal;
use lease::owner::SubmitOutcome;
use lease::record::Phase;
use lease::timing::IN_DOUBT_RETRY_INTERVAL;
use lease::timing::MAX_ROWS_PER_TXN;
use lease::timing::RENEW_INTERVAL;
use model::Size;
use model::id::TaskId;
use plat::hosts::HostState;

use crate::fixture::CAPACITY;
use crate::fixture::Fixture;
use crate::fixture::TASK;
use crate::fixture::WORKER;
use crate::fixture::refused;
use crate::fixture::spec;
use crate::fixture::starts;
use crate::fixture::task;

#[test]
fn no_capacity_is_free_while_a_worker_runs_an_ungranted_task() {
    let mut fixture = Fixture::running();
    let free = |fixture: &Fixture| fixture.owner.free(&WORKER.into(), fixture.now);
    fixture.handle(Event::WorkerLost(WORKER.into()));
    fixture.commit();
    fixture.advance(RENEW_INTERVAL);
    fixture.deliver();
    assert_eq!(free(&fixture), Size::ZERO);
    assert_eq!(fixture.messages.len(), 1, "the ungranted run is stopped");
    fixture.deliver_all();
    assert_eq!(free(&fixture), CAPACITY);
}

#[test]
fn a_task_whose_start_command_was_lost_can_be_evicted_or_cancelled() {
    for event in [Event::Evict(task()), Event::Cancel(task())] {
        let mut fixture = Fixture::new();
        fixture.submit(TASK);
        fixture.start(TASK);
        fixture.commit();
        fixture.lose_message();
        fixture.handle(event.clone());
        while !fixture.commits.is_empty() || !fixture.messages.is_empty() {
            assert_eq!(starts(&fixture), 0);
            match fixture.commits.is_empty() {
                true => fixture.deliver(),
                false => fixture.commit(),
            }
        }
        let ended = fixture.job().and_then(|job| job.end);
        let phase = ended.or(fixture.row().map(|row| row.phase));
        let expected = match event {
            Event::Cancel(_) => Phase::Cancelled,
            _ => Phase::Queued,
        };
        assert_eq!(phase, Some(expected));
    }
}

#[test]
fn a_cancellation_during_a_hand_off_is_refused_rather_than_forgotten() {
    let mut fixture = Fixture::new();
    fixture.submit(TASK);
    let to = "other".into();
    fixture.handle(Event::HandOff { task: task(), to });
    fixture.handle(Event::Cancel(task()));
    fixture.commit();
    assert_eq!(
        fixture.count(|notification| refused(notification, Refusal::UnknownTask)),
        1
    );
}

#[test]
fn a_task_cancelled_while_its_grant_is_in_doubt_never_starts() {
    let mut fixture = Fixture::new();
    fixture.submit(TASK);
    fixture.start(TASK);
    fixture.commit_unanswered();
    fixture.handle(Event::Cancel(task()));
    fixture.advance(IN_DOUBT_RETRY_INTERVAL);
    while !fixture.commits.is_empty() || !fixture.messages.is_empty() {
        assert_eq!(starts(&fixture), 0);
        match fixture.commits.is_empty() {
            true => fixture.deliver(),
            false => fixture.commit(),
        }
    }
    assert_eq!(
        fixture.job().and_then(|job| job.end),
        Some(Phase::Cancelled)
    );
    assert!(fixture.agent.runs().is_empty());
}

#[test]
fn a_leaving_worker_accepts_no_tasks_and_its_tasks_can_be_evicted() {
    let mut fixture = Fixture::running();
    fixture.submit("ice");
    fixture.list_worker(HostState::Leaving);
    assert_eq!(
        fixture.count(|notification| matches!(notification, Notification::WorkerLeaving { .. })),
        1
    );
    fixture.start("ice");
    assert_eq!(
        fixture.count(|notification| refused(notification, Refusal::NoRoom)),
        1
    );
    fixture.handle(Event::Evict(task()));
    fixture.deliver_all();
    fixture.commit();
    assert_eq!(fixture.row().map(|row| row.phase), Some(Phase::Queued));
}

#[test]
fn reservations_stay_within_the_worker_in_each_dimension() {
    let too_large = [
        Size::new(4001, 1, 0),
        Size::new(1, 4097, 0),
        Size::new(1, 1, 3),
        Size::ZERO,
    ];
    for size in too_large {
        let mut fixture = Fixture::new();
        fixture.submit(TASK);
        fixture.start_with(TASK, size);
        assert_eq!(
            fixture.count(|notification| refused(notification, Refusal::NoRoom)),
            1,
            "{size}"
        );
    }
    let mut fixture = Fixture::new();
    fixture.submit(TASK);
    fixture.submit("ice");
    fixture.start_with(TASK, CAPACITY);
    fixture.start_with("ice", Size::new(1, 0, 0));
    assert_eq!(
        fixture.count(|notification| refused(notification, Refusal::NoRoom)),
        1,
        "grant in flight"
    );
}

#[test]
fn a_burst_of_cancellations_takes_few_transactions() {
    let count = 3 * MAX_ROWS_PER_TXN;
    let mut fixture = Fixture::new();
    for number in 0..count {
        fixture.submit(&format!("task-{number}"));
    }
    for number in 0..count {
        fixture.handle(Event::Cancel(TaskId::from(format!("task-{number}"))));
    }
    let mut transactions = 0;
    while !fixture.commits.is_empty() {
        fixture.commit();
        transactions += 1;
    }
    assert_eq!(
        fixture.count(|notification| matches!(notification, Notification::Ended { .. })),
        count
    );
    // The first two transactions are sent immediately with the updates due by then; the remaining
    // updates are batched into full transactions.
    assert!(
        transactions <= 2 + count.div_ceil(MAX_ROWS_PER_TXN),
        "{transactions}"
    );
}

#[test]
fn a_second_submission_is_the_same_task_or_a_conflict() {
    let mut other = spec(TASK);
    other.size = Size::new(1, 1, 0);
    for ended in [false, true] {
        let mut fixture = Fixture::running();
        if ended {
            fixture.end_run(true);
            fixture.advance(RENEW_INTERVAL);
            fixture.deliver_all();
            fixture.commit();
        }
        for (spec, expected) in [
            (spec(TASK), SubmitOutcome::Repeated),
            (other.clone(), SubmitOutcome::Conflict),
        ] {
            fixture.notifications.clear();
            fixture.handle(Event::Submit(spec));
            while !fixture.commits.is_empty() {
                fixture.commit();
            }
            let submitted = Notification::Submitted {
                task: task(),
                outcome: expected,
            };
            assert_eq!(fixture.notifications, [submitted], "ended: {ended}");
        }
    }
}

#[test]
fn a_hand_off_moves_the_row_once_though_its_answer_is_lost() {
    let mut fixture = Fixture::new();
    fixture.submit(TASK);
    let to = "other".into();
    fixture.handle(Event::HandOff { task: task(), to });
    fixture.commit_unanswered();
    fixture.advance(IN_DOUBT_RETRY_INTERVAL);
    fixture.commit();
    assert!(fixture.row().is_none() && fixture.owner.task(&task()).is_none());
    assert_eq!(fixture.store.scan("task/other/").len(), 1);
    assert_eq!(
        fixture.count(|notification| matches!(notification, Notification::HandedOff { .. })),
        1
    );
}
