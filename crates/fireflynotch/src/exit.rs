//! The exit codes, by which scripts tell the outcomes apart.

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// It was done.
    Done,
    /// It was certainly not done, or not as asked.
    NotDone,
    /// Arguments, token or document are wrong.
    BadInput,
    /// It may or may not have been done.
    Unknown,
    /// No daemon was reached, so nothing was done.
    Unreachable,
}

impl ExitStatus {
    /// Returns the code of the process.
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
