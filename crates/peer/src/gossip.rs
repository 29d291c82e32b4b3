//! Gossip: the selection of peers and the merging of received state.
//!
//! In each round a daemon exchanges heartbeats with [`FANOUT`] peers, selected in random order so
//! that every peer is contacted. An update reaches all daemons in a number of rounds that is
//! logarithmic in the number of daemons. The cost of a round for each daemon depends on that number
//! only by the size of an exchange.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Mono;
use model::id::DaemonId;
use model::id::Incarnation;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::heartbeat::Heartbeat;
use crate::members::Members;
use crate::summary::Summary;

/// The interval between rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// The number of peers that a daemon contacts per round.
pub const FANOUT: usize = 2;
/// The number of low bits of a summary's sequence that count within one incarnation of its daemon.
const SEQUENCE_BITS: u32 = 32;

/// One direction of an exchange; request and response have the same structure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender.
    pub from: DaemonId,
    /// The heartbeats of all daemons that the sender considers alive.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<Heartbeat>,
    /// The sequence of the sender's newest summary of each daemon, so that the receiver sends newer
    /// ones only.
    #[serde(rename = "have")]
    pub summary_sequences: Vec<(DaemonId, u64)>,
    /// The summaries that, as far as the sender knows, the receiver does not have.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub summaries: Vec<(DaemonId, Summary)>,
}

/// The gossip state of a daemon, in addition to its [`Members`].
#[derive(Clone, Debug)]
pub struct Gossip {
    pending_targets: Vec<DaemonId>,
    summaries: BTreeMap<DaemonId, Summary>,
    peer_sequences: BTreeMap<DaemonId, BTreeMap<DaemonId, u64>>,
    first_sequence: u64,
    rng: SmallRng,
}

impl Gossip {
    /// Creates the state of one incarnation of a daemon; `seed` is for the selection of peers.
    ///
    /// The incarnation determines the first sequence of the summaries, so that it is above those of
    /// earlier incarnations.
    #[must_use]
    pub fn new(incarnation: Incarnation, seed: u64) -> Self {
        Self {
            first_sequence: incarnation.0 << SEQUENCE_BITS,
            pending_targets: Vec::new(),
            summaries: BTreeMap::new(),
            peer_sequences: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the peers to contact in this round.
    ///
    /// Daemons that seem dead are contacted too, so that both sides of a partition detect when it
    /// heals.
    pub fn targets(&mut self, members: &Members) -> Vec<DaemonId> {
        let reachable =
            |(daemon, member): (&DaemonId, &crate::members::Member)| -> Option<DaemonId> {
                (daemon != members.own_id() && member.profile.is_some()).then(|| daemon.clone())
            };
        let known: Vec<DaemonId> = members.all().filter_map(reachable).collect();
        self.pending_targets.retain(|daemon| known.contains(daemon));
        let mut targets = Vec::new();
        while targets.len() < FANOUT.min(known.len()) {
            if self.pending_targets.is_empty() {
                self.pending_targets.clone_from(&known);
                self.pending_targets.shuffle(&mut self.rng);
            }
            match self.pending_targets.pop() {
                Some(next) if !targets.contains(&next) => targets.push(next),
                _ => {}
            }
        }
        targets
    }

    /// Changes this daemon's own summary, and increments its sequence if the content changed or if
    /// this is the first call.
    pub fn update(&mut self, own: &DaemonId, change: impl FnOnce(&mut Summary)) {
        let first = Summary {
            sequence: self.first_sequence,
            ..Summary::default()
        };
        let known = self.summaries.entry(own.clone()).or_insert(first);
        let mut changed = known.clone();
        change(&mut changed);
        changed.sequence = known.sequence;
        if changed != *known || known.sequence == self.first_sequence {
            changed.sequence += 1;
            *known = changed;
        }
    }

    /// Returns the exchange to send to a peer, as request or response.
    #[must_use]
    pub fn compose(&self, members: &Members, to: &DaemonId, now: Mono) -> Exchange {
        let sequences = self.peer_sequences.get(to);
        let known_sequence = |daemon: &DaemonId| {
            sequences
                .and_then(|sequences| sequences.get(daemon))
                .copied()
                .unwrap_or(0)
        };
        let unsent = |(daemon, summary): (&DaemonId, &Summary)| {
            let is_newer = daemon != to && summary.sequence > known_sequence(daemon);
            (is_newer && members.is_alive(daemon, now)).then(|| (daemon.clone(), summary.clone()))
        };
        Exchange {
            from: members.own_id().clone(),
            heartbeats: members.heartbeats(now),
            summary_sequences: self.summary_sequences(),
            summaries: self.summaries.iter().filter_map(unsent).collect(),
        }
    }

    /// Merges an exchange received from a peer, as request or response.
    pub fn merge(&mut self, members: &mut Members, exchange: Exchange, now: Mono) {
        for heartbeat in &exchange.heartbeats {
            members.observe(heartbeat, now);
        }
        self.peer_sequences.insert(
            exchange.from,
            exchange.summary_sequences.into_iter().collect(),
        );
        for (daemon, summary) in exchange.summaries {
            let known = self
                .summaries
                .get(&daemon)
                .map_or(0, |known| known.sequence);
            if daemon != *members.own_id() && summary.sequence > known {
                self.summaries.insert(daemon, summary);
            }
        }
        self.summaries
            .retain(|daemon, _| members.get(daemon).is_some());
        self.peer_sequences
            .retain(|daemon, _| members.get(daemon).is_some());
    }

    /// Returns the summaries of all daemons that are alive, except this one.
    pub fn summaries<'a>(
        &'a self,
        members: &'a Members,
        now: Mono,
    ) -> impl Iterator<Item = (&'a DaemonId, &'a Summary)> {
        self.summaries
            .iter()
            .filter(move |(daemon, _)| *daemon != members.own_id() && members.is_alive(daemon, now))
    }

    fn summary_sequences(&self) -> Vec<(DaemonId, u64)> {
        self.summaries
            .iter()
            .map(|(daemon, known)| (daemon.clone(), known.sequence))
            .collect()
    }
}
