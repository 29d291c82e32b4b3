//! Faulty workers are quarantined, failing jobs are not blamed on workers, and most of the fleet
//! stays in use.

use model::Mono;
use model::Size;
use model::id::TaskId;
use sched::Decision;
use sched::Sched;
use sched::decision::Reason;
use sched::input::RunOutcome;

use crate::fixture;
use crate::fixture::WORKER;

const UNIT: Size = Size::new(1000, 1000, 0);

/// Runs a job of a class on a worker until it ends with `end`.
fn run(sched: &mut Sched, id: &str, class: &str, worker: usize, end: RunOutcome, now: Mono) {
    fixture::run(
        sched,
        fixture::task(id, class, UNIT),
        &format!("w{worker}"),
        now,
    );
    fixture::end(sched, id, end, now);
}

fn quarantined(decisions: &[Decision]) -> Vec<String> {
    let names = decisions.iter().filter_map(|decision| match decision {
        Decision::Quarantine { worker, .. } => Some(worker.to_string()),
        _ => None,
    });
    names.collect()
}

fn readmitted(decisions: &[Decision]) -> Vec<Reason> {
    let reasons = decisions.iter().filter_map(|decision| match decision {
        Decision::Readmit { why, .. } => Some(*why),
        _ => None,
    });
    reasons.collect()
}

/// Returns a scheduler for a fleet on which each class has succeeded on several workers.
fn healthy(count: usize) -> Sched {
    let mut sched = fixture::fleet(&fixture::document(), count, WORKER);
    for (number, class) in ["study", "check", "quiet"]
        .into_iter()
        .cycle()
        .take(24)
        .enumerate()
    {
        run(
            &mut sched,
            &format!("good{number}"),
            class,
            2 + number % (count - 2),
            RunOutcome::Succeeded,
            Mono(0),
        );
    }
    sched
}

#[test]
fn distinct_jobs_that_fail_on_one_worker_quarantine_it() {
    let mut sched = healthy(10);
    for number in 0..2 {
        run(
            &mut sched,
            &format!("bad{number}"),
            "study",
            0,
            RunOutcome::Failed,
            Mono(1000),
        );
    }
    assert!(
        quarantined(&fixture::decide_and_confirm(&mut sched, Mono(1001))).is_empty(),
        "two failures may be a coincidence"
    );
    run(
        &mut sched,
        "bad2",
        "check",
        0,
        RunOutcome::Failed,
        Mono(1002),
    );
    assert_eq!(
        quarantined(&fixture::decide_and_confirm(&mut sched, Mono(1003))),
        ["w0"]
    );
    for number in 0..100 {
        sched.enqueue(fixture::task(&format!("more{number}"), "quiet", UNIT));
    }
    let starts = fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(1004)));
    assert_eq!(starts.len(), 100);
    assert!(starts.iter().all(|(_, worker, _)| worker.as_str() != "w0"));
}

#[test]
fn one_job_that_fails_everywhere_quarantines_no_worker() {
    let mut sched = healthy(10);
    for number in 0..30 {
        run(
            &mut sched,
            "bad",
            "study",
            number % 10,
            RunOutcome::Failed,
            Mono(number as u64 * 1000),
        );
        let decisions = fixture::decide_and_confirm(&mut sched, Mono(number as u64 * 1000 + 1));
        assert!(quarantined(&decisions).is_empty());
    }
}

#[test]
fn a_wave_of_failing_jobs_stays_within_the_quarantine_cap() {
    for (name, distinct_workers) in [("spread", 20), ("on three workers first", 3)] {
        let mut sched = healthy(20);
        let mut worst = 0;
        for number in 0..400_usize {
            let worker = if number < 60 {
                number % distinct_workers
            } else {
                number % 20
            };
            let now = Mono(1000 + number as u64);
            run(
                &mut sched,
                &format!("bad{number}"),
                "study",
                worker,
                RunOutcome::Failed,
                now,
            );
            fixture::decide_and_confirm(&mut sched, now);
            let dump = sched.dump();
            worst = worst.max(
                dump.workers
                    .iter()
                    .filter(|worker| worker.quarantined)
                    .count(),
            );
        }
        assert!(worst <= 2, "{name}: {worst} of 20, the cap is a tenth");
        let dump = sched.dump();
        let left = dump
            .workers
            .iter()
            .filter(|worker| worker.quarantined)
            .count();
        assert_eq!(left, 0, "{name}: the failures are attributed to the class");
    }
}

