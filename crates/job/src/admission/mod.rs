//! Admission control: which new jobs are refused under overload, and when their callers retry.
//!
//! [`backlog`] summarizes the work that waits and the capacity for it, [`rates`] observes how fast
//! such work is completed and arrives, and [`estimate`] derives from both how long a new job would
//! wait. [`decision`] compares that with the time in which the job has value. [`returns`] hands out
//! the times at which refused callers retry. [`Admission`] holds the state of the owner.
//! `docs/design/admission.md` explains the rules.

pub mod backlog;
pub mod decision;
pub mod estimate;
pub mod rates;
pub mod returns;

use std::time::Duration;

use model::Map;
use model::Mono;

use self::backlog::Backlog;
use self::backlog::PoolKey;
use self::backlog::PoolSummary;
use self::decision::Admit;
use self::decision::JobTerms;
use self::decision::Verdict;
use self::estimate::AdmissionEstimate;
use self::estimate::Callers;
use self::estimate::PoolView;
use self::rates::PoolRates;
use self::returns::Returns;
use crate::id::JobId;

/// The time between two observations.
pub const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);

/// The observed rates, the estimate in force and the callers that will return.
#[derive(Debug, Default)]
pub struct Admission {
    pools: Map<PoolKey, PoolRates>,
    observed_at: Option<Mono>,
    estimate: Option<Estimate>,
    returns: Returns,
    refused: u64,
}

/// An estimate and when it was made.
#[derive(Debug)]
struct Estimate {
    /// With the work of callers that are due to return.
    for_new: AdmissionEstimate,
    /// For callers that return at their time.
    for_returning: AdmissionEstimate,
    made_at: Mono,
}

impl Admission {
    /// Observes the state of the queues, and makes a new estimate. The first observation only begins
    /// an interval, because what it reports arrived at an unknown time.
    pub fn observe(&mut self, backlog: &Backlog, now: Mono) {
        let began = self.observed_at.replace(now);
        self.returns.expire(now);
        let Some(began) = began else {
            return;
        };
        let elapsed_ms = model::time::millis(now.since(began));
        if elapsed_ms == 0 {
            return;
        }
        let keys: Vec<&PoolKey> = backlog.pools.iter().map(|pool| &pool.key).collect();
        self.pools.retain(|key, _| keys.contains(&key));
        for pool in &backlog.pools {
            let rates = self.pools.entry(pool.key.clone()).or_default();
            rates.observe(pool, elapsed_ms);
        }
        let due = self.returns.due(now);
        self.estimate = Some(Estimate {
            for_new: self.estimate_with(backlog, Callers::New(&due)),
            for_returning: self.estimate_with(backlog, Callers::Returning),
            made_at: now,
        });
    }

    fn estimate_with(&self, backlog: &Backlog, callers: Callers<'_>) -> AdmissionEstimate {
        let views = backlog.pools.iter().filter_map(|pool| {
            let rates = self.pools.get(&pool.key)?;
            PoolView::new(pool, rates, callers)
        });
        estimate::estimate(&views.collect::<Vec<_>>(), &backlog.queues)
    }

    /// Forgets the estimate and what was observed, because the capacity is not known.
    pub fn reset(&mut self) {
        self.estimate = None;
        self.observed_at = None;
        self.pools.clear();
    }

    /// Returns the estimate for new jobs and its age, or `None` if there is none.
    #[must_use]
    pub fn estimate(&self, now: Mono) -> Option<(&AdmissionEstimate, Duration)> {
        let estimate = self.estimate.as_ref()?;
        Some((&estimate.for_new, now.since(estimate.made_at)))
    }

    /// Decides about a job. `has_room` tells whether the tasks with which it begins fit into free
    /// capacity.
    pub fn admit(&mut self, id: JobId, terms: &JobTerms, has_room: bool, now: Mono) -> Admit {
        let Some(estimate) = &self.estimate else {
            return Admit::Accept;
        };
        if has_room {
            self.returns.accepted(id);
            return Admit::Accept;
        }
        let returning = self.returns.is_due(id, now);
        let basis = if returning {
            &estimate.for_returning
        } else {
            &estimate.for_new
        };
        let elapsed = self.returns.elapsed(id, now);
        let age = now.since(estimate.made_at);
        let Verdict::Hopeless { excess } = decision::judge(basis, terms, elapsed, age) else {
            self.returns.accepted(id);
            return Admit::Accept;
        };
        self.refuse(id, terms, excess, now)
    }

    fn refuse(&mut self, id: JobId, terms: &JobTerms, excess: Duration, now: Mono) -> Admit {
        let Some(estimate) = &self.estimate else {
            return Admit::Accept;
        };
        let interval = estimate.for_new.return_interval(terms);
        match self.returns.book(id, terms, (excess, interval), now) {
            Some(retry_after) => {
                self.refused += 1;
                Admit::Refuse { retry_after }
            }
            None => Admit::Accept,
        }
    }

    /// Returns the number of refusals so far.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the number of refused callers that are expected to return.
    #[must_use]
    pub fn returning(&self) -> usize {
        self.returns.len()
    }

    /// Returns the rate at which a pool completes work while work waits, in thousandths of a core, or
    /// `None` if it is not known. See [`PoolRates::completion_rate`].
    #[must_use]
    pub fn completion_rate(&self, pool: &PoolSummary) -> Option<f64> {
        self.pools.get(&pool.key)?.completion_rate(pool)
    }
}
