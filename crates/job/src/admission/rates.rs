//! How fast the work of a pool is completed and arrives.
//!
//! Rates are observed in intervals of some hundred milliseconds. Single intervals say little, because
//! tasks run for seconds and large jobs are rare, so that quantiles of the sums over several
//! intervals are used: a high one of what is completed and a low one of what arrives, each in favour
//! of a new job.

use std::collections::VecDeque;

use super::backlog::CellKey;
use super::backlog::PoolSummary;

/// The number of intervals that are kept: 20 s.
const KEPT_INTERVALS: usize = 40;
/// The number of consecutive intervals that are added up: 4 s, in which most short tasks end.
const SUMMED_INTERVALS: usize = 8;
/// The least number of sums from which a completion rate is derived.
const MIN_SUMS: usize = 8;
/// The quantile of the sums of completed work that is taken for the rate, in percent.
const COMPLETED_PERCENT: usize = 90;
/// The quantile of the sums of arrived work that is taken for the rate, in percent.
const ARRIVED_PERCENT: usize = 25;
/// An interval counts as one in which work waits if the waiting work would take all CPU of the pool for
/// longer than this, in milliseconds. Less may wait for a moment in a calm system too, and little is
/// completed then for lack of work.
const MIN_BACKLOG_MS: u64 = 100;

/// What was observed in an interval.
#[derive(Clone, Debug)]
struct Interval {
    ms: u64,
    /// The CPU of the pool times the duration of the interval.
    capacity: u64,
    completed: u64,
    /// Whether work waited, see [`MIN_BACKLOG_MS`].
    has_backlog: bool,
    arrived: Vec<(CellKey, u32, u64)>,
}

/// The latest observations of a pool.
#[derive(Clone, Debug, Default)]
pub struct PoolRates {
    intervals: VecDeque<Interval>,
}

impl PoolRates {
    /// Adds what was observed in an interval of this duration.
    pub fn observe(&mut self, pool: &PoolSummary, ms: u64) {
        if self.intervals.len() == KEPT_INTERVALS {
            self.intervals.pop_front();
        }
        let waiting = pool
            .cells
            .iter()
            .map(|cell| cell.in_time.saturating_add(cell.late));
        let waiting: u64 = waiting.fold(0, u64::saturating_add);
        let arrived = pool.cells.iter().filter(|cell| cell.arrived > 0);
        self.intervals.push_back(Interval {
            ms,
            capacity: pool.cpu_millis.saturating_mul(ms),
            completed: pool.completed,
            has_backlog: waiting > pool.cpu_millis.saturating_mul(MIN_BACKLOG_MS),
            arrived: arrived
                .map(|cell| (cell.cell.clone(), cell.priority, cell.arrived))
                .collect(),
        });
    }

    /// Returns the work that the pool completes in a millisecond with its present CPU while work
    /// waits, which is an amount of CPU in thousandths of a core.
    ///
    /// What is observed is the ratio to the CPU that there was, so that the result follows the loss
    /// and the return of executors at once. It contains how much longer than estimated tasks run,
    /// what is lost, and what does not fit. Until enough was observed, ordinary work is taken to use
    /// all CPU. Nothing is known then of best-effort work, which runs on the CPU that others leave
    /// and that interference allows: the result is `None`.
    #[must_use]
    pub fn completion_rate(&self, pool: &PoolSummary) -> Option<f64> {
        let cpu = float(pool.cpu_millis);
        let mut ratios: Vec<f64> = self
            .sums(|interval| interval.has_backlog)
            .map(|(sum, capacity, _)| sum / capacity.max(1.0))
            .collect();
        if ratios.len() < MIN_SUMS {
            return (!pool.key.best_effort && cpu > 0.0).then_some(cpu);
        }
        ratios.sort_by(f64::total_cmp);
        let ratio = ratios[(ratios.len() - 1) * COMPLETED_PERCENT / 100];
        let rate = cpu * ratio;
        (rate > 0.0).then_some(rate)
    }

    /// Returns the work that arrives in a millisecond in these cells, by cell and priority. Times
    /// before the first observation count as without arrivals.
    #[must_use]
    pub fn arrival_rate(&self, includes: impl Fn(&CellKey, u32) -> bool) -> f64 {
        let arrived = |interval: &Interval| {
            let cells = interval.arrived.iter();
            let cells = cells.filter(|(cell, priority, _)| includes(cell, *priority));
            let works = cells.map(|(_, _, work)| *work);
            float(works.fold(0, u64::saturating_add))
        };
        let works: Vec<(f64, f64)> = self
            .intervals
            .iter()
            .map(|interval| (arrived(interval), float(interval.ms)))
            .collect();
        let mut rates: Vec<f64> = works
            .windows(SUMMED_INTERVALS)
            .map(|window| {
                let work: f64 = window.iter().map(|(work, _)| work).sum();
                let ms: f64 = window.iter().map(|(_, ms)| ms).sum();
                work / ms.max(1.0)
            })
            .collect();
        rates.resize(KEPT_INTERVALS + 1 - SUMMED_INTERVALS, 0.0);
        rates.sort_by(f64::total_cmp);
        rates[(rates.len() - 1) * ARRIVED_PERCENT / 100]
    }

    /// Returns all work that has arrived in these cells, by cell and priority.
    #[must_use]
    pub fn arrived(&self, includes: impl Fn(&CellKey, u32) -> bool) -> f64 {
        let cells = self.intervals.iter().flat_map(|interval| &interval.arrived);
        let cells = cells.filter(|(cell, priority, _)| includes(cell, *priority));
        cells.map(|(_, _, work)| float(*work)).sum()
    }

    /// Returns for each sequence of intervals that all meet a condition the completed work, the
    /// capacity and the duration.
    fn sums(&self, condition: impl Fn(&Interval) -> bool) -> impl Iterator<Item = (f64, f64, f64)> {
        let count = (self.intervals.len() + 1).saturating_sub(SUMMED_INTERVALS);
        (0..count).filter_map(move |first| {
            let window = self.intervals.range(first..first + SUMMED_INTERVALS);
            if !window.clone().all(&condition) {
                return None;
            }
            Some(
                window.fold((0.0, 0.0, 0.0), |(completed, capacity, ms), interval| {
                    (
                        completed + float(interval.completed),
                        capacity + float(interval.capacity),
                        ms + float(interval.ms),
                    )
                }),
            )
        })
    }
}

#[expect(clippy::cast_precision_loss, reason = "rates are estimates")]
pub(super) const fn float(number: u64) -> f64 {
    number as f64
}
