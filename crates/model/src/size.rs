//! What a worker has and what a task needs, in three dimensions.

use derive_more::Add;
use derive_more::AddAssign;
use derive_more::Display;
use derive_more::Sum;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Processors, memory and accelerators.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    Hash,
    Add,
    AddAssign,
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
    /// Nothing at all.
    pub const ZERO: Self = Self::new(0, 0, 0);

    /// Makes a size from thousandths of a core, MiB and whole accelerators.
    #[must_use]
    pub const fn new(cpu_millis: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self {
            cpu_millis,
            memory_mib,
            accelerators,
        }
    }

    /// Returns whether `self` fits into `room` in every dimension.
    #[must_use]
    pub const fn fits(&self, room: &Self) -> bool {
        self.cpu_millis <= room.cpu_millis
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// Subtracts in every dimension, or returns `None` where one would go below zero.
    #[must_use]
    pub const fn checked_sub(&self, taken: &Self) -> Option<Self> {
        if taken.fits(self) {
            Some(self.saturating_sub(taken))
        } else {
            None
        }
    }

    /// Subtracts in every dimension, stopping at zero.
    #[must_use]
    pub const fn saturating_sub(&self, taken: &Self) -> Self {
        Self::new(
            self.cpu_millis.saturating_sub(taken.cpu_millis),
            self.memory_mib.saturating_sub(taken.memory_mib),
            self.accelerators.saturating_sub(taken.accelerators),
        )
    }

    /// Returns the smaller of both in every dimension.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        Self::new(
            self.cpu_millis.min(other.cpu_millis),
            self.memory_mib.min(other.memory_mib),
            self.accelerators.min(other.accelerators),
        )
    }

    /// Returns the larger of both in every dimension.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self::new(
            self.cpu_millis.max(other.cpu_millis),
            self.memory_mib.max(other.memory_mib),
            self.accelerators.max(other.accelerators),
        )
    }

    /// Returns the largest part of `whole` that this takes in any dimension, 0 for an absent one.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    pub fn dominant_share(&self, whole: &Self) -> f64 {
        let part = |own: u64, all: u64| match (own, all) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (own, all) => own as f64 / all as f64,
        };
        part(self.cpu_millis, whole.cpu_millis)
            .max(part(self.memory_mib, whole.memory_mib))
            .max(part(self.accelerators, whole.accelerators))
    }
}
