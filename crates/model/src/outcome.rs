//! The three outcomes that a caller can tell apart, see `docs/CALLERS.md`.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// What became of a request or a submission.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer of an executor was handed on.
    #[display("answered")]
    Answered,
    /// It was certainly not run: no byte of it can have reached an executor, or the executor's own
    /// refusal proves it.
    #[display("not-run")]
    NotRun,
    /// It may or may not have been run.
    #[display("unknown")]
    Unknown,
}
