//! Executors: their capacity, the resources allocated on them, and when their leases expire.

mod availability;
mod presence;

use std::sync::Arc;
use std::time::Duration;

use model::Map;
use model::Mono;
use model::Set;
use model::Size;
use slotmap::SlotMap;
use slotmap::new_key_type;

pub use self::presence::Presence;
use crate::ack_recovery::AckRecovery;
use crate::interference::ImageKey;
use crate::scheduler::TaskKey;
use crate::task::RunNumber;

new_key_type! {
    /// Identifies an executor in the [`Fleet`]. The key is stable across incarnations of the
    /// executor.
    pub struct ExecutorKey;
}

/// The properties that an executor publishes in the executor list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The executor's name.
    pub id: Arc<str>,
    /// The network address for calls to the executor.
    pub address: Arc<str>,
    /// The service that the executor works for.
    pub service: Arc<str>,
    /// The data centre that hosts the executor.
    pub data_centre: Arc<str>,
    /// The executor's labels; its rack is one of them.
    pub labels: Vec<Arc<str>>,
    /// The total resources of the executor.
    pub capacity: Size,
    /// When the executor's process started, in milliseconds since 1970. A different value
    /// identifies a different incarnation.
    pub started_unix_ms: u64,
    /// Whether the executor is shutting down and must not receive new tasks.
    pub draining: bool,
    /// While the executor drains, the minimum time until it shuts down.
    pub drain_remaining: Option<Duration>,
    /// How much longer the executor is slow after its start; zero once it is warm.
    pub cold_remaining: Duration,
}