#[test]
fn a_probe_decides_whether_a_worker_is_readmitted() {
    for (end, is_readmitted) in [(RunOutcome::Succeeded, true), (RunOutcome::Failed, false)] {
        let mut sched = healthy(10);
        for number in 0..5 {
            run(
                &mut sched,
                &format!("bad{number}"),
                "study",
                0,
                RunOutcome::Failed,
                Mono(1000),
            );
        }
        assert_eq!(
            quarantined(&fixture::decide_and_confirm(&mut sched, Mono(1001))),
            ["w0"]
        );
        let due = Mono(302_000);
        for number in 0..10 {
            sched.enqueue(fixture::task(&format!("next{number}"), "check", UNIT));
        }
        let decisions = fixture::decide_and_confirm(&mut sched, due);
        let probes = decisions.iter().filter_map(|decision| match decision {
            Decision::Start {
                task,
                worker,
                why: Reason::Probe,
                ..
            } => Some((task.clone(), worker.clone())),
            _ => None,
        });
        let probes: Vec<_> = probes.collect();
        assert_eq!(probes.len(), 1, "one probe at a time");
        assert_eq!(probes[0].1.as_str(), "w0");
        sched.ended(&probes[0].0, end, Mono(due.0 + 5000));
        let decisions = fixture::decide_and_confirm(&mut sched, Mono(due.0 + 5001));
        assert_eq!(
            readmitted(&decisions).contains(&Reason::ProbePassed),
            is_readmitted,
            "{end:?}"
        );
        sched.enqueue(fixture::task("after", "check", UNIT));
        let again = fixture::decide_and_confirm(&mut sched, Mono(due.0 + 310_000));
        let probes = again.iter().filter(|decision| {
            matches!(
                decision,
                Decision::Start {
                    why: Reason::Probe,
                    ..
                }
            )
        });
        assert_eq!(
            probes.count(),
            0,
            "a failed probe doubles the delay before the next one"
        );
    }
}

/// Returns a scheduler in which `w0` is quarantined after `failures` jobs have failed there, while
/// the job `earlier` goes on running there.
fn quarantined_beside_a_run(failures: usize) -> Sched {
    let mut sched = healthy(10);
    let earlier = fixture::task("earlier", "check", UNIT);
    fixture::run(&mut sched, earlier, "w0", Mono(500));
    for number in 0..failures {
        let id = format!("bad{number}");
        run(&mut sched, &id, "study", 0, RunOutcome::Failed, Mono(1000));
    }
    let decisions = fixture::decide_and_confirm(&mut sched, Mono(1001));
    assert_eq!(quarantined(&decisions), ["w0"]);
    sched
}

/// Returns the tasks that start as probes.
fn probes(decisions: &[Decision]) -> Vec<TaskId> {
    let probes = decisions.iter().filter_map(|decision| match decision {
        Decision::Start {
            task,
            why: Reason::Probe,
            ..
        } => Some(task.clone()),
        _ => None,
    });
    probes.collect()
}

#[test]
fn a_run_that_began_before_the_quarantine_readmits_no_worker_by_its_success() {
    for failures in [3, 5] {
        let mut sched = quarantined_beside_a_run(failures);
        fixture::end(&mut sched, "earlier", RunOutcome::Succeeded, Mono(2000));
        let decisions = fixture::decide_and_confirm(&mut sched, Mono(2001));
        assert_eq!(readmitted(&decisions), [], "{failures} failures");
        sched.enqueue(fixture::task("next", "check", UNIT));
        let decisions = fixture::decide_and_confirm(&mut sched, Mono(302_000));
        let probe = probes(&decisions).pop().expect("a probe is due");
        sched.ended(&probe, RunOutcome::Succeeded, Mono(303_000));
        let decisions = fixture::decide_and_confirm(&mut sched, Mono(303_001));
        assert_eq!(readmitted(&decisions), [Reason::ProbePassed]);
    }
}

