//! Tests of what counts against an executor and what against a job.

use job::id::JobId;
use job::scheduler::Command;
use job::scheduler::RunOutcome;
use job::scheduler::TaskKey;
use job::spec::StepSpec;
use model::Size;

use crate::fixture::Fixture;
use crate::fixture::listing;
use crate::fixture::step;

/// How often an executor answers polls, in milliseconds.
const POLL_MS: u64 = 250;

/// What the first executor runs and has ended.
#[derive(Default)]
struct First {
    /// The runs with the time of their first report.
    runs: Vec<(TaskKey, u64)>,
    ends: u64,
}

impl First {
    /// Reports all tasks on the executor for some time; a task has made the progress that `percent_of`
    /// says after a time in milliseconds. Stopped tasks end as interrupted and start again. Returns
    /// the tasks that were stopped, with the time.
    fn run_for(
        &mut self,
        fixture: &mut Fixture,
        ms: u64,
        percent_of: &dyn Fn(TaskKey, u64) -> u64,
    ) -> Vec<(u64, TaskKey)> {
        let executor = fixture.executor(1);
        let begin = fixture.now.0;
        let mut stops = Vec::new();
        while fixture.now.0 < begin + ms {
            fixture.pass(POLL_MS);
            let now = fixture.now.0;
            let tasks = fixture.tasks_on(1);
            let rows = tasks.into_iter().map(|key| {
                let progress = percent_of(key, now - self.running_since(key, now));
                let progress = u32::try_from(progress.min(99)).unwrap_or(99);
                fixture.running(key, progress, 0)
            });
            let rows = rows.collect();
            fixture.report_rows(1, rows, Vec::new());
            fixture.scheduler.stop_stalled(executor, fixture.now);
            for command in fixture.scheduler.take_commands() {
                if let Command::Stop { key: Some(key), .. } = command {
                    stops.push((now - begin, key));
                    self.end(fixture, key);
                }
            }
            fixture.start_all();
        }
        stops
    }

    fn running_since(&mut self, key: TaskKey, now: u64) -> u64 {
        let known = self.runs.iter().find(|(known, _)| *known == key);
        let since = known.map_or(now, |(_, since)| *since);
        if since == now {
            self.runs.push((key, now));
        }
        since
    }

    fn end(&mut self, fixture: &mut Fixture, key: TaskKey) {
        self.runs.retain(|(known, _)| *known != key);
        self.ends += 1;
        let end = fixture.end(self.ends, key, RunOutcome::Interrupted);
        fixture.report(1, vec![end]);
    }
}

/// Reports all tasks on the first executor for some time, see [`First::run_for`].
fn run_for(
    fixture: &mut Fixture,
    ms: u64,
    percent_of: &dyn Fn(TaskKey, u64) -> u64,
) -> Vec<(u64, TaskKey)> {
    First::default().run_for(fixture, ms, percent_of)
}

/// Returns the number of the first executor's tasks that belong to a job.
fn tasks_of(fixture: &Fixture, id: JobId) -> usize {
    let key = fixture.scheduler.find(id);
    let tasks = fixture.tasks_on(1);
    tasks.iter().filter(|task| Some(task.job) == key).count()
}

/// Guards against taking the rounding of progress for a stall: a task of two minutes gains a percent in
/// 1.2 s, and was stopped over and over.
#[test]
fn a_task_is_not_stopped_while_it_progresses_as_its_estimate_says() {
    for (duration_ms, real_ms) in [
        (106_000, 106_000),
        (130_000, 130_000),
        (600_000, 600_000),
        (36_000_000, 36_000_000),
        // The estimate is too small by nearly half.
        (60_000, 110_000),
        (5_000, 9_000),
        (600, 1_000),
    ] {
        let mut fixture = Fixture::new(1);
        fixture.submit(1, vec![step(1, 2, duration_ms)]);
        fixture.start_all();
        let percent = |_, ms| ms * 100 / real_ms;
        let stops = run_for(&mut fixture, real_ms.min(120_000), &percent);
        assert!(stops.is_empty(), "{duration_ms} ms: {stops:?}");
    }
}

