//! The times at which refused callers come back, and the decision about a single job.

use std::time::Duration;

use job::admission::decision::JobTerms;
use job::admission::decision::Verdict;
use job::admission::decision::judge;
use job::admission::estimate::AdmissionEstimate;
use job::admission::estimate::QueueEstimate;
use job::admission::estimate::WaitRow;
use job::admission::returns::Returns;
use job::id::JobId;
use job::plan::Queue;
use job::spec::JobSpec;
use job::spec::Repeat;
use job::spec::StepSpec;
use model::Mono;

use crate::fixture::QUEUE;
use crate::fixture::plan;
use crate::fixture::service;
use crate::fixture::step;

const NOW: Mono = Mono(100_000);
const SECOND: Duration = Duration::from_secs(1);

fn id(number: u64) -> JobId {
    JobId::parse(&format!("{number:016x}")).expect("a valid id")
}

/// A job with an objective of 3 s, whose value ends after 9 s.
fn terms() -> JobTerms {
    JobTerms {
        queue: QUEUE.into(),
        work: 1_000_000,
        objective_ms: 3_000,
        path_ms: 1_000,
        ordinary: true,
        best_effort: false,
    }
}

fn spec(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: "payload".into(),
        steps,
        repeat: None,
    }
}

/// Guards against callers that come back together, and against ones that overtake earlier ones.
#[test]
fn callers_come_back_in_the_order_in_which_they_were_refused_and_apart() {
    let mut returns = Returns::default();
    let interval = Duration::from_millis(700);
    let delays: Vec<Duration> = (0..20)
        .filter_map(|number| {
            let now = NOW.after(Duration::from_millis(10 * number));
            let delay = returns.book(id(number), &terms(), (SECOND, interval), now)?;
            Some(now.after(delay).since(NOW))
        })
        .collect();
    assert_eq!(delays.len(), 20);
    for pair in delays.windows(2) {
        assert_eq!(pair[1].checked_sub(pair[0]), Some(interval), "{delays:?}");
    }
}

/// Guards against a caller that gets an earlier or a second place by asking again.
#[test]
fn a_caller_that_comes_back_too_early_is_told_the_same_time() {
    let mut returns = Returns::default();
    let times = (SECOND, 10 * SECOND);
    returns.book(id(1), &terms(), times, NOW);
    let first = returns.book(id(2), &terms(), times, NOW);
    let again = returns.book(id(2), &terms(), times, NOW.after(3 * SECOND));
    assert_eq!(first, again.map(|delay| delay + 3 * SECOND));
    assert!(!returns.is_due(id(2), NOW.after(3 * SECOND)));
    assert!(returns.is_due(id(2), NOW.after(11 * SECOND)));
    let third = returns.book(id(3), &terms(), times, NOW);
    assert_eq!(third, first.map(|delay| delay + 10 * SECOND));
}

/// Guards against a caller that has waited for its time and is sent to the end.
#[test]
fn a_caller_that_is_refused_at_its_time_does_not_wait_behind_later_ones() {
    let mut returns = Returns::default();
    let times = (SECOND, 10 * SECOND);
    for number in 1..=4 {
        returns.book(id(number), &terms(), times, NOW);
    }
    let now = NOW.after(2 * SECOND);
    assert!(returns.is_due(id(1), now));
    let again = returns.book(id(1), &terms(), times, now);
    assert_eq!(again, Some(SECOND));
}

/// Guards against memory that grows with the number of refusals, and against an endless wait.
#[test]
fn refusals_are_bounded_in_number_and_time() {
    let mut returns = Returns::default();
    let mut refused = 0;
    for number in 0..10_000 {
        let delay = returns.book(id(number), &terms(), (90 * SECOND, SECOND), NOW);
        refused += usize::from(delay.is_some());
        assert!(delay.is_none_or(|delay| delay <= 60 * SECOND));
    }
    assert_eq!(returns.len(), refused);
    assert!(refused < 5_000, "{refused}");
    returns.expire(NOW.after(80 * SECOND));
    assert!(returns.is_empty());
}

