//! What an exploration may do.

/// A rule that is deliberately broken, to show that the check notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenRule {
    /// Every rule holds.
    None,
    /// Workers obey every epoch and carry out messages of several in any order.
    EpochUnchecked,
    /// A successor waits for workers' leases only, not for what an earlier owner may still grant.
    TakeoverWithoutWaiting,
    /// Leases count from when a message arrives.
    LeaseFromReceipt,
    /// Transactions do not check the rows of tasks.
    RowsUnchecked,
    /// Workers carry out late and repeated messages.
    MessagesUnordered,
}

/// How many disturbances may still come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Of any kind.
    pub total: u8,
    /// Calls or answers that are lost, late or repeated.
    pub network: u8,
    /// Takeovers, which count in no other budget.
    pub takeovers: u8,
    /// Daemons that die.
    pub crashes: u8,
    /// Daemons that stand still for a while.
    pub pauses: u8,
    /// Times that a daemon loses the table.
    pub outages: u8,
    /// Daemons that lose a worker.
    pub partitions: u8,
    /// Workers whose host is started again.
    pub restarts: u8,
    /// Workers whose host dies for good.
    pub deaths: u8,
    /// Evictions.
    pub evictions: u8,
    /// Cancellations.
    pub cancellations: u8,
    /// Spans of time that pass, which count in no other budget.
    pub waits: u8,
}