/// Guards against a longer tolerance that would leave tasks on an executor that hangs or has become
/// several times slower.
#[test]
fn a_task_on_a_faulty_executor_is_stopped_within_a_tenth_of_its_duration() {
    for duration_ms in [600, 2_000, 6_800, 30_000, 120_000] {
        for slowdown in [None, Some(10)] {
            let mut fixture = Fixture::new(1);
            fixture.submit(1, vec![step(1, 2, duration_ms)]);
            fixture.start_all();
            let percent = |_, ms| slowdown.map_or(0, |factor| ms * 100 / (duration_ms * factor));
            let stops = run_for(&mut fixture, 15_000, &percent);
            let within = 1_500 + duration_ms / 10;
            let first = stops.first().map(|(at, _)| *at);
            assert!(
                first.is_some_and(|at| at <= within),
                "{duration_ms} ms, {slowdown:?}: {stops:?}"
            );
        }
    }
}

/// Guards against tasks that can never be as fast as their estimate and are stopped for as long as they
/// exist.
#[test]
fn a_task_that_stalls_everywhere_is_stopped_three_times_and_then_left_alone() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 2, 5_000)]);
    fixture.start_all();
    let stops = run_for(&mut fixture, 60_000, &|_, ms| ms * 100 / 300_000);
    assert_eq!(stops.len(), 3, "{stops:?}");
    assert_eq!(fixture.tasks_on(1).len(), 1);
}

/// Guards against a count that begins anew with each owner.
#[test]
fn a_successor_knows_how_often_a_task_was_stopped_for_a_stall() {
    let mut fixture = Fixture::new(1);
    let id = fixture.submit(1, vec![step(1, 2, 5_000)]);
    fixture.start_all();
    let percent = |_, ms| ms * 100 / 300_000;
    let mut stops = run_for(&mut fixture, 2_000, &percent).len();
    assert!((1..3).contains(&stops), "{stops}");
    let key = fixture.scheduler.find(id).expect("the job exists");
    let job = fixture.scheduler.job(key).expect("the job exists");
    let record = job::record::encode(job, &fixture.scheduler.fleet, usize::MAX);
    let record = job::record::decode(&record.bytes).expect("a valid record");
    let mut next = Fixture::new(1);
    next.scheduler
        .restore(fixture.submission(id), &record, next.now);
    next.report_rows(1, Vec::new(), Vec::new());
    next.start_all();
    stops += run_for(&mut next, 60_000, &percent).len();
    assert_eq!(stops, 3);
}

/// Guards against a cooldown of a healthy executor for a task that is slow for a reason of its own.
#[test]
fn an_executor_on_which_other_tasks_progress_takes_new_tasks_after_a_stall() {
    let mut fixture = Fixture::new(1);
    let slow = fixture.submit(1, vec![step(1, 2, 5_000)]);
    fixture.submit(2, vec![step(4, 2, 20_000)]);
    fixture.start_all();
    let slow_key = fixture.scheduler.find(slow);
    let percent = |key: TaskKey, ms| {
        let duration_ms = if Some(key.job) == slow_key {
            300_000
        } else {
            20_000
        };
        ms * 100 / duration_ms
    };
    let mut number = 2;
    let mut stopped = 0;
    let mut first = First::default();
    for _ in 0..30 {
        stopped += first.run_for(&mut fixture, POLL_MS, &percent).len();
        number += 1;
        let id = fixture.submit(number, vec![step(1, 1, 20_000)]);
        fixture.start_all();
        assert_eq!(tasks_of(&fixture, id), 1, "after {stopped} stops");
    }
    assert!(stopped > 0);
}

/// Guards against a task that uses up its stops on an executor that hangs, because it is the only one with
/// room at the moment.
#[test]
fn a_stalled_task_does_not_start_on_the_same_executor_at_once() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 2, 5_000)]);
    fixture.start_all();
    let stops = run_for(&mut fixture, 12_000, &|_, _| 0);
    let times: Vec<u64> = stops.iter().map(|(at, _)| *at).collect();
    assert_eq!(times.len(), 3, "{times:?}");
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.min() >= Some(3_500), "{times:?}");
}

