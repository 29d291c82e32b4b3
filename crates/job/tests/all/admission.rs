//! Replays of loads with admission control, without it and with a fixed limit of waiting jobs.

use std::sync::Arc;

use job::plan::Queue;
use job::scheduler::RunOutcome;

use crate::admission_load::Caller;
use crate::admission_load::Load;
use crate::admission_load::Outcome;
use crate::admission_load::Policy;
use crate::admission_world::replay;
use crate::fixture::Fixture;
use crate::fixture::QUEUE;
use crate::fixture::step;

const SEEDS: [u64; 3] = [1, 2, 3];
/// The jobs that may wait with the fixed limit: about what the executors begin in two seconds.
const MAX_WAITING: usize = 60;

const ORDINARY: Caller = Caller {
    part: 1.0,
    width: 8.0,
    best_effort: false,
};

const BURST: Load = Load {
    name: "burst of 2.5 for 4 s, then 0.9",
    executors: 30,
    callers: &[ORDINARY],
    phases: &[(15_000, 0.9), (19_000, 2.5), (60_000, 0.9)],
    cut_off: None,
    large_jobs: &[],
};

const STEADY: Load = Load {
    name: "steady 1.5",
    phases: &[(60_000, 1.5)],
    ..BURST
};

const LOSS: Load = Load {
    name: "half of the executors away for 10 s, 0.9",
    phases: &[(60_000, 0.9)],
    cut_off: Some((15, 20_000, 30_000)),
    ..BURST
};

const TWO_CALLERS: Load = Load {
    name: "two callers, one with ten times the jobs, 1.5",
    phases: &[(60_000, 1.5)],
    callers: &[
        Caller {
            part: 10.0 / 11.0,
            ..ORDINARY
        },
        Caller {
            part: 1.0 / 11.0,
            ..ORDINARY
        },
    ],
    ..BURST
};

const CALM: Load = Load {
    name: "calm with large jobs, 0.5",
    phases: &[(60_000, 0.5)],
    large_jobs: &[10_000, 20_000, 20_100, 40_000],
    ..BURST
};

const BEST_EFFORT: Load = Load {
    name: "steady 1.5, best-effort",
    phases: &[(60_000, 1.5)],
    callers: &[Caller {
        best_effort: true,
        ..ORDINARY
    }],
    ..BURST
};

const POLICIES: [Policy; 3] = [
    Policy::None,
    Policy::MaxWaiting(MAX_WAITING),
    Policy::Admission,
];

/// Replays a load with each policy, prints the outcomes of the callers, and returns them added up over
/// the seeds: by policy, then by caller.
fn compare(load: Load) -> [Vec<Outcome>; 3] {
    POLICIES.map(|policy| {
        let outcomes = SEEDS.map(|seed| replay(load, policy, seed));
        let callers = 0..load.callers.len();
        let sums: Vec<Outcome> = callers
            .map(|caller| Outcome::sum(outcomes.iter().map(|outcome| &outcome[caller])))
            .collect();
        for (caller, outcome) in sums.iter().enumerate() {
            println!("{} | {policy:?} | caller {caller} | {outcome:?}", load.name);
        }
        sums
    })
}

/// A job that was accepted must end, with value or without.
fn assert_none_is_left(outcomes: &[Vec<Outcome>; 3]) {
    let never: usize = outcomes.iter().flatten().map(|outcome| outcome.never).sum();
    assert_eq!(never, 0, "accepted and never done");
}

/// Guards against refusals that cost value, and against jobs that are accepted although they end too
/// late.
fn assert_better_than_both(outcomes: &[Vec<Outcome>; 3]) {
    assert_none_is_left(outcomes);
    let [none, fixed, admission] = outcomes;
    assert!(
        admission[0].value >= none[0].value,
        "less value than without"
    );
    assert!(
        admission[0].value > fixed[0].value,
        "less than a fixed limit"
    );
    assert!(
        admission[0].worthless < none[0].worthless,
        "as many in vain"
    );
    assert!(
        admission[0].refused < fixed[0].refused.max(none[0].worthless),
        "more refused than necessary"
    );
}

/// Guards against a wave of callers that come back together.
fn assert_no_wave(outcomes: &[Vec<Outcome>; 3]) {
    let [_, fixed, admission] = outcomes;
    assert!(
        2 * admission[0].largest_wave < fixed[0].largest_wave,
        "{} of {}",
        admission[0].largest_wave,
        fixed[0].largest_wave
    );
}