/// The scheduler's view of one executor.
#[derive(Clone, Debug, Default)]
pub struct Executor {
    /// The properties published most recently, with the start time of the current incarnation. Until
    /// that one is listed, the others are those of an earlier one ([`Executor::has_current_entry`]).
    pub listing: Listing,
    /// The rack, where places matter ([`crate::scheduler::Timing::remote_slowdown`]); `None` if unknown.
    pub rack: Option<Arc<str>>,
    /// Whether the newest executor list contains the executor.
    pub listed: bool,
    /// Whether the last call to the executor was answered.
    pub reachable: bool,
    /// When the executor last answered a command or a poll.
    pub answered_at: Mono,
    /// At which address an incarnation of the executor has answered a poll last; `None` if none has.
    pub presence: Option<Presence>,
    /// When another address was listed for the executor; `None` if it has had one only.
    pub(crate) address_changed_at: Option<Mono>,
    /// Whether a later process has answered at the executor's address, so that this one has ended.
    pub is_replaced: bool,
    /// The first executors that were asked whether they have followed this one, since it last answered.
    pub(crate) asked_successors: Vec<Arc<str>>,
    /// Whether the current incarnation has announced that it shuts down. Its end is not a crash, also
    /// if a later incarnation returns under its name.
    pub announced_departure: bool,
    /// Runs that were lost while the executor was silent and that may have crashed it.
    pub unexplained_losses: Vec<crate::scheduler::UnexplainedLoss>,
    /// The number of tasks on the executor under which executors have crashed before.
    pub suspected_tasks: u32,
    /// When calls to the executor began to fail; `None` if the last one succeeded.
    pub failing_since: Option<Mono>,
    /// Whether the executor's data centre is evacuated, so that it gets no tasks.
    pub evacuated: bool,
    /// Until when the executor is slow after its start.
    pub cold_until: Mono,
    /// The list entry that `cold_until` was derived from: the start of the incarnation, the executor's
    /// clock and [`Listing::cold_remaining`]. An entry that is read again changes nothing.
    pub warmth_entry: Option<(u64, u64, Duration)>,
    /// The tasks that it received within the latest second while it was cold.
    pub cold_starts: crate::warmup::ColdStarts,
    /// The end of the executor's cooldown; no task is placed on it earlier.
    pub not_before: Mono,
    /// The task that the executor is reserved for. No other task is placed on it.
    pub reservation: Option<crate::reservation::Reservation>,
    /// When short work that can be in time was last placed on the executor, if it is kept for such
    /// work. No long-running task is placed on it.
    pub kept_for_short_work: Option<Mono>,
    /// Resources allocated to tasks on the executor.
    pub used: Size,
    /// CPU in thousandths of a core requested by short tasks that are not best-effort.
    pub batch_cpu_millis: u64,
    /// CPU in thousandths of a core allocated to long-running tasks.
    pub long_running_cpu_millis: u64,
    /// CPU in thousandths of a core requested by best-effort tasks, except those that were placed
    /// under relaxed conditions, which give way to the others.
    pub best_effort_cpu_millis: u64,
    /// The services on the executor, by image.
    pub services: Vec<ServiceLoad>,
    /// The tasks assigned to the executor.
    pub tasks: Set<TaskKey>,
    /// The most recent reading of the executor's clock.
    pub clock: Option<ClockReading>,
    /// The start time of the newest incarnation in the executor list, in milliseconds since 1970, whose
    /// properties `listing` holds. A list entry does not say which tasks the new incarnation runs; only
    /// a poll does.
    pub entry_started_unix_ms: u64,
    /// Since when the executor list has held an entry of an earlier incarnation than the newest known.
    pub stale_entry_since: Option<Mono>,
    /// Since when the current incarnation is uncertain, because the executor's clock showed less than
    /// expected or a previous owner has recorded a later one. The next poll resolves the uncertainty.
    pub incarnation_uncertain_since: Option<Mono>,
    /// When every lease that this owner or an earlier one granted has certainly expired.
    pub leases_expire_at: Mono,
    /// When every lease that this owner granted has certainly expired.
    pub own_leases_expire_at: Mono,
    /// When every lease that an earlier owner may have granted has certainly expired.
    pub inherited_leases_expire_at: Mono,
    /// Whether the executor may be stored as silent, so that it is granted no lease.
    pub leases_withheld: bool,
    /// When the executor began to drain.
    pub draining_since: Option<Mono>,
    /// The sequence number up to which ended runs have been acknowledged to the executor.
    pub ends_acknowledged: u64,
    /// The sequence number up to which ended runs are stored.
    pub ends_stored: u64,
    /// Ends that the next rows store.
    pub unstored_ends: Option<crate::scheduler::UnstoredEnds>,
    /// The sequence number up to which ended runs have been processed by the scheduler.
    pub ends_received: u64,
    /// Sequence numbers of ends that must not be acknowledged, because the tasks were started again
    /// later or the job's row is not stored ([`Scheduler::set_aside`]); cleared when the executor
    /// reports that its lease expired since. Acknowledgements stop before the first of them.
    ///
    /// [`Scheduler::set_aside`]: crate::scheduler::Scheduler::set_aside
    pub withheld_ends: Vec<u64>,
    /// Sequence numbers of ends that no row holds because the store refuses the record of their job. An
    /// expiry of the lease does not release them: a successor would start their tasks again.
    pub unstorable_ends: Vec<u64>,
    /// The recovery from withheld ends, if one is under way. Meanwhile the executor gets one task at a
    /// time, and only while nothing runs there and no lease is left.
    pub recovery: Option<AckRecovery>,
    /// Runs that were abandoned on the current incarnation.
    pub(crate) abandoned: Vec<(TaskKey, RunNumber)>,
    /// Since when the executor may list the end of an abandoned run that no report has shown, or is asked
    /// whether it has followed a silent executor ([`crate::scheduler`]). Until it answers a poll sent later,
    /// it gets no tasks and no leases, which would have to expire before it can recover
    /// ([`crate::ack_recovery`]).
    pub report_due_since: Option<Mono>,
    /// When the CPU share of a best-effort task on the executor last changed.
    pub throttled_at: Mono,
    /// Since when a service on the executor has exceeded its tail latency target.
    pub over_target_since: Option<Mono>,
    /// How many reports in a row have shown no tail latency over its target.
    pub reports_under_target: u32,
    /// When a best-effort task was last placed on the executor under relaxed conditions.
    pub relaxed_at: Option<Mono>,
    /// The number of tasks on the executor that were placed under relaxed conditions.
    pub relaxed_tasks: u32,
    /// The measurements used for the latest interference estimate.
    pub baseline: crate::interference::Baseline,
    /// The stalls on the current incarnation.
    pub stalls: crate::fault_attribution::StallEvidence,
    /// The failures on the current incarnation.
    pub failures: crate::fault_attribution::FailureEvidence,
    /// The end of the latest cooldown for stalls or failures, which also counts in `not_before`.
    pub fault_cooldown_until: Mono,
}

