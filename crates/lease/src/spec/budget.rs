//! Limits and deliberate faults of an exploration.

/// A protocol rule that is deliberately broken, to show that the model checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenRule {
    /// No rule is broken.
    None,
    /// Workers accept messages of any epoch, in any order.
    EpochUnchecked,
    /// A successor waits only for current worker leases, not for those that a prior owner may still
    /// grant.
    TakeoverWithoutWaiting,
    /// Leases start when a message arrives instead of when the answered report was created.
    LeaseFromReceipt,
    /// Transactions do not check the versions of task rows.
    RowsUnchecked,
    /// Workers execute late and duplicate messages.
    MessagesUnordered,
}

/// The number of disturbances that may still occur.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Disturbances of any kind, except takeovers and waits.
    pub total: u8,
    /// Lost, late or duplicate calls and answers.
    pub network: u8,
    /// Takeovers, which do not count towards `total`.
    pub takeovers: u8,
    /// Crashes of daemons.
    pub crashes: u8,
    /// Pauses of daemons.
    pub pauses: u8,
    /// Losses of the connection between a daemon and the table.
    pub outages: u8,
    /// Losses of the connection between a daemon and a worker.
    pub partitions: u8,
    /// Restarts of worker hosts.
    pub restarts: u8,
    /// Permanent failures of worker hosts.
    pub deaths: u8,
    /// Evictions of tasks.
    pub evictions: u8,
    /// Cancellations of tasks.
    pub cancellations: u8,
    /// Intervals of time that pass, which do not count towards `total`.
    pub waits: u8,
}
