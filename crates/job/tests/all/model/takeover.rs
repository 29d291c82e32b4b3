//! Takeovers: a host claims the executors, reads the store and then acts as their owner. Other events
//! may lie between these steps, as in `dispatch::owner::takeover`.

use std::sync::Arc;
use std::time::Duration;

use job::fleet::Listing;
use job::record::JobRecord;
use job::scheduler::Scheduler;
use job::scheduler::Submission;
use job::scheduler::Timing;
use job::spec::JobSpec;
use job::spec::StepSpec;
use model::Mono;

use super::binding::Calls;
use super::state::ATTEMPTS;
use super::state::Mutation;
use super::state::Owner;
use super::state::STORE_TIMEOUT;
use super::state::State;
use super::state::World;
use super::state::job;
use crate::fixture::LEASE;
use crate::fixture::MAX_LEASE;
use crate::fixture::QUEUE;
use crate::fixture::listing;
use crate::fixture::plan;
use crate::fixture::step;

/// A takeover that has begun.
#[derive(Clone, Debug, Hash)]
pub struct Takeover {
    /// The owner's row as written by the claim; `None` if a mutation claims later.
    pub row: Option<(u64, u64)>,
    /// When the claim was sent.
    pub claimed: Mono,
    /// Whether the job was cancelled when the jobs were read; `None` before.
    pub cancelled: Option<bool>,
    /// The record of the job, once it was read.
    pub record: Option<Option<Vec<u8>>>,
    /// The start time and the clock of each executor in the list that was read with the record.
    pub executors: Option<[(u64, u64); 2]>,
}

fn submission(world: World, mutation: Mutation) -> Submission {
    let second = StepSpec {
        after: vec![0],
        ..step(1, 1, 1_000)
    };
    let steps = match world {
        World::TwoSteps => vec![step(1, 1, 1_000), second],
        World::OneTask | World::SlowClock => vec![step(1, 1, 1_000)],
        World::Gang => vec![StepSpec {
            gang: true,
            ..step(2, 40, 1_000)
        }],
        World::LongRunning => vec![StepSpec {
            long_running: mutation != Mutation::IgnoreLongRunning,
            ..step(1, 1, 0)
        }],
    };
    Submission {
        id: job(),
        queue: QUEUE.into(),
        age_ms: 0,
        spec: Arc::new(JobSpec {
            payload: "payload".into(),
            steps,
            repeat: None,
        }),
        row_version: 1,
        terms: None,
    }
}

impl State {
    /// Lets a host take over the executors and read the store in one step.
    pub fn take_over(&mut self, host: usize) {
        self.claim(host);
        self.read_jobs(host);
        self.read_records(host);
        self.begin(host);
    }

    /// Lets a host claim the executors.
    pub fn claim(&mut self, host: usize) {
        let row = match self.mutation {
            Mutation::ReadBeforeClaim => None,
            _ => Some(self.write_claim()),
        };
        self.takeovers[host] = Some(Takeover {
            row,
            claimed: self.now,
            cancelled: None,
            record: None,
            executors: None,
        });
    }

    const fn write_claim(&mut self) -> (u64, u64) {
        self.store.owner = (self.store.owner.0 + 1, self.store.owner.1 + 1);
        self.store.owner
    }

    /// Lets a host that takes over read the accepted and cancelled jobs.
    pub fn read_jobs(&mut self, host: usize) {
        if let Some(takeover) = &mut self.takeovers[host] {
            takeover.cancelled = Some(self.store.cancelled);
        }
    }

    /// Lets a host that takes over read the records and the list of executors.
    pub fn read_records(&mut self, host: usize) {
        let now = self.now;
        let executors = [0, 1].map(|at: usize| {
            let executor = &self.executors[at];
            (executor.started_unix_ms, executor.clock_ms(now))
        });
        if let Some(takeover) = &mut self.takeovers[host] {
            takeover.record = Some(self.store.record.clone());
            takeover.executors = Some(executors);
        }
    }