#[test]
fn a_burst_leaves_as_much_value_and_fewer_jobs_in_vain() {
    let outcomes = compare(BURST);
    assert_better_than_both(&outcomes);
    assert_no_wave(&outcomes);
    assert!(
        outcomes[2][0].served_after_refusal > 0,
        "none came back in time"
    );
}

#[test]
fn steady_overload_leaves_as_much_value_and_fewer_jobs_in_vain() {
    let outcomes = compare(STEADY);
    assert_better_than_both(&outcomes);
    assert_no_wave(&outcomes);
}

#[test]
fn best_effort_overload_leaves_as_much_value_and_fewer_jobs_in_vain() {
    let outcomes = compare(BEST_EFFORT);
    assert_better_than_both(&outcomes);
    assert_no_wave(&outcomes);
}

#[test]
fn the_loss_of_half_of_the_executors_leaves_as_much_value_and_fewer_jobs_in_vain() {
    assert_better_than_both(&compare(LOSS));
}

/// Guards against a caller that crowds out another one: the one with few jobs would have enough with
/// an equal share.
#[test]
fn the_caller_with_few_jobs_is_not_refused_for_those_of_the_other() {
    let outcomes = compare(TWO_CALLERS);
    assert_none_is_left(&outcomes);
    let [none, fixed, admission] = &outcomes;
    assert!(admission[0].refused > 0, "the other is not refused");
    assert_eq!(admission[1].refused, 0);
    assert!(admission[1].value > none[1].value);
    assert!(admission[1].value > fixed[1].value);
}

/// Guards against refusals without overload: the large jobs wait, and the small ones find room.
#[test]
fn nothing_is_refused_in_a_calm_system_with_a_few_large_jobs() {
    let outcomes = compare(CALM);
    assert_none_is_left(&outcomes);
    let admission = &outcomes[2][0];
    assert_eq!((admission.refused, admission.largest_wave), (0, 0));
}

/// Guards against capacity for a job without value while one that can be served waits for it,
/// whichever is smaller or older.
#[test]
fn a_hopeless_job_gets_no_capacity_before_one_that_can_be_served() {
    // (cores of the hopeless job, cores of the others)
    for (hopeless_cores, cores) in [(60, 60), (20, 60), (60, 20)] {
        let mut fixture = Fixture::new(1);
        fixture.submit(1, vec![step(1, 64, 1_000)]);
        fixture.start_all();
        let hopeless = fixture.submit(2, vec![step(1, hopeless_cores, 1_000)]);
        fixture.pass(60_000);
        let served: Vec<_> = (3..5)
            .map(|number| fixture.submit(number, vec![step(1, cores, 1_000)]))
            .collect();
        let ended = fixture.end(1, fixture.tasks_on(1)[0], RunOutcome::Done);
        fixture.report(1, vec![ended]);
        fixture.start_all();
        let starts = |id| {
            let key = fixture.scheduler.find(id).expect("the job is known");
            let job = fixture.scheduler.job(key).expect("the job is known");
            !job.has_waiting_tasks()
        };
        assert!(starts(served[0]) || starts(served[1]), "{cores}");
        assert!(!starts(hopeless), "{hopeless_cores} {cores}");
    }
}

/// Guards against an estimate that costs as much for each queue of the document as for one with jobs: a
/// document of thousands of queues took the owner's processor.
#[test]
fn queues_without_work_are_not_estimated() {
    let mut fixture = Fixture::new(1);
    let mut plan = (*fixture.scheduler.plan).clone();
    let mut queues: Vec<Queue> = plan.queues.iter().cloned().collect();
    let own = queues[0].clone();
    queues.extend((0..3_000).map(|number| Queue {
        name: format!("idle-{number}").into(),
        path_prefix: format!("/idle-{number}/").into(),
        ..own.clone()
    }));
    plan.queues = queues.into();
    fixture.scheduler.plan = Arc::new(plan);
    for number in 1..=20 {
        fixture.submit(number, vec![step(10, 8, 2_000)]);
    }
    fixture.start_all();
    let backlog = fixture.scheduler.take_backlog(fixture.now);
    let names: Vec<&str> = backlog.queues.iter().map(|queue| &*queue.queue).collect();
    assert_eq!(names, [QUEUE]);
}
