//! Tests of tasks under which executors crash.

use job::id::JobId;
use job::scheduler::JobState;
use job::scheduler::TaskKey;
use job::spec::StepSpec;
use job::wait_reason::WaitReason;

use crate::crash_world::CrashWorld;
use crate::crash_world::Return;
use crate::fixture::Fixture;
use crate::fixture::service;
use crate::fixture::step;

/// The time after which a crashed executor is back, in milliseconds.
const AWAY_MS: u64 = 3_200;
/// How often a task may start after three executors have crashed under it.
const STARTS_AFTER_THREE_CRASHES: u32 = 2;

/// Returns the key of a job's first task.
fn first_task(world: &CrashWorld, job: JobId) -> TaskKey {
    let job = world.fixture.scheduler.find(job).expect("the job exists");
    TaskKey { job, slot: 0 }
}

/// Returns the number of crashes that a task is suspected of.
fn crashes(fixture: &Fixture, key: TaskKey) -> u32 {
    let task = fixture.scheduler.task(key);
    task.expect("the task exists").crashes
}

fn assert_given_up_in_time(world: &CrashWorld, key: TaskKey) {
    let crashes = world.crashes.get(&key).copied().unwrap_or(0);
    let starts = world.starts.get(&key).copied().unwrap_or(0);
    assert!(crashes >= 2, "given up after {crashes} crashes");
    let most = 3 + STARTS_AFTER_THREE_CRASHES;
    assert!(starts <= most, "started {starts} times");
}

#[test]
fn a_task_that_crashes_each_executor_is_given_up_before_its_third_start_after_three_crashes() {
    for returns in [Return::Renamed(AWAY_MS), Return::SameName(AWAY_MS)] {
        let mut world = CrashWorld::new(12, returns);
        let job = world.submit(1, vec![step(4, 4, 600)]);
        let key = world.make_deadly(job, 0);
        world.run(60_000);
        assert_eq!(
            world.fixture.scheduler.state(job),
            Some(JobState::Failed),
            "{returns:?}: started {:?} times",
            world.starts.get(&key)
        );
        assert_given_up_in_time(&world, key);
    }
}

#[test]
fn a_long_running_task_that_crashes_each_executor_is_given_up_as_well() {
    let mut world = CrashWorld::new(12, Return::Renamed(AWAY_MS));
    let job = world.submit(1, vec![service(3, 4, "image")]);
    let key = world.make_deadly(job, 1);
    world.run(60_000);
    assert_eq!(world.fixture.scheduler.state(job), Some(JobState::Failed));
    assert_given_up_in_time(&world, key);
}

#[test]
fn tasks_of_a_crashed_executor_start_again_once_a_later_process_answers_at_its_address() {
    let mut world = CrashWorld::new(2, Return::Renamed(AWAY_MS));
    let job = world.submit(1, vec![step(1, 4, 60_000)]);
    world.run(3_000);
    let key = first_task(&world, job);
    world.crash_below(key);
    world.run(AWAY_MS + 1_000);
    assert!(world.is_running(key), "the task still waits for the lease");
}

#[test]
fn a_task_whose_executors_are_only_cut_off_is_not_given_up() {
    for away_ms in [2_000, 8_000] {
        let mut world = CrashWorld::new(12, Return::CutOff(away_ms));
        let job = world.submit(1, vec![step(1, 4, 60_000)]);
        let key = first_task(&world, job);
        for _ in 0..5 {
            world.run(800);
            if world.is_running(key) {
                world.crash_below(key);
            }
            world.run(9_000);
            let state = world.fixture.scheduler.state(job);
            assert_eq!(state, Some(JobState::Running), "away for {away_ms} ms");
        }
    }
}

#[test]
fn a_task_whose_executors_drain_before_they_leave_is_not_given_up() {
    let mut world = CrashWorld::new(12, Return::Renamed(AWAY_MS));
    let job = world.submit(1, vec![step(1, 4, 100)]);
    let key = world.make_deadly(job, 0);
    // The executors announce that they leave, and the task starts just before.
    world.drain_all_when_they_end();
    world.run(20_000);
    let state = world.fixture.scheduler.state(job);
    assert_eq!(state, Some(JobState::Running));
    assert!(world.starts.get(&key).is_some_and(|starts| *starts > 3));
}

