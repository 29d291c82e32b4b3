//! How long a new job of a queue would wait, by its size.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::backlog::CellKey;
use super::backlog::PoolSummary;
use super::backlog::QueueSummary;
use super::decision::JobTerms;
use super::rates::PoolRates;
use super::rates::float;
use super::returns::DueWork;

/// The part of the work ahead that is counted, so that only a clear excess leads to a refusal.
const COUNTED_PART: f64 = 0.8;
/// The least part of its share of the completion rate that a job in time gets, whatever arrives.
const MIN_RATE: f64 = 0.05;
/// The least part of its share of the completion rate that a late job gets, and the least part of the
/// completion rate at which callers return.
const MIN_LATE_RATE: f64 = 0.1;
/// The maximum number of queues in an estimate, which is sent with each answer to a ping.
const MAX_QUEUES: usize = 16;
/// The maximum number of sizes of a queue.
const MAX_ROWS: usize = 8;
/// Queues in which no job waits longer are left out, in milliseconds.
const MIN_WAIT_MS: f64 = 200.0;

/// How long new jobs would wait. Queues and sizes that it does not contain do not wait.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionEstimate {
    /// The queues whose jobs wait.
    #[serde(rename = "q", default)]
    pub queues: Vec<QueueEstimate>,
}

/// How long new jobs of a queue would wait for one kind of CPU.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueEstimate {
    /// The queue.
    #[serde(rename = "n")]
    pub queue: Arc<str>,
    /// Whether this is about best-effort steps.
    #[serde(rename = "f", default)]
    pub best_effort: bool,
    /// The work of refused callers that may return in a second, in thousandths of a core times
    /// milliseconds.
    #[serde(rename = "a")]
    pub admission_rate: u64,
    /// The waits by the work of the job, in increasing order.
    #[serde(rename = "r")]
    pub rows: Vec<WaitRow>,
}

/// How long a job waits whose work is at least that of the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitRow {
    /// The least work of the jobs, in thousandths of a core times milliseconds.
    #[serde(rename = "w")]
    pub from_work: u64,
    /// The work that is placed before a job in time, as the time that all of the pool's rate takes
    /// for it, in milliseconds.
    #[serde(rename = "t")]
    pub ahead_ms: u64,
    /// The same for late work that a late job has to wait for besides.
    #[serde(rename = "l")]
    pub late_ahead_ms: u64,
    /// The part of the pool's rate that is left for this work while the job is in time, in
    /// thousandths.
    #[serde(rename = "p")]
    pub rate_permille: u64,
    /// The same while the job is late.
    #[serde(rename = "m")]
    pub late_rate_permille: u64,
}

impl WaitRow {
    /// Returns when a job starts, in milliseconds from now, that becomes late in `in_time_ms`.
    #[must_use]
    pub fn start_ms(&self, in_time_ms: u64) -> u64 {
        let rate = self.rate_permille.max(1);
        let placed = in_time_ms.saturating_mul(rate) / 1_000;
        let Some(left) = self.ahead_ms.checked_sub(placed).filter(|left| *left > 0) else {
            return self.ahead_ms.saturating_mul(1_000) / rate;
        };
        let left = left.saturating_add(self.late_ahead_ms);
        let late = left.saturating_mul(1_000) / self.late_rate_permille.max(1);
        in_time_ms.saturating_add(late)
    }
}

impl AdmissionEstimate {
    /// Returns the wait of a job of this queue with this work for one kind of CPU.
    #[must_use]
    pub fn row(&self, queue: &str, best_effort: bool, work: u64) -> Option<&WaitRow> {
        let queue = self.find(queue, best_effort)?;
        queue.rows.iter().rev().find(|row| row.from_work <= work)
    }

    fn find(&self, queue: &str, best_effort: bool) -> Option<&QueueEstimate> {
        let mut queues = self.queues.iter();
        queues.find(|known| &*known.queue == queue && known.best_effort == best_effort)
    }

