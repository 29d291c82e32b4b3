//! The budget of sends beyond the first.

/// Earns a fraction of a send with each request and spends one with each retry or hedge, so that
/// overload cannot multiply itself.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    deposit_permille: u32,
    balance: u32,
}

/// The price of one send.
const SEND_COST: u32 = 1_000;
/// The most that is saved up, in sends.
const MAX_BALANCE: u32 = 10 * SEND_COST;
/// What a new upstream starts with, so that the first failures can be retried.
const INITIAL_BALANCE: u32 = 2 * SEND_COST;

impl RetryBudget {
    /// Makes a budget that earns `deposit_permille` thousandths of a send with each request.
    #[must_use]
    pub const fn new(deposit_permille: u32) -> Self {
        Self {
            deposit_permille,
            balance: INITIAL_BALANCE,
        }
    }

    /// Earns for one request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.deposit_permille).min(MAX_BALANCE);
    }

    /// Spends one send and returns whether there was enough.
    pub const fn try_withdraw(&mut self) -> bool {
        if self.balance < SEND_COST {
            return false;
        }
        self.balance -= SEND_COST;
        true
    }
}