/// BUDGET the other way round: only a successor under another name was checked for an announced
/// departure, so that jobs were given up that had crashed nothing.
#[test]
fn a_drained_executor_that_returns_under_its_name_has_not_crashed() {
    let mut world = CrashWorld::new(12, Return::SameName(AWAY_MS));
    let job = world.submit(1, vec![step(1, 4, 100)]);
    world.make_deadly(job, 0);
    world.drain_all_when_they_end();
    world.run(20_000);
    let state = world.fixture.scheduler.state(job);
    assert_eq!(state, Some(JobState::Running));
}

#[test]
fn a_task_that_ran_on_for_a_while_before_each_crash_is_not_given_up() {
    let mut world = CrashWorld::new(12, Return::Renamed(AWAY_MS));
    let job = world.submit(1, vec![service(1, 4, "image")]);
    let key = first_task(&world, job);
    for _ in 0..6 {
        world.run(5_000);
        world.crash_below(key);
        world.run(AWAY_MS + 2_000);
    }
    let state = world.fixture.scheduler.state(job);
    assert_eq!(state, Some(JobState::Running));
    assert!(world.is_running(key));
}

#[test]
fn tasks_that_start_beside_a_task_that_crashes_executors_are_not_given_up() {
    // Few executors, so that the tasks of all jobs share them.
    let mut world = CrashWorld::new(6, Return::Renamed(AWAY_MS));
    let mut sound = Vec::new();
    let mut deadly = Vec::new();
    for number in 1..=24 {
        let job = world.submit(number, vec![step(8, 4, 600)]);
        if number % 8 == 0 {
            let key = world.make_deadly(job, 0);
            deadly.push((job, key));
        } else {
            sound.push(job);
        }
        world.run(400);
    }
    world.run(60_000);
    for (job, key) in deadly {
        assert_eq!(world.fixture.scheduler.state(job), Some(JobState::Failed));
        assert_given_up_in_time(&world, key);
    }
    for job in sound {
        let state = world.fixture.scheduler.state(job);
        assert_eq!(state, Some(JobState::Succeeded), "{job}");
    }
}

#[test]
fn crashes_under_a_task_are_counted_across_takeovers() {
    let mut world = CrashWorld::new(12, Return::Renamed(AWAY_MS));
    let job = world.submit(1, vec![step(2, 4, 600)]);
    let key = world.make_deadly(job, 0);
    for _ in 0..6 {
        world.run(4_500);
        if world.fixture.scheduler.state(job) == Some(JobState::Failed) {
            break;
        }
        world.take_over();
    }
    assert_eq!(world.fixture.scheduler.state(job), Some(JobState::Failed));
    assert_given_up_in_time(&world, key);
}

#[test]
fn a_run_of_an_earlier_owner_is_not_suspected_of_a_crash_after_the_takeover() {
    let mut world = CrashWorld::new(12, Return::Renamed(AWAY_MS));
    let job = world.submit(1, vec![service(1, 4, "image")]);
    let key = first_task(&world, job);
    for _ in 0..6 {
        world.run_until(10_000, |world| world.is_running(key));
        world.run(600);
        world.take_over();
        world.crash_below(key);
        world.run(100);
    }
    let state = world.fixture.scheduler.state(job);
    assert!(state.is_some_and(|state| !state.is_final()), "{state:?}");
}

