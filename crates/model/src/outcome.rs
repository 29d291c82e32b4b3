//! The outcome of a request as reported to the caller; see `docs/CALLERS.md`.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// The outcome of a request or submission.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete response of an executor was forwarded.
    #[display("answered")]
    Answered,
    /// The request was definitely not executed: either no byte of it can have reached an executor,
    /// or the response of the executor proves that it was rejected.
    #[display("not-run")]
    NotRun,
    /// The request may or may not have been executed.
    #[display("unknown")]
    Unknown,
}
