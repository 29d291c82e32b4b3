//! What is written of all lines, changed while the process runs, and how much was.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use log::LevelFilter;
use model::Map;

/// The most lines of one event in a second, unless the settings say otherwise; a burst is told of by
/// its first lines and a count.
pub const DEFAULT_LINES_PER_SECOND: u32 = 100;

/// Which lines are written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The least severe level that is written.
    pub level: LevelFilter,
    /// Levels of single events, which go before `level`.
    pub events: Map<String, LevelFilter>,
    /// The most lines of one event in a second.
    pub lines_per_second: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self::with_level(LevelFilter::Info)
    }
}

impl Policy {
    /// Makes the policy of one level for all lines.
    #[must_use]
    pub fn with_level(level: LevelFilter) -> Self {
        Self {
            level,
            events: Map::default(),
            lines_per_second: DEFAULT_LINES_PER_SECOND,
        }
    }

    /// Returns the least severe level that is written of an event.
    #[must_use]
    pub fn level_for(&self, event: Option<&str>) -> LevelFilter {
        let configured = event.and_then(|event| self.events.get(event));
        configured.copied().unwrap_or(self.level)
    }

    /// Returns the least severe level that any line can have.
    #[must_use]
    pub fn max_level(&self) -> LevelFilter {
        let events = self.events.values().copied();
        events.fold(self.level, std::cmp::max)
    }
}

/// How much was written since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogStats {
    /// Lines handed to the writer.
    pub lines: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Lines left out because too many of their event came in one second.
    pub suppressed: u64,
}

/// The policy in force and what was written, shared by the logger and those who change or ask.
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
    /// Makes the control of a logger that starts with this policy.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        let control = Self::default();
        control.replace_policy(policy);
        control
    }

    /// Puts another policy into force, from the next line on.
    pub fn set_policy(&self, policy: Policy) {
        log::set_max_level(policy.max_level());
        self.replace_policy(policy);
    }

    /// Returns the policy in force.
    #[must_use]
    pub fn policy(&self) -> Policy {
        self.with_policy(Policy::clone)
    }

    /// Returns what was written so far.
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