/// BUDGET: with owners that were lost between each crash and its discovery, such a task was started
/// again and again, because the successor neither knew that its run was new nor the address at which
/// a later process shows the crash.
#[test]
fn crashes_that_become_known_after_a_takeover_are_counted() {
    let gang = StepSpec {
        gang: true,
        ..step(4, 30, 600)
    };
    let steps = [step(4, 4, 600), service(3, 4, "image"), gang];
    let returns = [Return::Renamed(AWAY_MS), Return::SameName(AWAY_MS)];
    for (step, returns) in steps
        .iter()
        .flat_map(|step| returns.map(|returns| (step, returns)))
    {
        // The times after which owners are lost; the second one may store nothing.
        for owners in [&[300][..], &[300, 300], &[300, 0]] {
            let mut world = CrashWorld::new(12, returns);
            let job = world.submit(1, vec![step.clone()]);
            let key = world.make_deadly(job, 0);
            let is_failed =
                |world: &CrashWorld| world.fixture.scheduler.state(job) == Some(JobState::Failed);
            for crash in 1..=6 {
                world.run_until(20_000, |world| {
                    world.crashes.get(&key) == Some(&crash) || is_failed(world)
                });
                for lost_after_ms in owners {
                    world.run(*lost_after_ms);
                    if !is_failed(&world) {
                        world.take_over();
                    }
                }
            }
            assert!(
                is_failed(&world),
                "{owners:?}, {returns:?}, {step:?}: started {:?} times",
                world.starts.get(&key)
            );
            assert_given_up_in_time(&world, key);
        }
    }
}

#[test]
fn a_run_that_its_executor_had_survived_is_not_suspected_after_a_takeover() {
    for returns in [Return::Renamed(AWAY_MS), Return::SameName(AWAY_MS)] {
        let mut world = CrashWorld::new(12, returns);
        let job = world.submit(1, vec![service(1, 4, "image")]);
        let key = first_task(&world, job);
        for _ in 0..4 {
            world.run_until(10_000, |world| world.is_running(key));
            world.run(3_000);
            world.crash_below(key);
            world.run(300);
            world.take_over();
            world.run_until(10_000, |world| world.is_running(key));
            assert_eq!(crashes(&world.fixture, key), 0, "{returns:?}");
        }
    }
}

#[test]
fn a_crash_that_is_known_only_after_the_lease_has_lapsed_counts() {
    let mut world = CrashWorld::new(12, Return::Renamed(8_000));
    let job = world.submit(1, vec![step(2, 4, 600)]);
    let key = world.make_deadly(job, 0);
    world.run(60_000);
    assert_eq!(world.fixture.scheduler.state(job), Some(JobState::Failed));
    assert_given_up_in_time(&world, key);
}

#[test]
fn a_gang_with_a_member_that_crashes_executors_is_given_up() {
    let mut world = CrashWorld::new(12, Return::Renamed(AWAY_MS));
    let gang = StepSpec {
        gang: true,
        ..step(4, 30, 600)
    };
    let job = world.submit(1, vec![gang]);
    let key = world.make_deadly(job, 2);
    world.run(60_000);
    assert_eq!(world.fixture.scheduler.state(job), Some(JobState::Failed));
    assert_given_up_in_time(&world, key);
}

#[test]
fn tasks_that_are_placed_together_again_after_a_crash_are_not_given_up() {
    let mut world = CrashWorld::new(10, Return::Renamed(AWAY_MS));
    // Services of one image are packed, and a deadly one is among them.
    let sound: Vec<JobId> = (1..=6)
        .map(|number| world.submit(number, vec![service(4, 2, "image")]))
        .collect();
    let deadly = world.submit(7, vec![service(1, 2, "image")]);
    let key = world.make_deadly(deadly, 0);
    world.run(60_000);
    let state = world.fixture.scheduler.state(deadly);
    assert_eq!(state, Some(JobState::Failed));
    assert_given_up_in_time(&world, key);
    for job in sound {
        let state = world.fixture.scheduler.state(job);
        assert_eq!(state, Some(JobState::Running), "{job}");
    }
}

#[test]
fn a_task_that_waits_to_start_alone_says_so() {
    let mut world = CrashWorld::new(1, Return::Renamed(AWAY_MS));
    let job = world.submit(1, vec![step(1, 4, 600)]);
    let key = world.make_deadly(job, 0);
    world.run_until(30_000, |world| world.crashes.get(&key) == Some(&2));
    let services = world.submit(2, vec![service(2, 4, "image")]);
    let first = first_task(&world, services);
    world.run_until(10_000, |world| world.is_running(first));
    let (scheduler, now) = (&world.fixture.scheduler, world.fixture.now);
    let reason = scheduler.wait_reason(key, now, 0);
    assert_eq!(reason, Some(WaitReason::Isolated { candidates: 1 }));
    world.run(20_000);
    let state = world.fixture.scheduler.state(job);
    assert_eq!(state, Some(JobState::Failed));
}
