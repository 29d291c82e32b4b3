//! Pacing of starts and polls by how late the owner's timers are.

use std::time::Duration;

use dispatch::owner::processor_pace::ProcessorPace;
use model::Mono;

/// Time between two placement rounds, in milliseconds.
const ROUND_MS: u64 = 20;

/// Lets rounds take place for this time, of which each uses its whole allowance. Returns the number
/// of tasks placed.
fn place_all(pace: &mut ProcessorPace, lag: Duration, begin_ms: u64, end_ms: u64) -> usize {
    let mut placed = 0;
    for round in begin_ms / ROUND_MS..end_ms / ROUND_MS {
        let tasks = pace.allowance(lag, Mono(round * ROUND_MS));
        pace.placed(tasks);
        placed += tasks;
    }
    placed
}

#[test]
fn nothing_is_limited_while_timers_are_on_time() {
    let mut pace = ProcessorPace::default();
    let placed = place_all(&mut pace, Duration::from_millis(2), 1_000, 2_000);
    assert!(placed >= 10_000, "{placed} tasks in a second");
}

#[test]
fn some_tasks_are_placed_however_late_timers_are() {
    let mut pace = ProcessorPace::default();
    place_all(&mut pace, Duration::from_secs(1), 0, 10_000);
    let placed = place_all(&mut pace, Duration::from_secs(1), 10_000, 20_000);
    assert!((900..=1_600).contains(&placed), "{placed} tasks in 10 s");
}

#[test]
fn the_pace_rises_again_after_an_overload() {
    let mut pace = ProcessorPace::default();
    place_all(&mut pace, Duration::from_secs(1), 0, 10_000);
    place_all(&mut pace, Duration::ZERO, 10_000, 15_000);
    let placed = place_all(&mut pace, Duration::ZERO, 15_000, 16_000);
    assert!(placed >= 4_000, "{placed} tasks in a second");
}

#[test]
fn a_step_of_more_tasks_than_allowed_delays_the_next_one() {
    let mut pace = ProcessorPace::default();
    place_all(&mut pace, Duration::from_secs(1), 0, 10_000);
    pace.allowance(Duration::from_secs(1), Mono(10_000));
    pace.placed(40);
    assert_eq!(pace.allowance(Duration::from_secs(1), Mono(10_020)), 0);
}

#[test]
fn polls_wait_at_most_twice_as_long_while_timers_are_late() {
    let usual = Duration::from_millis(500);
    let mut pace = ProcessorPace::default();
    assert_eq!(pace.poll_wait(usual, false), usual);
    place_all(&mut pace, Duration::from_secs(1), 0, 10_000);
    assert_eq!(pace.poll_wait(usual, false), usual * 2);
    assert_eq!(pace.poll_wait(Duration::ZERO, false), Duration::ZERO);
    place_all(&mut pace, Duration::ZERO, 10_000, 20_000);
    assert!(pace.poll_wait(usual, false) < usual + Duration::from_millis(10));
}

/// HARM: best-effort tasks have to be suspended before a service is over its target for too long.
#[test]
fn polls_of_an_executor_with_a_service_over_its_target_wait_no_longer_however_late_timers_are() {
    let usual = Duration::from_millis(500);
    let mut pace = ProcessorPace::default();
    place_all(&mut pace, Duration::from_secs(1), 0, 10_000);
    assert_eq!(pace.poll_wait(usual, true), usual);
}
