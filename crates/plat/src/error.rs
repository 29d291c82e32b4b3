//! How a call to the outside can fail, by what the caller may conclude.

use derive_more::Display;
use derive_more::Error;

/// A call that brought no answer.
///
/// The difference decides what may be done next, see rule 1 in `docs/DESIGN.md`: a refused call had
/// no effect, an unknown one may have had one, now or later.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum CallError {
    /// The other side certainly did not carry the call out.
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] String),
    /// The call may have been carried out, or may still be.
    #[display("outcome unknown: {_0}")]
    Unknown(#[error(not(source))] String),
}
