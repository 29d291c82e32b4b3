//! One measured figure, its target and its baseline.

use std::fmt;

/// Which side of the target a figure has to be on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// The figure may not be above the target.
    AtMost,
    /// The figure may not be below the target.
    AtLeast,
    /// The figure is reported only; it has no target of the users.
    Reported,
}

/// One line of a measurement: `name value unit target baseline`.
#[derive(Clone, Debug)]
pub struct Figure {
    /// What was measured, words joined by `-`.
    pub name: String,
    /// The value.
    pub value: f64,
    /// Its unit, `1` for a ratio.
    pub unit: &'static str,
    /// Which side of the target it has to be on.
    pub bound: Bound,
    /// The target, from the users' letters or an issue, never from an earlier run.
    pub target: f64,
    /// The same figure of the baseline in the same run, where there is one.
    pub baseline: Option<f64>,
}

impl Figure {
    /// A figure that may not be above `target`.
    #[must_use]
    pub fn at_most(name: impl Into<String>, value: f64, unit: &'static str, target: f64) -> Self {
        Self {
            name: name.into(),
            value,
            unit,
            bound: Bound::AtMost,
            target,
            baseline: None,
        }
    }

    /// A figure that may not be below `target`.
    #[must_use]
    pub fn at_least(name: impl Into<String>, value: f64, unit: &'static str, target: f64) -> Self {
        Self {
            name: name.into(),
            value,
            unit,
            bound: Bound::AtLeast,
            target,
            baseline: None,
        }
    }

    /// A figure without a target.
    #[must_use]
    pub fn reported(name: impl Into<String>, value: f64, unit: &'static str) -> Self {
        Self {
            name: name.into(),
            value,
            unit,
            bound: Bound::Reported,
            target: 0.0,
            baseline: None,
        }
    }

    /// Adds the baseline of the same run.
    #[must_use]
    pub const fn baseline(mut self, value: f64) -> Self {
        self.baseline = Some(value);
        self
    }

    /// Returns whether the target is met; a value that is not a number meets none.
    #[must_use]
    pub fn met(&self) -> bool {
        match self.bound {
            Bound::AtMost => self.value <= self.target,
            Bound::AtLeast => self.value >= self.target,
            Bound::Reported => true,
        }
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:.4} {} ", self.name, self.value, self.unit)?;
        match self.bound {
            Bound::AtMost => write!(f, "<={} ", self.target)?,
            Bound::AtLeast => write!(f, ">={} ", self.target)?,
            Bound::Reported => write!(f, "- ")?,
        }
        match self.baseline {
            Some(baseline) => write!(f, "{baseline:.4}")?,
            None => write!(f, "-")?,
        }
        if self.met() {
            Ok(())
        } else {
            write!(f, " MISSED")
        }
    }
}