/// The tasks of one service image on an executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceLoad {
    /// The image.
    pub image: Arc<str>,
    /// The image's identifier in the estimates of interference.
    pub key: ImageKey,
    /// The CPU in thousandths of a core allocated to the tasks.
    pub cpu_millis: u64,
    /// The number of tasks.
    pub tasks: u32,
}

/// The maximum number of ended runs in a report. A report that contains this many may be
/// incomplete.
pub(crate) const MAX_REPORTED_ENDS: usize = 500;

/// A reading of an executor's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The value of the executor's clock, in milliseconds.
    pub executor_ms: u64,
    /// When the reading arrived, on the scheduler's clock.
    pub at: Mono,
}

/// An executor's clock may be slow by at most one part in this many.
const CLOCK_DRIFT_DIVISOR: u64 = 50;
/// Tolerance for readings that arrive late or out of order, in milliseconds: answers wait in the network
/// and for the processor of a busy owner. A clock that shows less than expected by more than this
/// belongs to another incarnation, unless the executor restarted within this time of its start.
const REORDERING_TOLERANCE_MS: u64 = 1_000;
/// The lease that the first call of a new owner grants to an executor with inherited tasks. It carries
/// them to the second call.
const FIRST_LEASE: Duration = Duration::from_millis(2_500);
/// Added to the expiry of a lease because timers on the executor may fire late.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);

impl ClockReading {
    /// Returns the time on the executor's clock that lies `lease` after `now`.
    #[must_use]
    pub fn deadline(&self, now: Mono, lease: Duration) -> u64 {
        let ahead = now.since(self.at).saturating_add(lease);
        self.executor_ms.saturating_add(model::time::millis(ahead))
    }

    /// Returns whether `later` can be a reading of the same clock. The clock of an executor
    /// restarts together with the executor.
    #[must_use]
    pub fn is_continued_by(&self, later: &Self) -> bool {
        let elapsed = model::time::millis(later.at.since(self.at));
        let least = self
            .executor_ms
            .saturating_add(elapsed - elapsed / CLOCK_DRIFT_DIVISOR);
        later.executor_ms.saturating_add(REORDERING_TOLERANCE_MS) >= least
    }

    /// Returns the time by which the executor's clock has certainly passed `deadline_ms`, allowing
    /// for the maximum clock drift.
    #[must_use]
    pub fn deadline_passed_at(&self, deadline_ms: u64) -> Mono {
        let left = deadline_ms.saturating_sub(self.executor_ms);
        let slow = left.saturating_add(left / (CLOCK_DRIFT_DIVISOR - 1) + 1);
        self.at
            .after(Duration::from_millis(slow))
            .after(EXPIRY_MARGIN)
    }
}

impl Executor {
    /// Returns the resources that are not allocated.
    #[must_use]
    pub const fn free(&self) -> Size {
        self.listing.capacity.saturating_sub(&self.used)
    }

