//! The loads that the tests of admission control replay, and what becomes of the jobs.

/// Who decides about submissions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// All are accepted.
    None,
    /// Jobs are refused while this many wait for their first start.
    MaxWaiting(usize),
    /// [`Admission`].
    Admission,
}

/// The jobs of one caller.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// The part of the whole load.
    pub part: f64,
    /// The mean number of tasks of a job.
    pub width: f64,
    /// Whether the jobs are best-effort.
    pub best_effort: bool,
}

/// A load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub name: &'static str,
    pub executors: usize,
    pub callers: &'static [Caller],
    /// Until when how much work arrives, as a multiple of what the executors can do.
    pub phases: &'static [(u64, f64)],
    /// Executors that are cut off: their number, from when and until when.
    pub cut_off: Option<(usize, u64, u64)>,
    /// Jobs that use all executors for 3 s each: when they arrive.
    pub large_jobs: &'static [u64],
}

/// What became of the jobs of a caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    pub jobs: usize,
    /// Ended by their objective, counted from the first attempt.
    pub in_time: usize,
    /// Ended by three times their objective.
    pub late: usize,
    /// Ended later, or failed.
    pub worthless: usize,
    /// Refused at each attempt, or refused when their value was gone.
    pub refused: usize,
    /// Accepted and never done.
    pub never: usize,
    /// Jobs that were refused at first and ended by three times their objective.
    pub served_after_refusal: usize,
    /// The time from the first attempt to the last refusal of jobs that were given up, in milliseconds:
    /// the median and the longest.
    pub refused_after_ms: (u64, u64),
    /// The largest number of submissions that came back within a second.
    pub largest_wave: usize,
    /// The value: 1 for each job in time and a half for each late one.
    pub value: f64,
}

impl Outcome {
    /// Adds up outcomes of several replays.
    pub fn sum<'o>(outcomes: impl Iterator<Item = &'o Self>) -> Self {
        outcomes.fold(Self::default(), |sum, outcome| Self {
            jobs: sum.jobs + outcome.jobs,
            in_time: sum.in_time + outcome.in_time,
            late: sum.late + outcome.late,
            worthless: sum.worthless + outcome.worthless,
            refused: sum.refused + outcome.refused,
            never: sum.never + outcome.never,
            served_after_refusal: sum.served_after_refusal + outcome.served_after_refusal,
            refused_after_ms: sum.refused_after_ms.max(outcome.refused_after_ms),
            largest_wave: sum.largest_wave.max(outcome.largest_wave),
            value: sum.value + outcome.value,
        })
    }
}
