//! The budget of sends beyond the first.

/// Earns a fraction of a send with each request and spends one with each retry or hedge, so that
/// overload cannot multiply itself.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    permille: u32,
    saved: u32,
}

/// The price of one send.
const SEND: u32 = 1_000;
/// The most that is saved up, in sends.
const MAX_SAVED: u32 = 10 * SEND;
/// What a new upstream starts with, so that the first failures can be retried.
const FIRST_SAVED: u32 = 2 * SEND;

impl Budget {
    /// Makes a budget that earns `permille` thousandths of a send with each request.
    #[must_use]
    pub const fn new(permille: u32) -> Self {
        Self {
            permille,
            saved: FIRST_SAVED,
        }
    }

    /// Earns for one request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.permille).min(MAX_SAVED);
    }

    /// Spends one send and returns whether there was enough.
    pub const fn spend(&mut self) -> bool {
        if self.saved < SEND {
            return false;
        }
        self.saved -= SEND;
        true
    }
}
