//! Pacing of an owner's calls to executors, with replays of the loads that it answers.

use std::collections::VecDeque;
use std::time::Duration;

use dispatch::owner::pacing::CommandWindow;
use dispatch::owner::pacing::list_interval;
use dispatch::owner::pacing::poll_interval;
use dispatch::owner::pacing::transaction_bytes;
use model::Mono;

use crate::world::World;
use crate::world::job;

/// Commands that the simulated link carries a second.
const LINK_COMMANDS_PER_S: u64 = 100;
/// Duration of the simulated load, in milliseconds.
const LOAD_MS: u64 = 30_000;
/// A caller of the simulated load does not wait longer for an answer, in milliseconds.
const ANSWER_LIMIT_MS: u64 = 700;

#[test]
fn a_wide_link_needs_no_pacing() {
    assert_eq!(poll_interval(66, 1_000.0), Duration::ZERO);
    assert_eq!(poll_interval(500, 200.0), Duration::ZERO);
    assert_eq!(list_interval(66, 1_000.0), Duration::from_millis(900));
}

#[test]
fn the_poll_interval_grows_with_the_executors_and_stays_below_half_of_a_lease() {
    let mut previous = Duration::ZERO;
    for executors in [50, 100, 200, 1_000, 100_000] {
        let interval = poll_interval(executors, 2.0);
        assert!(interval >= previous, "{executors} executors: {interval:?}");
        assert!(interval < Duration::from_millis(2_500));
        previous = interval;
    }
    assert!(previous > Duration::from_secs(1));
}

#[test]
fn an_executor_that_drains_is_noticed_in_time_over_the_narrowest_link() {
    assert!(list_interval(100_000, 0.1) <= Duration::from_secs(2));
}

#[test]
fn a_transaction_takes_little_time_on_the_link_and_stays_below_the_size_that_the_store_accepts() {
    let largest_row = 65_536;
    for link_mbps in [2.0, 20.0, 200.0, 1_000.0, 100_000.0] {
        let sent = transaction_bytes(link_mbps) * 4 / 3;
        let bytes_per_ms = link_mbps * 125.0;
        #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
        let took_ms = sent as f64 / bytes_per_ms;
        assert!(took_ms <= 200.0, "{link_mbps} Mbit/s: {took_ms} ms");
        let rows_overhead = 90 * 200;
        assert!(sent + largest_row * 4 / 3 + rows_overhead < 1_000_000);
    }
    assert!(transaction_bytes(0.1) > 0);
}

/// What became of the commands of a simulated load.
#[derive(Default)]
struct Outcome {
    answered: u64,
    /// Commands whose answers came after the limit, so that their work was wasted.
    late: u64,
}

/// Sends commands at this rate over a link that answers them one after the other, and returns what
/// became of them. `window` limits the commands in flight.
fn replay(commands_per_s: u64, mut window: Option<CommandWindow>) -> Outcome {
    let mut link: VecDeque<u64> = VecDeque::new();
    let mut waiting = 0;
    let mut outcome = Outcome::default();
    for now_ms in 1..=LOAD_MS {
        waiting += commands_per_s * now_ms / 1_000 - commands_per_s * (now_ms - 1) / 1_000;
        while waiting > 0 && window.is_none_or(|window| window.free(link.len()) > 0) {
            link.push_back(now_ms);
            waiting -= 1;
        }
        if now_ms.is_multiple_of(1_000 / LINK_COMMANDS_PER_S)
            && let Some(sent_ms) = link.pop_front()
        {
            let took_ms = now_ms - sent_ms;
            if took_ms <= ANSWER_LIMIT_MS {
                outcome.answered += 1;
            } else {
                outcome.late += 1;
            }
            if let Some(window) = &mut window {
                window.answered(Duration::from_millis(took_ms), Duration::ZERO, Mono(now_ms));
            }
        }
    }
    outcome
}

#[test]
fn three_times_the_load_of_the_link_is_carried_at_the_full_rate_of_the_link() {
    let fitting = replay(LINK_COMMANDS_PER_S, Some(CommandWindow::default()));
    let overload = replay(3 * LINK_COMMANDS_PER_S, Some(CommandWindow::default()));
    assert!(
        overload.answered * 10 >= fitting.answered * 9,
        "{} of {}",
        overload.answered,
        fitting.answered
    );
    let unlimited = replay(3 * LINK_COMMANDS_PER_S, None);
    assert!(
        unlimited.answered * 10 < fitting.answered,
        "without a window nearly all answers come too late, {} do not",
        unlimited.answered
    );
    assert!(overload.late < unlimited.late);
}

#[test]
fn the_window_opens_again_after_an_overload() {
    let mut window = CommandWindow::default();
    for number in 1..=200 {
        window.answered(Duration::from_secs(2), Duration::ZERO, Mono(number * 1_000));
    }
    assert_eq!(window.free(0), 16, "some commands are always sent");
    for number in 0..5_000 {
        window.answered(
            Duration::from_millis(5),
            Duration::ZERO,
            Mono(300_000 + number),
        );
    }
    assert!(window.free(0) > 4_000);
}

/// LOST at a third of the processors: an owner that was late by itself took its executors for slow,
/// and then started less than they would have taken.
#[test]
fn answers_that_waited_for_the_owner_itself_do_not_reduce_the_window() {
    let mut window = CommandWindow::default();
    let before = window.free(0);
    let own_lag = Duration::from_millis(170);
    for number in 0..100 {
        let now = Mono(number * 1_000);
        window.answered(Duration::from_millis(300), own_lag, now);
    }
    assert!(window.free(0) > before);
    for number in 100..200 {
        let now = Mono(number * 1_000);
        window.answered(Duration::from_millis(700), own_lag, now);
    }
    assert_eq!(window.free(0), 16, "slow executors reduce it all the same");
}

/// Most of the executors leave commands unanswered when more work arrives than the window holds.
#[tokio::test(start_paused = true)]
async fn starts_without_an_answer_do_not_hold_up_those_on_other_executors() {
    const EXECUTORS: usize = 120;
    const ANSWERING: usize = 20;
    let world = World::new(EXECUTORS);
    world.start("a");
    world.advance(Duration::from_secs(1)).await;
    for number in 1..=EXECUTORS - ANSWERING {
        let executor = world.fleet.executor(number);
        executor.command_delay.set(Some(Duration::from_secs(60)));
    }
    for number in 1..=24 {
        world.submit("a", number, job(96)).await;
    }
    world.advance(Duration::from_millis(2_500)).await;
    let capacity = ANSWERING as u64 * 16 * 2;
    assert!(
        world.fleet.starts.get() >= capacity,
        "{} starts, two for each place are {capacity}",
        world.fleet.starts.get()
    );
}
