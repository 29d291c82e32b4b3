//! Exit codes, from which scripts learn the outcome of a command.

/// The outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command was executed.
    Done,
    /// The command was certainly not executed, or not as requested.
    NotDone,
    /// The arguments, the token or the document are invalid.
    BadInput,
    /// The command may or may not have been executed.
    Unknown,
    /// No daemon was reached, so nothing was executed.
    Unreachable,
}

impl ExitStatus {
    /// Returns the exit code of the process.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::NotDone => 1,
            Self::BadInput => 2,
            Self::Unknown => 3,
            Self::Unreachable => 4,
        }
    }
}
