//! The acceptance protocol: a two-phase commit of the configuration document.
//!
//! Every daemon that may be serving stages a document before it is committed. A
//! [`proposer::Proposer`] drives one operator's [`change`]; a [`follower::Follower`] in every
//! daemon holds the document in force, the staged one and the serving mode. Both are pure state
//! machines: `handle(event, now) -> actions`. [`row`] defines the rows of the table, [`quorum`]
//! decides which silent daemons a commit may pass over, and [`reply`] builds the answer to the
//! operator. `docs/CONFIGURATION.md` describes the protocol and the faults that it considers.

pub mod change;
mod collect;
pub mod follower;
pub mod message;
mod propagate;
pub mod proposer;
pub mod quorum;
pub mod reply;
mod resolve;
pub mod row;

use std::time::Duration;

/// The timeouts of the acceptance protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timeouts {
    /// How long a daemon may serve after it last reached the store or a serving peer.
    pub isolation: Duration,
    /// Added to `isolation` before others conclude that it has elapsed, to allow for clock drift.
    pub clock_margin: Duration,
    /// How long a daemon with a staged document goes on serving all of the document in force after
    /// it last confirmed that the staged one was not yet in force.
    pub in_doubt: Duration,
    /// How long a staged document is protected before any daemon may clear it.
    pub stage: Duration,
    /// How long a proposer waits for the daemons to acknowledge the staged document.
    pub collect: Duration,
    /// How long a proposer retries to resolve a read or a write whose result is unknown.
    pub resolve: Duration,
    /// How long a proposer waits for all daemons to put a committed document into force.
    pub propagation: Duration,
    /// How often a proposer repeats requests that are still unanswered.
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
