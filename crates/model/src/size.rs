//! Resource amounts: the capacity of a worker or the demand of a task.

use std::ops::Add;
use std::ops::AddAssign;

use derive_more::Display;
use derive_more::Sum;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// An amount of processor time, memory and accelerators.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    Hash,
    Sum,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[display("{cpu_millis}m cpu, {memory_mib} MiB, {accelerators} accelerators")]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Processor time, in thousandths of a core.
    #[serde(default)]
    pub cpu_millis: u64,
    /// Memory, in MiB.
    #[serde(default)]
    pub memory_mib: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Size {
    /// The size that is zero in every dimension.
    pub const ZERO: Self = Self::new(0, 0, 0);

    /// Creates a size from thousandths of a core, MiB and whole accelerators.
    #[must_use]
    pub const fn new(cpu_millis: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self {
            cpu_millis,
            memory_mib,
            accelerators,
        }
    }

    /// Returns whether `self` fits into `available` in every dimension.
    #[must_use]
    pub const fn fits(&self, available: &Self) -> bool {
        self.cpu_millis <= available.cpu_millis
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Subtracts in every dimension, or returns `None` if any result would be negative.
    #[must_use]
    pub const fn checked_sub(&self, other: &Self) -> Option<Self> {
        if other.fits(self) {
            Some(self.saturating_sub(other))
        } else {
            None
        }
    }

    /// Subtracts in every dimension, with zero as the lower bound.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self::new(
            self.cpu_millis.saturating_sub(other.cpu_millis),
            self.memory_mib.saturating_sub(other.memory_mib),
            self.accelerators.saturating_sub(other.accelerators),
        )
    }

    /// Returns the minimum in every dimension.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        Self::new(
            self.cpu_millis.min(other.cpu_millis),
            self.memory_mib.min(other.memory_mib),
            self.accelerators.min(other.accelerators),
        )
    }

    /// Returns the maximum in every dimension.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self::new(
            self.cpu_millis.max(other.cpu_millis),
            self.memory_mib.max(other.memory_mib),
            self.accelerators.max(other.accelerators),
        )
    }

    /// Returns the largest fraction of `total` that `self` takes in any dimension.
    ///
    /// A dimension in which `self` is zero counts as 0. One in which only `total` is zero counts
    /// as infinity.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let fraction = |used: u64, total: u64| match (used, total) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (used, total) => used as f64 / total as f64,
        };
        fraction(self.cpu_millis, total.cpu_millis)
            .max(fraction(self.memory_mib, total.memory_mib))
            .max(fraction(self.accelerators, total.accelerators))
    }
}

impl Add for Size {
    type Output = Self;

    /// Adds in every dimension, with the highest number as the upper bound.
    fn add(self, other: Self) -> Self {
        Self::new(
            self.cpu_millis.saturating_add(other.cpu_millis),
            self.memory_mib.saturating_add(other.memory_mib),
            self.accelerators.saturating_add(other.accelerators),
        )
    }
}

impl AddAssign for Size {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}
