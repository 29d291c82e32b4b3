//! What can be set for one scheduler.

use std::time::Duration;

/// The settings of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Whether interference and sizes are learned; without it the prior stands for ever.
    pub learning: bool,
    /// Whether tasks may be throttled; without it eviction is the only means.
    pub throttling: bool,
    /// How many workers with room are scored in full for one placement.
    pub candidates: usize,
    /// How long a task waits in vain before a worker is kept for it.
    pub reserve_after: Duration,
    /// How long a task waits in vain before it is moved to a shard of another daemon.
    pub hand_off_after: Duration,
    /// The most of the workers that may be quarantined, in percent.
    pub quarantine_percent: usize,
    /// How long a worker is quarantined before the first probe; doubled after each failed one.
    pub probe_after: Duration,
    /// How many decisions are kept for the dump.
    pub max_recent: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            learning: true,
            throttling: true,
            candidates: 8,
            reserve_after: Duration::from_secs(30),
            hand_off_after: Duration::from_secs(5),
            quarantine_percent: 10,
            probe_after: Duration::from_secs(300),
            max_recent: 256,
        }
    }
}