/// A start that fails and a run that turns out to be on another worker.
#[test]
fn a_probe_that_did_not_run_on_the_quarantined_worker_gives_way_to_another() {
    type Event = fn(&mut Sched, &TaskId, Mono);
    let events: [(&str, Event); 2] = [
        ("the start fails", |sched, probe, now| {
            sched.decision_failed(probe, now);
            fixture::assign(sched, probe, "w5", now);
        }),
        ("the run is on another worker", |sched, probe, now| {
            fixture::assign(sched, probe, "w5", now);
        }),
    ];
    for (name, event) in events {
        let mut sched = quarantined_beside_a_run(3);
        sched.enqueue(fixture::task("next", "check", UNIT));
        let decisions = sched.decide(Mono(302_000), fixture::BUDGET);
        let probe = probes(&decisions).pop().expect("a probe is due");
        event(&mut sched, &probe, Mono(302_001));
        // A run elsewhere that lasts says nothing about the worker.
        let decisions = fixture::decide_and_confirm(&mut sched, Mono(500_000));
        assert_eq!(readmitted(&decisions), [], "{name}");
        sched.ended(&probe, RunOutcome::Succeeded, Mono(500_001));
        sched.enqueue(fixture::task("another", "check", UNIT));
        let decisions = fixture::decide_and_confirm(&mut sched, Mono(500_002));
        assert_eq!(probes(&decisions), [TaskId::new("another")], "{name}");
    }
}

#[test]
fn the_only_worker_is_never_quarantined() {
    let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
    for number in 0..20 {
        run(
            &mut sched,
            &format!("bad{number}"),
            "study",
            0,
            RunOutcome::Failed,
            Mono(number),
        );
        assert!(quarantined(&fixture::decide_and_confirm(&mut sched, Mono(number))).is_empty());
    }
}

/// How many failed jobs the scheduler keeps track of.
const TRACKED_JOBS: usize = 4096;

/// Lets jobs that have never failed before fail on each of two workers, so that they are evidence
/// against neither.
fn fail_on_both_workers(sched: &mut Sched, count: usize) {
    for number in 0..count {
        for worker in 0..2 {
            let id = format!("other{number}");
            run(sched, &id, "quiet", worker, RunOutcome::Failed, Mono(1000));
        }
    }
}

/// Starts a job on a fleet of two workers and returns the worker.
fn started_on(sched: &mut Sched, id: &str) -> String {
    sched.enqueue(fixture::task(id, "study", UNIT));
    let starts = fixture::starts(&fixture::decide_and_confirm(sched, Mono(2000)));
    assert_eq!(starts.len(), 1);
    starts[0].1.to_string()
}

#[test]
fn a_job_that_fails_again_after_a_success_is_remembered_as_long_as_any_other() {
    for failed_on in 0..2 {
        let mut sched = fixture::fleet(&fixture::document(), 2, WORKER);
        for end in [
            RunOutcome::Failed,
            RunOutcome::Succeeded,
            RunOutcome::Failed,
        ] {
            run(&mut sched, "bad", "study", failed_on, end, Mono(0));
        }
        fail_on_both_workers(&mut sched, TRACKED_JOBS - 1);
        let other = format!("w{}", 1 - failed_on);
        assert_eq!(started_on(&mut sched, "bad"), other);
    }
}

#[test]
fn jobs_that_have_succeeded_since_take_no_room_among_the_failed_ones() {
    for failed_on in 0..2 {
        let mut sched = fixture::fleet(&fixture::document(), 2, WORKER);
        let bad = |sched: &mut Sched, end| run(sched, "bad", "study", failed_on, end, Mono(0));
        bad(&mut sched, RunOutcome::Failed);
        for number in 0..TRACKED_JOBS {
            for end in [RunOutcome::Failed, RunOutcome::Succeeded] {
                let id = format!("mended{number}");
                run(&mut sched, &id, "quiet", number % 2, end, Mono(1000));
            }
        }
        let other = format!("w{}", 1 - failed_on);
        assert_eq!(started_on(&mut sched, "bad"), other);
    }
}