/// Guards against a cooldown on the evidence of one job, whose tasks may all be slow.
#[test]
fn stalls_of_one_job_put_no_executor_into_cooldown() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(4, 2, 5_000)]);
    fixture.start_all();
    let stops = run_for(&mut fixture, 1_500, &|_, _| 0);
    assert!(!stops.is_empty());
    let id = fixture.submit(2, vec![step(1, 1, 20_000)]);
    fixture.start_all();
    assert_eq!(tasks_of(&fixture, id), 1);
}

/// Guards against new tasks on an executor that hangs, where tasks of all jobs stall. The tasks find no
/// room elsewhere.
#[test]
fn stalls_of_two_jobs_put_their_executor_into_cooldown() {
    let mut fixture = Fixture::new(1);
    let mut small = listing(2);
    small.capacity = Size::new(1_000, 1_000, 0);
    fixture.list(vec![listing(1), small]);
    for number in 1..=2 {
        fixture.submit(number, vec![step(1, 2, 5_000)]);
    }
    fixture.start_all();
    let stops = run_for(&mut fixture, 1_500, &|_, _| 0);
    assert_eq!(stops.len(), 2, "{stops:?}");
    fixture.start_all();
    assert_eq!(fixture.tasks_on(1).len(), 0);
    fixture.pass(2_500);
    fixture.start_all();
    assert_eq!(fixture.tasks_on(1).len(), 2);
}

/// Guards against new tasks on an executor that may hang while others have room, although one stall is
/// no proof.
#[test]
fn another_executor_is_preferred_after_a_stall() {
    let mut fixture = Fixture::new(2);
    // The second executor is the fuller one.
    let wide = StepSpec {
        max_per_executor: 1,
        ..step(2, 2, 5_000)
    };
    fixture.submit(1, vec![wide]);
    fixture.start_all();
    let key = fixture.tasks_on(1)[0];
    let executor = fixture.executor(1);
    for _ in 0..6 {
        fixture.pass(POLL_MS);
        let rows = vec![fixture.running(key, 7, 0)];
        fixture.report_rows(1, rows, Vec::new());
        fixture.scheduler.stop_stalled(executor, fixture.now);
    }
    let end = fixture.end(1, key, RunOutcome::Interrupted);
    fixture.report_rows(1, Vec::new(), vec![end]);
    let id = fixture.submit(2, vec![step(1, 1, 5_000)]);
    fixture.start_all();
    assert_eq!(tasks_of(&fixture, id), 0);
}

/// Returns the progress of a task that takes `real_ms`.
const fn percent(ms: u64, real_ms: u64) -> u64 {
    ms * 100 / real_ms
}

/// Guards against a straggler that is stopped over and over: of some images, a few tasks in a hundred
/// take seven times as long as the rest, wherever they run.
#[test]
fn a_straggler_is_not_stopped_while_others_on_its_executor_progress() {
    let mut fixture = Fixture::new(1);
    let straggler = fixture.submit(1, vec![step(1, 2, 1_000)]);
    fixture.submit(2, vec![step(4, 2, 9_000)]);
    fixture.start_all();
    let job = fixture.scheduler.find(straggler);
    let progress = |key: TaskKey, ms| {
        let real_ms = if Some(key.job) == job { 7_000 } else { 9_000 };
        percent(ms, real_ms)
    };
    let stops = run_for(&mut fixture, 6_500, &progress);
    assert_eq!(stops, []);
}

/// Guards against the same where the straggler is alone on its executor, so that its first stop may
/// have had a reason.
#[test]
fn a_straggler_that_is_alone_is_stopped_once() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 2, 1_000)]);
    fixture.start_all();
    let stops = run_for(&mut fixture, 7_500, &|_, ms| percent(ms, 7_000));
    assert_eq!(stops.len(), 1, "{stops:?}");
}
