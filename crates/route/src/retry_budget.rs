//! Token bucket that limits retries and hedges.

/// Each request deposits a fraction of a send and each retry or hedge withdraws a whole one, so
/// that retries cannot amplify an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    deposit_permille: u32,
    balance: u32,
}

/// Cost of one send, in thousandths of a send.
const SEND_COST: u32 = 1_000;
/// Maximum balance: ten sends.
const MAX_BALANCE: u32 = 10 * SEND_COST;
/// Balance of a new upstream, so that its first failures can be retried.
const INITIAL_BALANCE: u32 = 2 * SEND_COST;

impl RetryBudget {
    /// Creates a budget to which each request deposits `deposit_permille` thousandths of a send.
    #[must_use]
    pub const fn new(deposit_permille: u32) -> Self {
        Self {
            deposit_permille,
            balance: INITIAL_BALANCE,
        }
    }

    /// Deposits the share of one request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.deposit_permille).min(MAX_BALANCE);
    }

    /// Withdraws one send and returns whether the balance was sufficient.
    pub const fn try_withdraw(&mut self) -> bool {
        if self.balance < SEND_COST {
            return false;
        }
        self.balance -= SEND_COST;
        true
    }
}