    /// Records that this owner has granted a lease, or may have extended one, until this time.
    pub(crate) fn extend_own_leases(&mut self, until: Mono) {
        self.own_leases_expire_at = self.own_leases_expire_at.max(until);
        self.leases_expire_at = self.leases_expire_at.max(until);
    }

    /// Records that the leases which earlier owners granted expire by this time.
    pub(crate) fn limit_inherited_leases(&mut self, until: Mono) {
        self.inherited_leases_expire_at = self.inherited_leases_expire_at.min(until);
        let inherited = self.inherited_leases_expire_at;
        self.leases_expire_at = self.own_leases_expire_at.max(inherited);
    }

    /// Returns whether an earlier owner had tasks on the executor at the takeover.
    pub(crate) fn had_inherited_tasks(&self) -> bool {
        self.inherited_leases_expire_at > Mono::ZERO
    }

    /// Returns whether the executor had inherited tasks and has not answered this owner.
    pub(crate) fn is_inherited_unseen(&self) -> bool {
        self.had_inherited_tasks() && self.answered_at == Mono::ZERO
    }

    /// Returns the lease that a call grants where it is usually `lease`. The first call to an executor
    /// that an earlier owner used grants a short one: if it is gone, its tasks wait for that as well.
    pub(crate) fn lease_of_next_call(&self, lease: Duration) -> Duration {
        if self.is_inherited_unseen() {
            lease.min(FIRST_LEASE)
        } else {
            lease
        }
    }

    /// Returns the number of ends that the executor lists from the first one on that must not be
    /// acknowledged.
    #[must_use]
    pub fn listed_withheld_ends(&self) -> usize {
        let first = self.withheld_ends.iter().min();
        first.map_or(0, |first| self.listed_from(*first))
    }

    /// Returns the number of ends that the executor lists from this one on.
    fn listed_from(&self, first: u64) -> usize {
        let listed = (self.ends_received + 1).saturating_sub(first);
        usize::try_from(listed).unwrap_or(usize::MAX)
    }

    /// Returns the first end that must not be acknowledged.
    fn first_unacknowledgeable(&self) -> Option<u64> {
        let ends = self.withheld_ends.iter().chain(&self.unstorable_ends);
        ends.copied().min()
    }

    /// Returns whether the executor is slow after its start.
    #[must_use]
    pub fn is_cold(&self, now: Mono) -> bool {
        now < self.cold_until
    }

    /// Returns whether the end of another run would appear in reports. All ends from the first
    /// withheld one on stay in the executor's list.
    fn can_list_another_end(&self) -> bool {
        let first = self.first_unacknowledgeable();
        first.is_none_or(|first| {
            let listed = self.listed_from(first);
            listed.saturating_add(self.tasks.len() + 1) < MAX_REPORTED_ENDS
        })
    }

    /// Returns whether the executor still lists ended runs that can be acknowledged to it.
    #[must_use]
    pub fn has_unacknowledged_ends(&self) -> bool {
        self.before_withheld(self.ends_received) > self.ends_acknowledged
    }

    /// Returns the sequence number up to which ended runs are stored and may be acknowledged.
    #[must_use]
    pub fn ends_acknowledgeable(&self) -> u64 {
        self.before_withheld(self.ends_stored)
    }

    fn before_withheld(&self, sequence: u64) -> u64 {
        let first = self.first_unacknowledgeable();
        first.map_or(sequence, |first| sequence.min(first - 1))
    }

    /// Adds a service task to the loads by image.
    pub(crate) fn add_service(&mut self, image: &Arc<str>, key: ImageKey, cpu_millis: u64) {
        let known = self.services.iter_mut().find(|load| load.image == *image);
        if let Some(load) = known {
            load.cpu_millis = load.cpu_millis.saturating_add(cpu_millis);
            load.tasks += 1;
        } else {
            self.services.push(ServiceLoad {
                image: image.clone(),
                key,
                cpu_millis,
                tasks: 1,
            });
        }
    }

