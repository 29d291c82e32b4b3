//! The kinds of calls to the store that logs tell apart.

/// What a call to the store was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reading or following the operators' document.
    Document,
    /// Reading the owner's row, to watch the owner or to check that the store answers.
    OwnerRow,
    /// Reading or following jobs and their records.
    Jobs,
    /// Reading or following the evacuations of data centres.
    Evacuations,
    /// Reading the list of executors.
    Executors,
    /// A transaction of the owner.
    Transaction,
    /// Storing a submission or a cancellation of a caller.
    Request,
    /// Reading the state of a job for a caller.
    JobState,
    /// Removing the rows of ended jobs.
    Cleanup,
}

impl StoreCall {
    /// Returns the value that logs show.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Document => "document",
            Self::OwnerRow => "owner_row",
            Self::Jobs => "jobs",
            Self::Evacuations => "evacuations",
            Self::Executors => "executors",
            Self::Transaction => "transaction",
            Self::Request => "request",
            Self::JobState => "job_state",
            Self::Cleanup => "cleanup",
        }
    }
}