    /// Lets a host that has read the store act as the owner.
    pub fn begin(&mut self, host: usize) {
        let Some(takeover) = self.takeovers[host].take() else {
            return;
        };
        let row = takeover.row.unwrap_or_else(|| self.write_claim());
        let timing = Timing {
            lease: LEASE,
            max_lease: match self.mutation {
                Mutation::IgnoreMaxLease => Duration::ZERO,
                _ => MAX_LEASE,
            },
            stop_timeout: Duration::from_millis(900),
            warmup: None,
            remote_slowdown: 1.0,
        };
        let mut scheduler = Scheduler::new(plan(ATTEMPTS), timing);
        scheduler.calls_may_stray = self.calls == Calls::Unbound;
        match takeover.record.flatten() {
            Some(row) => {
                let record: JobRecord = serde_json::from_slice(&row).expect("a valid record");
                scheduler.restore(submission(self.world, self.mutation), &record, self.now);
            }
            None => {
                scheduler.submit(submission(self.world, self.mutation), self.now);
            }
        }
        let cancelled = takeover.cancelled.unwrap_or_default();
        if cancelled {
            scheduler.cancel(job());
        }
        let lease = LEASE + LEASE / 49 + Duration::from_millis(300);
        let assumed = match self.mutation {
            Mutation::IgnoreLeases => self.now,
            _ => takeover.claimed.after(STORE_TIMEOUT).after(lease),
        };
        let sends_until = match self.mutation {
            Mutation::IgnorePreviousSender => self.now,
            _ => takeover.claimed.after(STORE_TIMEOUT),
        };
        scheduler.inherit_leases(sends_until, assumed);
        self.owners[host] = Some(Owner {
            epoch: row.0,
            scheduler,
            row,
            confirmed: takeover.claimed,
            write: None,
            commands: Vec::new(),
            reports: Vec::new(),
            assumed: (row.0 > 1).then_some(assumed),
            cancel_received: cancelled,
            clocks: [(None, 0); 2],
        });
        self.list(host, takeover.executors.unwrap_or_default());
    }

    /// Passes the present executor list to an owner.
    pub fn list_present(&mut self, host: usize) {
        let now = self.now;
        let executors = [0, 1].map(|at: usize| {
            let executor = &self.executors[at];
            (executor.started_unix_ms, executor.clock_ms(now))
        });
        self.list(host, executors);
    }

    /// Passes the list entries of the incarnations that polls have shown to an owner, which places no
    /// task on an incarnation without one. That this takes time is left out: meanwhile nothing starts
    /// there, and the exploration would reach too many states.
    pub fn list_shown(&mut self, host: usize) {
        let now = self.now;
        let Some(owner) = &self.owners[host] else {
            return;
        };
        let known = [0, 1].map(|at: usize| owner.scheduler.fleet.get(owner.key(at)));
        let is_due = known
            .iter()
            .flatten()
            .any(|executor| executor.entry_started_unix_ms < executor.listing.started_unix_ms);
        if !is_due {
            return;
        }
        let executors = [0, 1].map(|at: usize| {
            let newest = known[at].map_or(0, |executor| {
                let announced = executor.entry_started_unix_ms;
                announced.max(executor.listing.started_unix_ms)
            });
            (newest, self.executors[at].clock_ms(now))
        });
        self.list(host, executors);
    }

    fn list(&mut self, host: usize, executors: [(u64, u64); 2]) {
        let listings = executors
            .into_iter()
            .zip(1..)
            .map(|((started_unix_ms, clock_ms), number)| {
                let listing = Listing {
                    started_unix_ms,
                    ..listing(number)
                };
                (listing, clock_ms)
            })
            .collect();
        if let Some(owner) = &mut self.owners[host] {
            owner.scheduler.update_executors(listings, self.now);
            for (at, (started_unix_ms, _)) in executors.into_iter().enumerate() {
                owner.record_clock(at, started_unix_ms);
            }
        }
        self.settle(host);
    }
}
