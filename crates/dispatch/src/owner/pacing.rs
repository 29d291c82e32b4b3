//! How much an owner may send, so that its link and the executors keep up.
//!
//! Answers the load of a host whose link is narrow for the number of executors: polls alone can fill
//! it. Queues in front of the link then delay every answer, executors seem unreachable, and what is
//! sent again fills the link further. The functions here are pure.

use std::time::Duration;

use model::Mono;

/// Size of a poll and its answer with all headers, in bytes.
const POLL_BYTES: f64 = 1_500.0;
/// Part of the link that polls may use.
const POLL_LINK_SHARE: f64 = 0.5;
/// Intervals between polls up to this one need no delay.
const UNPACED_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum interval between polls, so that leases are renewed in time.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(2_000);
/// Size of an entry in the executor list, in bytes.
const LIST_ENTRY_BYTES: f64 = 450.0;
/// Part of the link that the executor list may use.
const LIST_LINK_SHARE: f64 = 0.2;
/// Minimum and maximum interval between reads of the executor list. An executor that drains must
/// not get new tasks for long.
const LIST_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(900), Duration::from_millis(1_600));
/// The time for which a transaction may fill the link. One that takes longer is sent again while the
/// first copy is on its way, and other hosts claim if the owner's row does not change.
const TRANSACTION_LINK_TIME: Duration = Duration::from_millis(200);
/// Minimum and maximum size of the values in a transaction, in bytes. The store accepts 1 MB with the
/// values in Base64, and the last row may exceed this limit.
const TRANSACTION_BYTES: (f64, f64) = (24_000.0, 400_000.0);
/// The size of a value in Base64, as a multiple of its own.
const BASE64_FACTOR: f64 = 4.0 / 3.0;
/// Bytes a second of a link of 1 Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Answers to commands that take longer than this show that the owner sends too much.
const SLOW_ANSWER: Duration = Duration::from_millis(250);
/// How often a command waits for the owner's processor: before it is sent and once it is answered.
const WAITS_PER_COMMAND: u32 = 2;
/// The window of a new owner, in commands. It doubles with each round of fast answers.
const INITIAL_WINDOW: f64 = 128.0;
/// The largest window, in commands.
const MAX_WINDOW: f64 = 4_096.0;
/// The smallest window, in commands.
const MIN_WINDOW: f64 = 16.0;
/// The factor by which a slow answer reduces the window.
const DECREASE: f64 = 0.75;
/// Minimum interval between two reductions: answers in flight do not show the previous one yet.
const DECREASE_INTERVAL: Duration = Duration::from_millis(400);

/// Returns the interval that a time budget of the link allows.
fn interval(bytes: f64, link_mbps: f64, share: f64) -> Duration {
    let bytes_per_second = (link_mbps * BYTES_PER_MBIT * share).max(1.0);
    Duration::from_secs_f64((bytes / bytes_per_second).min(60.0))
}

/// Returns the minimum interval between two polls of an executor, if `executors` are polled over a
/// link of this speed; zero if the link is wide enough.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub fn poll_interval(executors: usize, link_mbps: f64) -> Duration {
    let needed = interval(executors as f64 * POLL_BYTES, link_mbps, POLL_LINK_SHARE);
    if needed <= UNPACED_POLL_INTERVAL {
        return Duration::ZERO;
    }
    needed.min(MAX_POLL_INTERVAL)
}

/// Returns the interval between reads of the executor list.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub fn list_interval(executors: usize, link_mbps: f64) -> Duration {
    let (min, max) = LIST_INTERVAL;
    interval(
        executors as f64 * LIST_ENTRY_BYTES,
        link_mbps,
        LIST_LINK_SHARE,
    )
    .clamp(min, max)
}

/// Returns the size of the values, in bytes, at which a transaction over a link of this speed is
/// complete.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the size is a small positive number"
)]
pub fn transaction_bytes(link_mbps: f64) -> usize {
    let sent = link_mbps * BYTES_PER_MBIT * TRANSACTION_LINK_TIME.as_secs_f64();
    let (min, max) = TRANSACTION_BYTES;
    (sent / BASE64_FACTOR).clamp(min, max) as usize
}

/// Limits the start commands in flight by how long answers take: additive increase while they are
/// fast, multiplicative decrease when they are slow. Tasks beyond the window stay in the queue, in
/// their order, instead of waiting in front of the link.
#[derive(Clone, Copy, Debug)]
pub struct CommandWindow {
    limit: f64,
    decreased_at: Mono,
}

impl Default for CommandWindow {
    fn default() -> Self {
        Self {
            limit: INITIAL_WINDOW,
            decreased_at: Mono::ZERO,
        }
    }
}

impl CommandWindow {
    /// Processes an answer that took this long, with how late the owner's own timers are. A command and
    /// its answer both wait for the owner's processor, which says nothing about link or executors.
    /// Commands without an answer are not counted: their executor may be cut off, which is no reason
    /// to send less to others.
    pub fn answered(&mut self, took: Duration, own_lag: Duration, now: Mono) {
        let took = took.saturating_sub(own_lag * WAITS_PER_COMMAND);
        if took <= SLOW_ANSWER {
            self.limit = (self.limit + 1.0).min(MAX_WINDOW);
        } else if now.since(self.decreased_at) >= DECREASE_INTERVAL {
            self.limit = (self.limit * DECREASE).max(MIN_WINDOW);
            self.decreased_at = now;
        }
    }

    /// Returns how many commands may be sent in addition to those in flight.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit is a small positive number"
    )]
    pub const fn free(&self, in_flight: usize) -> usize {
        (self.limit as usize).saturating_sub(in_flight)
    }
}
