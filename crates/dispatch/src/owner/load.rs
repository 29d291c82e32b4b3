//! What the owner did in each second and what waits for it, for one log line a second.
//!
//! An owner that cannot keep up delays each step between the arrival of a job and its end. The
//! line shows which of them: see `owner_load` in `docs/OPERATIONS.md`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use job::id::TaskId;
use job::ranking::DeadlineOutlook;
use job::ranking::Rank;
use job::scheduler::Batch;

use super::Owner;
use crate::events;
use crate::events::LoadSummary;

/// Interval between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The usage of executors is logged with one line in this many, because it takes a scan of all steps.
const USAGE_LINE_INTERVAL: u32 = 5;

/// Counts what the owner does, from one line to the next.
#[derive(Default)]
pub(super) struct OwnerLoad {
    counts: RefCell<Counts>,
}

/// What the owner did since the last line.
#[derive(Default)]
struct Counts {
    rounds: u32,
    full_rounds: u32,
    in_rounds: Duration,
    longest_round: Duration,
    placed_in_time: usize,
    placed_best_effort: usize,
    placed_late: usize,
    placed_too_late: usize,
    placed_long_running: usize,
    in_time_wait: Spread,
    transactions: u32,
    rows: usize,
    row_bytes: usize,
    transaction: Spread,
    store: Spread,
    best_effort_store: Spread,
    slot: Spread,
    answer: Spread,
    polls: u32,
    ends: usize,
    poll_pause: Spread,
    timer_delay: Duration,
}

/// Durations in milliseconds.
#[derive(Default)]
struct Spread(Vec<u64>);

impl Spread {
    fn add(&mut self, duration: Duration) {
        self.0.push(model::time::millis(duration));
    }

    /// Returns the median and the 90th percentile.
    fn percentiles(&mut self) -> (u64, u64) {
        self.0.sort_unstable();
        let at = |tenths: usize| self.0.get(self.0.len() * tenths / 10).copied();
        (at(5).unwrap_or(0), at(9).unwrap_or(0))
    }
}

/// The times that a start command spent between its decision and the executor's answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartTimes {
    /// Until the decision was stored.
    pub(super) store: Duration,
    /// Waiting for a command slot of the executor.
    pub(super) slot: Duration,
    /// The rest.
    pub(super) answer: Duration,
}

impl OwnerLoad {
    /// Counts a placement round.
    pub(super) fn count_round(&self, took: Duration) {
        let mut counts = self.counts.borrow_mut();
        counts.rounds += 1;
        counts.in_rounds += took;
        counts.longest_round = counts.longest_round.max(took);
    }

    /// Counts a round in which no start fits into the window.
    pub(super) fn count_full_round(&self) {
        self.counts.borrow_mut().full_rounds += 1;
    }

    /// Counts tasks of a step that were placed.
    pub(super) fn count_placed(&self, rank: &Rank, tasks: usize) {
        let mut counts = self.counts.borrow_mut();
        let placed = match rank.outlook {
            DeadlineOutlook::InTime => {
                counts.in_time_wait.add(rank.age.0);
                &mut counts.placed_in_time
            }
            DeadlineOutlook::LongRunning => &mut counts.placed_long_running,
            DeadlineOutlook::InTimeBestEffort => &mut counts.placed_best_effort,
            DeadlineOutlook::Late => &mut counts.placed_late,
            DeadlineOutlook::TooLate => &mut counts.placed_too_late,
        };
        *placed += tasks;
    }

    /// Counts a transaction that took effect.
    pub(super) fn count_transaction(&self, batch: &Batch, took: Duration) {
        let mut counts = self.counts.borrow_mut();
        counts.transactions += 1;
        counts.rows += batch.rows.len();
        counts.row_bytes += batch.rows.iter().map(|(_, row)| row.len()).sum::<usize>();
        counts.transaction.add(took);
    }

