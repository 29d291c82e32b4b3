//! Acceptance of a document: staged by every daemon that may serve, then committed.
//!
//! A [`proposer::Proposer`] carries one operator's [`change`] through; a [`follower::Follower`] in every
//! daemon keeps the document in force, the staged one and the permission to serve. Both are pure:
//! `handle(event, now) -> actions`. [`row`] has the rows of the table, [`quorum`] decides which
//! silent daemons may be passed over, and [`reply`] tells the operator who came second what
//! changed. `docs/CONFIGURATION.md` has the protocol with the faults that were weighed.

pub mod change;
pub mod follower;
pub mod message;
mod propagate;
pub mod proposer;
pub mod quorum;
pub mod reply;
mod resolve;
pub mod row;

use std::time::Duration;

/// The timeouts of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timeouts {
    /// How long a daemon serves after it last reached the store or a serving peer.
    pub isolation: Duration,
    /// What is added to `isolation` before others conclude that it has passed, for clocks that run
    /// apart.
    pub clock_margin: Duration,
    /// How long a daemon serves by the whole document in force after it last knew that the staged
    /// one was not yet in force.
    pub in_doubt: Duration,
    /// How long a staged document stands before anyone may clear it.
    pub stage: Duration,
    /// How long a proposer collects acknowledgements.
    pub collect: Duration,
    /// How long a proposer tries to find out what became of a write.
    pub resolve: Duration,
    /// How long a proposer waits for all daemons to have the document in force.
    pub propagation: Duration,
    /// How often a proposer repeats what is still unanswered.
    pub retry_interval: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            isolation: Duration::from_secs(10),
            clock_margin: Duration::from_secs(1),
            in_doubt: Duration::from_secs(4),
            stage: Duration::from_secs(30),
            collect: Duration::from_secs(15),
            resolve: Duration::from_secs(10),
            propagation: Duration::from_secs(4),
            retry_interval: Duration::from_millis(500),
        }
    }
}
