//! Decides how long a wait for a better place pays off.
//!
//! A task takes [`Timing::remote_slowdown`] times as long in another rack than its data, and so does a
//! gang in more than one rack. Waiting for room in the right rack gains the difference and costs the
//! time until such room is free, for this task and for those that want the same rack after it. The
//! rate at which room becomes free is observed by rack. `docs/design/locality.md` explains the rule
//! and what it was compared with.
//!
//! [`Timing::remote_slowdown`]: crate::scheduler::Timing::remote_slowdown

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use model::Map;
use model::Mono;
use model::Size;

use crate::scheduler::TaskKey;

/// Changes of free capacity are observed for this long. Loads change within some ten seconds.
const WINDOW: Duration = Duration::from_secs(10);
/// The shortest time that a rate is computed over, so that tasks which end together do not look like
/// a high rate.
const MIN_SPAN: Duration = Duration::from_secs(1);
/// The maximum number of changes that are kept for a rack.
const MAX_CHANGES: usize = 128;
/// The maximum number of racks that are observed, which bounds the memory for them to some 2 MB.
const MAX_RACKS: usize = 256;
/// A rack that no task has asked for within this time is no longer observed.
const RACK_TIMEOUT: Duration = Duration::from_secs(60);
/// Openings closer together than this count as one when it comes to how certain their rate is.
const CLUSTER: Duration = Duration::from_millis(50);

/// By which part a run may be longer or shorter than expected when it is judged whether a start
/// elsewhere would be late. With 1 instead of 0.5, 20 of 1,030 jobs fewer are in time where a rack is
/// lost and remote runs take three times as long, and 3 more where it is full.
const RUN_TIME_ERROR: f64 = 0.5;

/// Why the free capacity of an executor changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// A task left the executor.
    Freed,
    /// A task was placed that is faster in this rack: its data is there, or its gang prefers one rack.
    TakenNear,
    /// A task was placed that would run as well elsewhere.
    TakenByOther,
}

/// A change of the free capacity of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityChange {
    /// When it changed.
    pub at: Mono,
    /// What was free before.
    pub before: Size,
    /// What is free now.
    pub after: Size,
    /// Why it changed.
    pub kind: ChangeKind,
}

/// The latest changes of free capacity in one rack.
#[derive(Clone, Debug)]
pub struct RackHistory {
    changes: VecDeque<CapacityChange>,
    /// From when on all changes are in `changes`.
    complete_since: Mono,
    asked_at: Mono,
}

/// How often room for a task became free in a rack.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Openings {
    /// For how many tasks of the size room became free that tasks without a preference for the rack
    /// did not take.
    pub count: u32,
    /// At how many different times that happened.
    pub clusters: u32,
    /// The time over which they were counted.
    pub span: Duration,
}

/// What is known of the choice between a start elsewhere now and a wait for the better place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The task, or the first one of a gang.
    pub task: TaskKey,
    /// How long it is expected to run in the better place.
    pub run: Duration,
    /// By how much longer it runs elsewhere, which a wait for the better place saves.
    pub gain: Duration,
    /// The number of openings after which it finds room, if those ahead of it take theirs first.
    pub needed: u32,
    /// How often room for a task of its size has become free.
    pub openings: Openings,
    /// For how long it can still wait and be in time in the better place.
    pub slack: Duration,
    /// For how long it has waited.
    pub waited: Duration,
}

/// Whether a task starts elsewhere or waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It takes the place that there is.
    Start,
    /// It waits, at most for this long.
    Wait(Duration),
}

/// A rule for the choice between a start elsewhere and a wait.
pub type Rule = fn(&Place) -> Decision;

/// The wait of a task for a better place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceWait {
    /// The rack that it waits for.
    pub rack: Arc<str>,
    /// When the wait began.
    pub since: Mono,
    /// When it ends at the latest, by the newest decision.
    pub until: Mono,
    /// Whether it has ended because it no longer pays off. It does not begin anew until the task has
    /// started.
    pub has_ended: bool,
}

/// The observed racks and the tasks that wait for a place.
#[derive(Clone, Debug)]
pub struct Locality {
    /// The rule that decides. Comparisons replace it by simpler ones.
    pub rule: Rule,
    racks: Map<(Arc<str>, Arc<str>), RackHistory>,
    /// The time of the latest report or placement round.
    now: Mono,
    waits: Map<TaskKey, PlaceWait>,
}

