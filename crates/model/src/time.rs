//! Monotonic time, as passed to scheduling decisions.
//!
//! Decisions take `now` as an argument and never read a clock. A daemon creates one [`Clock`] when
//! it starts. Tests pause and advance the clock of the tokio runtime, which [`Clock`] reads.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// A point in time, in milliseconds on the monotonic clock of one process.
///
/// Times of different processes must not be compared.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0} ms")]
#[serde(transparent)]
pub struct Mono(pub u64);

impl Mono {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// Returns the time `duration` later. Saturates instead of overflowing.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(millis(duration)))
    }

    /// Returns the time `duration` earlier, or `None` if that is before the start of the clock.
    #[must_use]
    pub fn before(self, duration: Duration) -> Option<Self> {
        self.0.checked_sub(millis(duration)).map(Self)
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later than `self`.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// A clock that returns the time of the tokio runtime as [`Mono`].
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Instant,
}

impl Clock {
    /// Starts a clock at [`Mono::ZERO`].
    #[must_use]
    pub fn start() -> Self {
        Self {
            base: Instant::now(),
        }
    }

    /// Returns the time since the clock was started.
    #[must_use]
    pub fn now(&self) -> Mono {
        Mono(millis(self.base.elapsed()))
    }

    /// Converts a time of this clock to a tokio instant, for use with timers.
    #[must_use]
    pub fn instant(&self, at: Mono) -> Instant {
        self.base + Duration::from_millis(at.0)
    }
}

/// Returns a duration in whole milliseconds. Saturates instead of overflowing.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the milliseconds since the Unix epoch, or 0 if the system clock is set before it.
///
/// Use it only for times exchanged with other systems; measure durations with [`Clock`].
#[must_use]
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    millis(since_epoch)
}
