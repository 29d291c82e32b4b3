//! Log events of an owner about the leases of earlier ones; `docs/design/leases-after-a-takeover.md`.

/// The leases that an owner inherits.
pub struct InheritedLeases {
    /// The number of executors with inherited tasks.
    pub executors: usize,
    /// The number of executors that the earlier owner has stored as silent.
    pub silent: usize,
    /// How long the earlier owner is assumed to send commands, in milliseconds.
    pub sends_ms: u64,
    /// The time until the leases that it may have granted expire at the latest, in milliseconds.
    pub lease_ms: u64,
}

/// Logs until when an owner assumes that the earlier one goes on. The tasks of an executor that does
/// not answer wait for as long unless a line [`predecessor_stopped`] follows.
pub fn leases_inherited(epoch: u64, earlier: &str, leases: &InheritedLeases) {
    let InheritedLeases {
        executors,
        silent,
        sends_ms,
        lease_ms,
    } = *leases;
    log::info!(event = "leases_inherited", epoch, earlier, executors, silent, sends_ms, lease_ms; "");
}

/// Logs that the earlier owner sends nothing any more, what shows it, how long that took after the
/// claim and the time until the leases that it granted expire at the latest.
pub fn predecessor_stopped(epoch: u64, earlier: &str, proof: &str, after_ms: u64, lease_ms: u64) {
    log::info!(event = "predecessor_stopped", epoch, earlier, proof, after_ms, lease_ms; "");
}

/// Logs that an executor took a call, `start` or `poll`, with a deadline that lies further ahead on its clock
/// than any owner grants: the deadline was computed for the clock of an earlier incarnation. The
/// executor shortens the lease to the longest that it accepts.
pub fn lease_too_long(executor: &str, call: &str, deadline_ms: u64, clock_ms: u64) {
    let lease_ms = deadline_ms.saturating_sub(clock_ms);
    log::warn!(event = "lease_too_long", executor, call, lease_ms, clock_ms; "");
}