/// Waits while the time until there is room is expected to be shorter than what the place gains, and
/// the wait does not make it more likely that the task is late.
///
/// Those that wait before a task in the order of placement take their openings first, so that each
/// wait makes those behind it start elsewhere earlier.
#[must_use]
pub fn pays_off(place: &Place) -> Decision {
    let Some(wait) = place.openings.expected_wait(place.needed) else {
        return Decision::Start;
    };
    let at_most = place.slack.min(place.gain.saturating_sub(place.waited));
    if wait >= place.gain || at_most.is_zero() {
        return Decision::Start;
    }
    let margin = place.slack.as_secs_f64() - place.gain.as_secs_f64();
    let error = RUN_TIME_ERROR * (place.run + place.gain).as_secs_f64();
    if margin > error {
        let safe = Duration::from_secs_f64(margin - error);
        return Decision::Wait(at_most.min(safe));
    }
    // The run time elsewhere is taken to be anywhere within its error, and openings to come
    // independently of each other.
    let late_elsewhere = (0.5 - margin / (2.0 * error)).clamp(0.0, 1.0);
    let late_waiting = (-place.slack.as_secs_f64() / wait.as_secs_f64()).exp();
    if late_waiting > late_elsewhere {
        return Decision::Start;
    }
    Decision::Wait(at_most)
}

impl Openings {
    /// Returns the number of openings a second that can be relied on: the observed rate less its
    /// standard deviation, if the clusters are independent.
    #[must_use]
    pub fn reliable_per_s(&self) -> f64 {
        if self.clusters == 0 || self.span.is_zero() {
            return 0.0;
        }
        let certainty = 1.0 - 1.0 / f64::from(self.clusters).sqrt();
        f64::from(self.count) / self.span.as_secs_f64() * certainty
    }

    /// Returns the time in which this many openings can be relied on, or `None` if there are hardly
    /// any.
    #[must_use]
    pub fn expected_wait(&self, openings: u32) -> Option<Duration> {
        let rate = self.reliable_per_s();
        if rate <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(f64::from(openings) / rate).ok()
    }
}

impl RackHistory {
    /// Creates the history of a rack that is observed from now on.
    #[must_use]
    pub const fn new(now: Mono) -> Self {
        Self {
            changes: VecDeque::new(),
            complete_since: now,
            asked_at: now,
        }
    }

    /// Records a change of free capacity.
    pub fn record(&mut self, change: CapacityChange) {
        if self.changes.len() == MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.complete_since = oldest.at;
        }
        self.changes.push_back(change);
    }

    /// Counts how often room for a task of a size has become free. Room that a task without a
    /// preference for the rack took afterwards does not count.
    #[must_use]
    pub fn openings(&self, size: &Size, now: Mono) -> Openings {
        let from = now.before(WINDOW).unwrap_or(Mono::ZERO);
        let from = from.max(self.complete_since);
        let (mut count, mut clusters, mut open) = (0_u32, 0, 0_u32);
        let mut latest: Option<Mono> = None;
        for change in self.changes.iter().filter(|change| change.at >= from) {
            let (before, after) = (units(&change.before, size), units(&change.after, size));
            let taken = before.saturating_sub(after).min(open);
            open -= taken;
            match change.kind {
                ChangeKind::Freed => {
                    let freed = after.saturating_sub(before);
                    open += freed;
                    count += freed;
                    let is_apart = latest.is_none_or(|at| change.at.since(at) >= CLUSTER);
                    if freed > 0 && is_apart {
                        clusters += 1;
                        latest = Some(change.at);
                    }
                }
                ChangeKind::TakenByOther => count -= taken,
                ChangeKind::TakenNear => {}
            }
        }
        Openings {
            count,
            clusters,
            span: now.since(from).max(MIN_SPAN),
        }
    }
}

impl Default for Locality {
    fn default() -> Self {
        Self {
            rule: pays_off,
            racks: Map::default(),
            now: Mono::ZERO,
            waits: Map::default(),
        }
    }
}

