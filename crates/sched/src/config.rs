//! The settings of a scheduler.

use std::time::Duration;

/// The settings of a scheduler, fixed when it is created.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Whether interference and sizes are learned; without learning the priors and declared sizes
    /// apply.
    pub learning: bool,
    /// Whether batch tasks may be throttled; without throttling, eviction is the only remedy.
    pub throttling: bool,
    /// How many workers with enough free capacity are scored in full for each placement.
    pub candidates: usize,
    /// How long a task waits before a worker, or a part of its half's share, is reserved for it.
    pub reserve_after: Duration,
    /// How long a task waits before it is handed off to a shard of another daemon.
    pub hand_off_after: Duration,
    /// The maximum percentage of workers that may be quarantined.
    pub quarantine_percent: usize,
    /// How long a worker is quarantined before the first probe; doubled after each failed probe.
    pub probe_after: Duration,
    /// How many recent decisions are retained for the dump.
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