    /// Counts a start command that was answered.
    pub(super) fn count_start(&self, best_effort: bool, times: StartTimes) {
        let mut counts = self.counts.borrow_mut();
        if best_effort {
            counts.best_effort_store.add(times.store);
        } else {
            counts.store.add(times.store);
        }
        counts.slot.add(times.slot);
        counts.answer.add(times.answer);
    }

    /// Counts an answered poll with the ends that it reported.
    pub(super) fn count_poll(&self, ends: usize) {
        let mut counts = self.counts.borrow_mut();
        counts.polls += 1;
        counts.ends += ends;
    }

    /// Counts the pause before a poll, for which ends of its executor had to be stored and commands
    /// to be answered.
    pub(super) fn count_poll_pause(&self, paused: Duration) {
        self.counts.borrow_mut().poll_pause.add(paused);
    }

    /// Counts how late a timer fired.
    pub(super) fn count_timer_delay(&self, delay: Duration) {
        let mut counts = self.counts.borrow_mut();
        counts.timer_delay = counts.timer_delay.max(delay);
    }
}

impl Owner {
    /// Returns whether a task is best-effort.
    pub(super) fn is_best_effort(&self, task: TaskId) -> bool {
        let scheduler = self.scheduler.borrow();
        let step = scheduler.task_key(task).and_then(|key| scheduler.step(key));
        step.is_some_and(|step| step.best_effort)
    }

    fn log_load(&self) {
        let mut counts = self.load.counts.take();
        let (in_time_wait_ms, in_time_wait_p90_ms) = counts.in_time_wait.percentiles();
        let (store_ms, store_p90_ms) = counts.store.percentiles();
        let (filling_store_ms, filling_store_p90_ms) = counts.best_effort_store.percentiles();
        let (answer_ms, answer_p90_ms) = counts.answer.percentiles();
        let (poll_pause_ms, poll_pause_p90_ms) = counts.poll_pause.percentiles();
        events::owner_load(&LoadSummary {
            timer_delay_ms: model::time::millis(counts.timer_delay),
            rounds: counts.rounds,
            full_rounds: counts.full_rounds,
            rounds_ms: model::time::millis(counts.in_rounds),
            longest_round_ms: model::time::millis(counts.longest_round),
            in_time: counts.placed_in_time,
            in_time_filling: counts.placed_best_effort,
            late: counts.placed_late,
            hopeless: counts.placed_too_late,
            lasting: counts.placed_long_running,
            in_time_wait_ms,
            in_time_wait_p90_ms,
            unstored_jobs: self.scheduler.borrow().unstored_jobs(),
            unstored_starts: self.starts_unstored.get(),
            transactions: counts.transactions,
            rows: counts.rows,
            row_bytes: counts.row_bytes,
            transaction_ms: counts.transaction.percentiles().0,
            store_ms,
            store_p90_ms,
            filling_store_ms,
            filling_store_p90_ms,
            slot_p90_ms: counts.slot.percentiles().1,
            answer_ms,
            answer_p90_ms,
            starts_in_flight: self.starts_in_flight.get(),
            window: self.window.borrow().free(0),
            relays: self.relays.ready_relays(),
            polls: counts.polls,
            ends: counts.ends,
            poll_pause_ms,
            poll_pause_p90_ms,
        });
    }

    /// Logs who holds the CPU of each service's executors and who waits for it.
    fn log_usage(&self) {
        let unix_ms = (self.node.unix_ms)();
        let services = self.scheduler.borrow().usage(self.now(), unix_ms);
        for (service, usage) in &services {
            events::usage(service, usage);
        }
    }
}

/// Logs the load once a second, and the usage of executors every few seconds, until this host is no longer
/// the owner.
pub(super) async fn log_load(owner: Rc<Owner>) {
    let mut lines = 0_u32;
    loop {
        tokio::select! {
            () = owner.shutdown.cancelled() => return,
            () = tokio::time::sleep(LOG_INTERVAL) => {}
        }
        owner.log_load();
        lines += 1;
        if lines.is_multiple_of(USAGE_LINE_INTERVAL) {
            owner.log_usage();
        }
    }
}