impl Locality {
    /// Sets the time at which capacity changes from now on.
    pub const fn advance(&mut self, now: Mono) {
        self.now = now;
    }

    /// Returns the time at which capacity changes.
    #[must_use]
    pub const fn now(&self) -> Mono {
        self.now
    }

    /// Returns whether nothing has to be recorded, because no task has asked for a rack.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.racks.is_empty()
    }

    /// Returns whether a rack is observed. If it is, that goes on for some time.
    pub fn keep_observing(&mut self, service: &Arc<str>, rack: &Arc<str>, now: Mono) -> bool {
        let history = self.racks.get_mut(&(service.clone(), rack.clone()));
        if let Some(history) = history {
            history.asked_at = now;
            return true;
        }
        false
    }

    /// Begins to observe a rack, unless too many are observed.
    pub fn observe(&mut self, service: &Arc<str>, rack: &Arc<str>, now: Mono) {
        if self.racks.len() < MAX_RACKS {
            let key = (service.clone(), rack.clone());
            self.racks
                .entry(key)
                .or_insert_with(|| RackHistory::new(now));
        }
    }

    /// Records a change of free capacity in a rack, if the rack is observed.
    pub fn record(&mut self, service: &Arc<str>, rack: &Arc<str>, change: CapacityChange) {
        let history = self.racks.get_mut(&(service.clone(), rack.clone()));
        if let Some(history) = history {
            history.record(change);
        }
    }

    /// Returns how often room for a task of a size has become free in a rack.
    #[must_use]
    pub fn openings(
        &self,
        service: &Arc<str>,
        rack: &Arc<str>,
        size: &Size,
        now: Mono,
    ) -> Openings {
        let history = self.racks.get(&(service.clone(), rack.clone()));
        history.map_or_else(Openings::default, |history| history.openings(size, now))
    }

    /// Returns a task's wait, unless it has ended.
    #[must_use]
    pub fn wait_of(&self, task: TaskKey) -> Option<&PlaceWait> {
        self.waits.get(&task).filter(|wait| !wait.has_ended)
    }

    /// Returns for how long a task has waited, or `None` if it must not wait any more.
    #[must_use]
    pub fn waited(&self, task: TaskKey, now: Mono) -> Option<Duration> {
        match self.waits.get(&task) {
            Some(wait) if wait.has_ended => None,
            Some(wait) => Some(now.since(wait.since)),
            None => Some(Duration::ZERO),
        }
    }

    /// Begins or continues the wait of a task.
    pub fn wait(&mut self, task: TaskKey, rack: &Arc<str>, at_most: Duration, now: Mono) {
        let wait = self.waits.entry(task).or_insert_with(|| PlaceWait {
            rack: rack.clone(),
            since: now,
            until: now,
            has_ended: false,
        });
        if wait.rack != *rack {
            wait.rack = rack.clone();
        }
        wait.until = now.after(at_most);
    }

    /// Ends the wait of a task that has not started.
    pub fn end_wait(&mut self, task: TaskKey) {
        if let Some(wait) = self.waits.get_mut(&task) {
            wait.has_ended = true;
        }
    }

    /// Removes and returns the wait of a task that starts.
    pub fn take_wait(&mut self, task: TaskKey) -> Option<PlaceWait> {
        self.waits.remove(&task)
    }

    /// Returns the number of tasks that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let waits = self.waits.values();
        waits.filter(|wait| !wait.has_ended).count()
    }

    /// Removes the waits of tasks that no longer wait for a start, and racks that no task asks for.
    pub fn tidy(&mut self, now: Mono, is_waiting: impl Fn(TaskKey) -> bool) {
        self.waits.retain(|task, _| is_waiting(*task));
        self.racks
            .retain(|_, history| now.since(history.asked_at) < RACK_TIMEOUT);
    }
}

/// Returns how many tasks of a size fit into what is free.
#[must_use]
pub fn units(free: &Size, size: &Size) -> u32 {
    let fit = |free: u64, needed: u64| free.checked_div(needed).unwrap_or(u64::MAX);
    let fit = fit(free.cpu_millis, size.cpu_millis)
        .min(fit(free.memory_mib, size.memory_mib))
        .min(fit(free.accelerators, size.accelerators));
    u32::try_from(fit).unwrap_or(u32::MAX)
}
