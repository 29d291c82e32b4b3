//! Tasks that stand still or are far too slow.

use std::time::Duration;

use job::book::Order;
use job::stall::Judged;
use job::stall::Verdict;
use job::stall::judge;
use model::Mono;

use crate::fixture::World;
use crate::fixture::step;

#[test]
fn progress_is_judged_by_what_is_left_against_a_new_run() {
    let cases = [
        // progress before and after, milliseconds between, judged by rate, verdict
        (10, 20, 300, true, Verdict::Open),
        (10, 40, 500, true, Verdict::Sound),
        (10, 10, 600, true, Verdict::Open),
        (10, 10, 1_000, true, Verdict::Stalled),
        (10, 10, 1_000, false, Verdict::Stalled),
        (10, 14, 500, true, Verdict::Stalled),
        (10, 14, 500, false, Verdict::Sound),
        (90, 94, 500, true, Verdict::Sound),
    ];
    for (before, after, span_ms, by_rate, expected) in cases {
        let earlier = Judged {
            progress: before,
            at: Mono(1_000),
        };
        let now = Mono(1_000 + span_ms);
        let verdict = judge(earlier, after, Duration::from_secs(1), by_rate, now);
        assert_eq!(verdict, expected, "{before} to {after} in {span_ms} ms");
    }
}

/// The load pattern: an executor hangs while it answers as ever.
#[test]
fn a_task_that_stands_still_starts_again_elsewhere() {
    let mut world = World::new(2);
    world.submit(1, vec![step(1, 4, 1_000)]);
    world.start_all();
    let number = if world.tasks_on(1).is_empty() { 2 } else { 1 };
    let executor = world.executor(number);
    for _ in 0..4 {
        world.pass(500);
        world.report(number, vec![]);
        world.book.stop_stalled(executor, world.now);
    }
    let orders = world.book.take_orders();
    let stops = orders
        .iter()
        .filter(|order| matches!(order, Order::Stop { .. }))
        .count();
    assert!(stops > 0 && stops == orders.len(), "{orders:?}");
    let task = world.tasks_on(number)[0];
    let end = world.end(1, task, job::book::EndKind::Interrupted);
    world.report(number, vec![end]);
    world.start_all();
    assert!(world.tasks_on(number).is_empty());
}
