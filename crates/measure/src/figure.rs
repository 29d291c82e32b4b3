//! A measured figure with its target and baseline.

use std::fmt;

/// How a figure is compared with its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// The figure must not exceed the target.
    AtMost,
    /// The figure must not fall below the target.
    AtLeast,
    /// The figure has no target and is reported for information only.
    Reported,
}

/// A measured value, printed as one line: `name value unit target baseline`.
#[derive(Clone, Debug)]
pub struct Figure {
    /// Name of the figure in kebab case.
    pub name: String,
    /// The measured value, in [`unit`](Self::unit).
    pub value: f64,
    /// Unit of the value; `1` for ratios and counts.
    pub unit: &'static str,
    /// How the value is compared with the target.
    pub bound: Bound,
    /// The target. It comes from the users' requirements or an issue, never from an earlier run.
    pub target: f64,
    /// The same figure for the baseline of this run, if the measurement has one.
    pub baseline: Option<f64>,
}

impl Figure {
    /// Creates a figure that must not exceed `target`.
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

    /// Creates a figure that must not fall below `target`.
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

    /// Creates a figure without a target.
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

    /// Sets the value that the baseline reached in the same run.
    #[must_use]
    pub const fn baseline(mut self, value: f64) -> Self {
        self.baseline = Some(value);
        self
    }

    /// Returns whether the target is met. A NaN value meets no target.
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