    /// Returns the time between the return of a caller with this job and the next one.
    pub(super) fn return_interval(&self, terms: &JobTerms) -> std::time::Duration {
        let kinds = [(false, terms.ordinary), (true, terms.best_effort)];
        let kinds = kinds.into_iter().filter(|(_, has)| *has);
        let rates = kinds.filter_map(|(best_effort, _)| self.find(&terms.queue, best_effort));
        let slowest = rates.map(|queue| queue.admission_rate.max(1)).min();
        let ms = slowest.map_or(0, |rate| terms.work.saturating_mul(1_000) / rate);
        std::time::Duration::from_millis(ms)
    }
}

/// A pool with the rate at which it completes work.
#[derive(Debug)]
pub(super) struct PoolView<'p> {
    pool: &'p PoolSummary,
    rates: &'p PoolRates,
    /// In thousandths of a core.
    rate: f64,
    /// The callers whose jobs the estimate is about.
    callers: Callers<'p>,
}

/// The callers whose jobs an estimate is about.
#[derive(Clone, Copy, Debug)]
pub(super) enum Callers<'p> {
    /// Callers with new jobs, who come after those that are due to return.
    New(&'p [DueWork]),
    /// Callers who return at their time, and come before all others whose jobs have their magnitude.
    Returning,
}

/// Work that competes with a job for a part of the pool's rate. While capacity is short, size classes
/// take turns, and a queue that has less than an equal part of its class is not held back by the
/// others. So a job starts by the order within its class or by the one within its queue, whichever is
/// earlier.
struct Order<'o> {
    /// The part of the pool's rate for the work that the order is about.
    share: f64,
    /// Whether the order is about a cell.
    includes: &'o dyn Fn(&CellKey, u32) -> bool,
}

impl<'p> PoolView<'p> {
    /// Returns `None` if the rate is not known.
    pub(super) fn new(
        pool: &'p PoolSummary,
        rates: &'p PoolRates,
        callers: Callers<'p>,
    ) -> Option<Self> {
        Some(Self {
            rate: rates.completion_rate(pool)?,
            pool,
            rates,
            callers,
        })
    }

    fn estimate(&self, queue: &QueueSummary) -> Option<QueueEstimate> {
        let mut works: Vec<u64> = self
            .pool
            .cells
            .iter()
            .filter(|cell| cell.in_time > 0 || cell.late > 0)
            .map(|cell| 1 << cell.cell.magnitude)
            .chain(
                queue
                    .class_limits
                    .iter()
                    .map(|limit| limit.saturating_add(1)),
            )
            .collect();
        works.sort_unstable();
        works.dedup();
        let step = works.len().div_ceil(MAX_ROWS).max(1);
        let rows: Vec<WaitRow> = works
            .into_iter()
            .step_by(step)
            .map(|work| self.row(queue, work))
            .collect();
        let waits = |row: &WaitRow| float(row.start_ms(u64::MAX)) >= MIN_WAIT_MS;
        rows.iter().any(waits).then(|| QueueEstimate {
            queue: queue.queue.clone(),
            best_effort: self.pool.key.best_effort,
            admission_rate: whole(self.admission_rate(queue) * 1_000.0),
            rows,
        })
    }

    /// Returns the rate at which callers of a queue return: what arrivals leave, shared by the queues.
    fn admission_rate(&self, queue: &QueueSummary) -> f64 {
        let arrivals = self.rates.arrival_rate(|_, _| true);
        let left = (self.rate - arrivals).max(self.rate * MIN_LATE_RATE);
        left / float(self.competing_queues(queue.priority))
    }

    /// Returns the number of queues of a priority that have work.
    fn competing_queues(&self, priority: u32) -> u64 {
        let cells = self.pool.cells.iter();
        let cells = cells.filter(|cell| cell.priority == priority);
        let mut queues: Vec<&str> = cells.map(|cell| &*cell.cell.queue).collect();
        queues.sort_unstable();
        queues.dedup();
        u64::try_from(queues.len()).unwrap_or(1).max(1)
    }