/// Guards against capacity that is left for callers whose jobs no longer have value.
#[test]
fn capacity_is_left_only_for_callers_that_are_due_with_value() {
    let mut returns = Returns::default();
    for number in 1..=2 {
        returns.book(id(number), &terms(), (SECOND, 20 * SECOND), NOW);
    }
    assert_eq!(returns.due(NOW).len(), 1);
    assert_eq!(returns.due(NOW.after(2 * SECOND)).len(), 1);
    assert_eq!(returns.due(NOW.after(4 * SECOND)).len(), 0, "did not come");
    assert_eq!(
        returns.due(NOW.after(21 * SECOND)).len(),
        0,
        "without value"
    );
}

fn estimate(row: WaitRow) -> AdmissionEstimate {
    AdmissionEstimate {
        queues: vec![QueueEstimate {
            queue: QUEUE.into(),
            best_effort: false,
            admission_rate: 1,
            rows: vec![row],
        }],
    }
}

/// Guards against refusals of jobs that can be done, near the threshold and with an old estimate.
#[test]
fn a_job_is_hopeless_only_if_it_starts_too_late_by_the_estimate() {
    const NONE: Duration = Duration::ZERO;
    // (work ahead, rate, late rate, elapsed, age, hopeless)
    let cases = [
        (1_900, 1_000, 100, NONE, NONE, false),
        (2_100, 1_000, 100, NONE, NONE, false),
        (2_700, 1_000, 100, NONE, NONE, true),
        (2_700, 1_000, 100, NONE, SECOND, false),
        (2_700, 1_000, 500, NONE, NONE, false),
        (1_900, 500, 100, NONE, NONE, true),
        (1_900, 1_000, 100, 7 * SECOND, NONE, true),
        (0, 1_000, 100, 7 * SECOND, NONE, false),
        (0, 1_000, 100, 9 * SECOND, NONE, true),
    ];
    for (ahead_ms, rate_permille, late_rate_permille, elapsed, age, hopeless) in cases {
        let estimate = estimate(WaitRow {
            from_work: 1_000,
            ahead_ms,
            late_ahead_ms: 0,
            rate_permille,
            late_rate_permille,
        });
        let verdict = judge(&estimate, &terms(), elapsed, age);
        assert_eq!(
            verdict != Verdict::MayHaveValue,
            hopeless,
            "{ahead_ms} {rate_permille} {late_rate_permille} {elapsed:?} {age:?}"
        );
        let small = JobTerms {
            work: 999,
            ..terms()
        };
        let verdict = judge(&estimate, &small, NONE, NONE);
        assert_eq!(verdict, Verdict::MayHaveValue, "a smaller job");
    }
}

/// Guards against refusals of work that admission control is not for.
#[test]
fn admission_control_applies_only_to_short_work_with_an_objective() {
    let queue = plan(2).queues[0].clone();
    let without_objective = Queue {
        target: Duration::ZERO,
        ..queue.clone()
    };
    let short = spec(vec![step(1, 1, 1_000)]);
    assert!(JobTerms::new(&queue, &short).is_some());
    assert!(JobTerms::new(&without_objective, &short).is_none());
    let lasting = spec(vec![step(1, 1, 1_000), service(1, 1, "image")]);
    assert!(JobTerms::new(&queue, &lasting).is_none());
    let repeated = JobSpec {
        repeat: Some(Repeat {
            first_due_unix_ms: 0,
            interval_ms: 1_000,
            times: 3,
        }),
        ..short
    };
    assert!(JobTerms::new(&queue, &repeated).is_none());
    let labelled = spec(vec![StepSpec {
        label: Some("label".into()),
        ..step(1, 1, 1_000)
    }]);
    assert!(JobTerms::new(&queue, &labelled).is_none());
}
