//! Waits of polls, with replays of busy owners.

use std::time::Duration;

use dispatch::owner::poll_pace::PollPace;

/// The wait of a poll while the owner is not busy.
const USUAL: Duration = Duration::from_millis(500);
/// The interval of the owner's timer, in milliseconds.
const TICK_MS: u64 = 100;
/// Time that a poll costs the processor of a small host.
const POLL_COST: Duration = Duration::from_micros(240);
/// Part of the processor that is left to polls.
const SHARE_OF_POLLS: f64 = 0.7;
/// Number of executors that are polled.
const EXECUTORS: u32 = 1_800;

#[test]
fn an_owner_with_punctual_timers_polls_as_usual() {
    let mut pace = PollPace::default();
    for late_ms in [0, 1, 5, 20, 30].into_iter().cycle().take(1_000) {
        pace.timer_fired(Duration::from_millis(late_ms));
        assert_eq!(pace.wait(USUAL), USUAL);
    }
}

#[test]
fn one_late_timer_changes_little_and_only_for_a_moment() {
    let mut pace = PollPace::default();
    pace.timer_fired(Duration::from_secs(10));
    assert!(pace.wait(USUAL) < USUAL * 5 / 4);
    for _ in 0..10 {
        pace.timer_fired(Duration::ZERO);
    }
    assert_eq!(pace.wait(USUAL), USUAL);
}

#[test]
fn waits_stay_below_half_of_a_lease_however_late_the_timers_are() {
    let mut pace = PollPace::default();
    for _ in 0..10_000 {
        pace.timer_fired(Duration::from_secs(1));
    }
    assert!(pace.wait(Duration::from_secs(1)) < Duration::from_millis(2_500));
}

/// SHORT: an owner spent its processor on polls that reported nothing new, and every transaction
/// waited for its turn.
#[test]
fn an_owner_whose_processor_does_not_suffice_for_its_polls_recovers_by_longer_waits() {
    let mut pace = PollPace::default();
    let mut backlog = Duration::ZERO;
    let mut worst = Duration::ZERO;
    for tick in 0..600 {
        let polls_a_tick =
            f64::from(EXECUTORS) * 0.001 * f64::from(u32::try_from(TICK_MS).unwrap())
                / pace.wait(USUAL).as_secs_f64();
        let work = POLL_COST.mul_f64(polls_a_tick);
        let processor = Duration::from_millis(TICK_MS).mul_f64(SHARE_OF_POLLS);
        backlog = (backlog + work).saturating_sub(processor);
        pace.timer_fired(backlog);
        if tick >= 100 {
            worst = worst.max(backlog);
        }
    }
    assert!(
        worst < Duration::from_millis(100),
        "timers are up to {worst:?} late"
    );
}