    /// Removes a service task from the loads by image.
    pub(crate) fn remove_service(&mut self, image: &Arc<str>, cpu_millis: u64) {
        if let Some(load) = self.services.iter_mut().find(|load| load.image == *image) {
            load.cpu_millis = load.cpu_millis.saturating_sub(cpu_millis);
            load.tasks -= 1;
        }
        self.services.retain(|load| load.tasks > 0);
        if self.services.is_empty() {
            self.over_target_since = None;
        }
    }

    /// Returns whether best-effort tasks run beside long-running ones.
    #[must_use]
    pub const fn is_mixed(&self) -> bool {
        let has_best_effort = self.best_effort_cpu_millis > 0 || self.relaxed_tasks > 0;
        self.long_running_cpu_millis > 0 && has_best_effort
    }

    /// Returns whether the executor has this label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.listing.labels.iter().any(|own| &**own == label)
    }
}

/// All known executors.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    executors: SlotMap<ExecutorKey, Executor>,
    by_id: Map<Arc<str>, ExecutorKey>,
}

impl Fleet {
    /// Returns the executor with this key, or `None` once it has been removed.
    #[must_use]
    pub fn get(&self, key: ExecutorKey) -> Option<&Executor> {
        self.executors.get(key)
    }

    /// Returns the executor with this key for modification, or `None` once it has been removed.
    pub fn get_mut(&mut self, key: ExecutorKey) -> Option<&mut Executor> {
        self.executors.get_mut(key)
    }

    /// Returns the key of the executor with this name.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<ExecutorKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the key of the executor with this name, adding the executor if it is unknown.
    pub fn intern(&mut self, id: &Arc<str>) -> ExecutorKey {
        if let Some(key) = self.by_id.get(id) {
            return *key;
        }
        let key = self.executors.insert(Executor {
            listing: Listing {
                id: id.clone(),
                ..Listing::default()
            },
            ..Executor::default()
        });
        self.by_id.insert(id.clone(), key);
        key
    }

    /// Returns the number of executors.
    #[must_use]
    pub fn len(&self) -> usize {
        self.executors.len()
    }

    /// Returns the number of executors outside evacuated data centres.
    #[must_use]
    pub fn len_without_evacuated(&self) -> usize {
        let executors = self.executors.values();
        executors.filter(|executor| !executor.evacuated).count()
    }

    /// Returns whether there are no executors.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.executors.is_empty()
    }

    /// Iterates over all executors.
    pub fn iter(&self) -> impl Iterator<Item = (ExecutorKey, &Executor)> {
        self.executors.iter()
    }

    /// Iterates over all executors for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (ExecutorKey, &mut Executor)> {
        self.executors.iter_mut()
    }

    /// Adds up something of the listed executors, by service.
    pub(crate) fn sum_by_service<T: Default>(
        &self,
        mut add: impl FnMut(&mut T, &Executor),
    ) -> Vec<(Arc<str>, T)> {
        let mut sums: Vec<(Arc<str>, T)> = Vec::new();
        let mut positions: Map<&str, usize> = Map::default();
        let mut latest: Option<(&str, usize)> = None;
        for (_, executor) in self.iter().filter(|(_, executor)| executor.listed) {
            let service = &executor.listing.service;
            // Neighbours mostly belong to one service.
            let known = latest.filter(|(name, _)| *name == &**service);
            let position = known.map_or_else(
                || {
                    *positions.entry(service).or_insert_with(|| {
                        sums.push((service.clone(), T::default()));
                        sums.len() - 1
                    })
                },
                |(_, position)| position,
            );
            latest = Some((service, position));
            add(&mut sums[position].1, executor);
        }
        sums
    }

    /// Removes an executor. The caller ensures that it is no longer listed and has no tasks.
    pub fn remove(&mut self, key: ExecutorKey) {
        if let Some(executor) = self.executors.remove(key) {
            self.by_id.remove(&executor.listing.id);
        }
    }
}
