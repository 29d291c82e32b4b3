//! Leases of executors that cannot be reached.

use job::book::EndKind;
use job::book::JobState;
use job::book::Order;
use job::book::Report;
use job::book::StartAnswer;
use model::Mono;

use crate::fixture::LEASE;
use crate::fixture::World;
use crate::fixture::listing;
use crate::fixture::step;

/// The latest time at which a lease granted now lapses, on a clock that is 2% slow.
fn lapse(now: Mono) -> Mono {
    now.after(LEASE + LEASE / 49)
}

#[test]
fn an_executor_that_does_not_answer_is_granted_nothing_and_its_tasks_start_again_elsewhere() {
    let mut world = World::new(1);
    world.submit(1, vec![step(1, 4, 60_000)]);
    world.start_all();
    let executor = world.executor(1);
    assert!(world.book.grant(executor, world.now).is_some());
    let lapses = lapse(world.now);
    world.book.unreachable(executor, world.now);
    while world.now < lapses {
        assert_eq!(world.book.grant(executor, world.now), None);
        world.book.unreachable(executor, world.now);
        world.book.tick(world.now);
        assert_eq!(
            world.tasks_on(1).len(),
            1,
            "released at {} before the lease lapsed",
            world.now
        );
        world.pass(200);
    }
    world.pass(400);
    world.book.tick(world.now);
    assert_eq!(world.tasks_on(1).len(), 0, "the lease has lapsed");
    world.list(vec![listing(2)]);
    let orders = world.start_all();
    assert!(matches!(&orders[..], [Order::Start { run: 2, .. }]));
}

#[test]
fn an_executor_that_answers_again_is_granted_leases_again() {
    let mut world = World::new(1);
    world.submit(1, vec![step(1, 4, 60_000)]);
    world.start_all();
    let executor = world.executor(1);
    world.book.unreachable(executor, world.now);
    world.pass(1_000);
    world.report(1, vec![]);
    assert!(world.book.grant(executor, world.now).is_some());
    world.pass(3_000);
    world.book.tick(world.now);
    assert_eq!(world.tasks_on(1).len(), 1);
}

#[test]
fn a_new_life_of_an_executor_runs_nothing_of_the_earlier_one() {
    let mut world = World::new(1);
    let job = world.submit(1, vec![step(1, 4, 60_000)]);
    world.start_all();
    let executor = world.executor(1);
    let report = Report {
        born_unix_ms: Some(2_000),
        clock_ms: 10,
        ..Report::default()
    };
    world.book.report(executor, &report, world.now, world.now);
    assert_eq!(world.tasks_on(1).len(), 0);
    assert_eq!(world.book.state(job), Some(JobState::Running));
}

#[test]
fn an_unanswered_order_to_an_earlier_life_is_stopped_at_the_new_one_before_the_task_starts_again() {
    let mut world = World::new(1);
    world.submit(1, vec![step(1, 4, 60_000)]);
    world.place();
    world.store();
    let orders = world.book.take_orders();
    let [Order::Start { key, run, .. }] = &orders[..] else {
        panic!("one start, got {orders:?}");
    };
    world
        .book
        .start_answered(*key, *run, StartAnswer::Unanswered, world.now);
    let executor = world.executor(1);
    let new_life = Report {
        born_unix_ms: Some(2_000),
        clock_ms: 10,
        ..Report::default()
    };
    world.book.report(executor, &new_life, world.now, world.now);
    let orders = world.book.take_orders();
    assert!(matches!(&orders[..], [Order::Stop { run: 1, .. }]));
    world.place();
    assert_eq!(world.tasks_on(1).len(), 1, "it may still start there");
    world.book.stop_confirmed(*key, *run, world.now);
    world.pass(50);
    world.book.report(executor, &new_life, world.now, world.now);
    assert_eq!(world.tasks_on(1).len(), 0, "it cannot start there any more");
}

#[test]
fn an_end_that_is_listed_again_is_counted_once() {
    let mut world = World::new(1);
    let job = world.submit(1, vec![step(2, 4, 1_000)]);
    world.start_all();
    let tasks = world.tasks_on(1);
    let end = world.end(1, tasks[0], EndKind::Failed);
    world.report(1, vec![end.clone()]);
    world.report(1, vec![end]);
    assert_eq!(world.book.task(tasks[0]).expect("a task").failures, 1);
    assert_eq!(world.book.state(job), Some(JobState::Running));
}