    /// Returns the wait of a job with this work.
    fn row(&self, queue: &QueueSummary, work: u64) -> WaitRow {
        let limits = queue.class_limits.iter();
        let class = limits.filter(|limit| work > **limit).count();
        let own_priority = queue.priority;
        let higher = self.rates.arrival_rate(|_, other| other < own_priority) / self.rate;
        let left = (1.0 - higher).max(MIN_RATE);
        let by_class = |cell: &CellKey, other: u32| other == own_priority && cell.class == class;
        let by_queue =
            |cell: &CellKey, other: u32| by_class(cell, other) && cell.queue == queue.queue;
        let class_share = left * self.share_of(own_priority, &by_class);
        let queue_share = class_share / float(self.competing_queues(own_priority));
        let orders = [
            Order {
                share: class_share,
                includes: &by_class,
            },
            Order {
                share: queue_share,
                includes: &by_queue,
            },
        ];
        let rows = orders.map(|order| self.row_in(&order, queue, work));
        let best = rows.into_iter().min_by_key(|row| {
            let start = |ms| row.start_ms(ms);
            (start(u64::MAX), start(0))
        });
        best.unwrap_or(rows[0])
    }

    /// Returns the part of the work of a priority that belongs to some cells, by what has arrived.
    fn share_of(&self, priority: u32, includes: &dyn Fn(&CellKey, u32) -> bool) -> f64 {
        let all = self.rates.arrived(|_, other| other == priority);
        let part = self.rates.arrived(includes);
        if part > 0.0 { part / all } else { 1.0 }
    }

    fn row_in(&self, order: &Order<'_>, queue: &QueueSummary, work: u64) -> WaitRow {
        let magnitude = work.max(1).ilog2();
        let overtakes =
            |cell: &CellKey, priority: u32| priority < queue.priority || cell.magnitude < magnitude;
        let is_new = matches!(self.callers, Callers::New(_));
        let is_ahead = |cell: &CellKey, priority: u32| {
            overtakes(cell, priority) || (is_new && cell.magnitude == magnitude)
        };
        let cells = self.pool.cells.iter();
        let ahead = cells.filter(|cell| {
            (order.includes)(&cell.cell, cell.priority) && is_ahead(&cell.cell, cell.priority)
        });
        let (in_time, late) = ahead.fold((0.0, 0.0), |(in_time, late), cell| {
            (in_time + float(cell.in_time), late + float(cell.late))
        });
        let due = match self.callers {
            Callers::New(due) => due,
            Callers::Returning => &[],
        };
        let due = due.iter().filter(|due| {
            due.queue == queue.queue
                && due.best_effort == self.pool.key.best_effort
                && due.magnitude <= magnitude
        });
        let due: f64 = due.map(|due| float(due.work)).sum();
        let arrivals = |includes: &dyn Fn(&CellKey, u32) -> bool| {
            let included = |cell: &CellKey, priority: u32| {
                (order.includes)(cell, priority) && includes(cell, priority)
            };
            self.rates.arrival_rate(included) / self.rate
        };
        let left = (order.share - arrivals(&overtakes)).max(order.share * MIN_RATE);
        let left_late = (order.share - arrivals(&|_, _| true)).max(order.share * MIN_LATE_RATE);
        WaitRow {
            from_work: work,
            ahead_ms: whole(COUNTED_PART * (in_time + due) / self.rate),
            late_ahead_ms: whole(COUNTED_PART * late / self.rate),
            rate_permille: whole(left * 1_000.0).clamp(1, 1_000),
            late_rate_permille: whole(left_late * 1_000.0).clamp(1, 1_000),
        }
    }
}

/// Returns the waits in these pools. Only the queues that wait longest are contained if there are
/// many.
pub(super) fn estimate(pools: &[PoolView<'_>], queues: &[QueueSummary]) -> AdmissionEstimate {
    let mut estimates = Vec::new();
    for queue in queues {
        let own = pools
            .iter()
            .filter(|view| view.pool.key.service == queue.service);
        estimates.extend(own.filter_map(|view| view.estimate(queue)));
    }
    let longest = |queue: &QueueEstimate| {
        let starts = queue.rows.iter().map(|row| row.start_ms(u64::MAX));
        starts.max().unwrap_or(0)
    };
    estimates.sort_by_key(|queue| std::cmp::Reverse(longest(queue)));
    estimates.truncate(MAX_QUEUES);
    AdmissionEstimate { queues: estimates }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast of a float saturates"
)]
const fn whole(number: f64) -> u64 {
    number as u64
}
