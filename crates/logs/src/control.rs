//! The logging policy, which can be replaced while the process runs, and counters of the output.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use log::LevelFilter;
use model::Map;

/// Default for [`Policy::lines_per_second`].
///
/// A burst of one event is logged as its first lines and a count of the suppressed ones.
pub const DEFAULT_LINES_PER_SECOND: u32 = 100;

/// Decides which log lines are written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The most verbose level that is written, for lines without an entry in `events`.
    pub level: LevelFilter,
    /// Levels by event, each of which overrides `level` for its event.
    pub events: Map<String, LevelFilter>,
    /// The maximum number of lines written per event and second.
    pub lines_per_second: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self::with_level(LevelFilter::Info)
    }
}

impl Policy {
    /// Creates a policy that applies `level` to all events, with the default rate limit.
    #[must_use]
    pub fn with_level(level: LevelFilter) -> Self {
        Self {
            level,
            events: Map::default(),
            lines_per_second: DEFAULT_LINES_PER_SECOND,
        }
    }

    /// Returns the most verbose level written for `event`, or for lines without an event.
    #[must_use]
    pub fn level_for(&self, event: Option<&str>) -> LevelFilter {
        let configured = event.and_then(|event| self.events.get(event));
        configured.copied().unwrap_or(self.level)
    }

    /// Returns the most verbose level written for any event.
    #[must_use]
    pub fn max_level(&self) -> LevelFilter {
        let events = self.events.values().copied();
        events.fold(self.level, std::cmp::max)
    }
}

/// Counters of the log output since the [`Control`] was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogStats {
    /// Lines passed to the writer.
    pub lines: u64,
    /// Bytes passed to the writer, line breaks included.
    pub bytes: u64,
    /// Lines suppressed by the rate limit of their event.
    pub suppressed: u64,
}

/// A shared handle to the current [`Policy`] and the output counters.
///
/// Clones refer to the same state. The logger reads the policy for each line.
#[derive(Clone, Debug, Default)]
pub struct Control {
    shared: Arc<SharedState>,
}

#[derive(Debug, Default)]
struct SharedState {
    policy: RwLock<Policy>,
    lines: AtomicU64,
    bytes: AtomicU64,
    suppressed: AtomicU64,
}

impl Control {
    /// Creates a handle whose logger starts with `policy`.
    ///
    /// The global maximum level of the `log` crate is left as it is.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        let control = Self::default();
        control.replace_policy(policy);
        control
    }

    /// Replaces the policy, which applies from the next line on.
    ///
    /// Sets the global maximum level of the `log` crate to [`Policy::max_level`].
    pub fn set_policy(&self, policy: Policy) {
        log::set_max_level(policy.max_level());
        self.replace_policy(policy);
    }

    /// Returns a copy of the current policy.
    #[must_use]
    pub fn policy(&self) -> Policy {
        self.with_policy(Policy::clone)
    }

    /// Returns the current counters.
    ///
    /// They are read one by one, so they may differ by lines that are logged at the same time.
    #[must_use]
    pub fn stats(&self) -> LogStats {
        LogStats {
            lines: self.shared.lines.load(Ordering::Relaxed),
            bytes: self.shared.bytes.load(Ordering::Relaxed),
            suppressed: self.shared.suppressed.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn with_policy<T>(&self, inspect: impl FnOnce(&Policy) -> T) -> T {
        let policy = self.shared.policy.read();
        inspect(&policy.unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn count_line(&self, bytes: usize) {
        self.shared.lines.fetch_add(1, Ordering::Relaxed);
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.shared.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn count_suppressed(&self) {
        self.shared.suppressed.fetch_add(1, Ordering::Relaxed);
    }

    fn replace_policy(&self, policy: Policy) {
        let current = self.shared.policy.write();
        *current.unwrap_or_else(PoisonError::into_inner) = policy;
    }
}
