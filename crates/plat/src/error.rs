//! Errors of calls to external services, classified by whether the call may have had an effect.

use derive_more::Display;
use derive_more::Error;

/// The error of a call without a usable response.
///
/// The variant determines what the caller may do next, see rule 1 in `docs/DESIGN.md`: a refused
/// call had no effect, one with an unknown outcome may have had an effect or may still get one.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum CallError {
    /// The call was certainly not executed; the string gives the reason.
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] String),
    /// The call may have been executed or may still be executed; the string gives the cause.
    #[display("outcome unknown: {_0}")]
    Unknown(#[error(not(source))] String),
}
