//! Whom to tell, and how to merge what is told.
//!
//! Each round a daemon exchanges heartbeats with [`FANOUT`] peers, picked so that every peer's turn
//! comes. News reach all in a number of rounds that grows with the logarithm of the daemons, while
//! each daemon's own cost stays the same but for the size of one exchange.

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

/// How long a round lasts.
pub const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// How many peers a daemon contacts in one round.
pub const FANOUT: usize = 2;
/// The low bits of a summary's sequence, which count within one life of its daemon.
const SEQUENCE_BITS: u32 = 32;

/// One half of an exchange; the answer has the same shape.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender.
    pub from: DaemonId,
    /// The heartbeats it knows of.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<Heartbeat>,
    /// The sequence of the newest summary it has of each daemon, so that only newer ones are sent.
    #[serde(rename = "have")]
    pub summary_sequences: Vec<(DaemonId, u64)>,
    /// Summaries that the receiver is believed not to have.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub summaries: Vec<(DaemonId, Summary)>,
}

/// The gossip state of one daemon, beside its [`Members`].
#[derive(Clone, Debug)]
pub struct Gossip {
    pending_targets: Vec<DaemonId>,
    summaries: BTreeMap<DaemonId, Summary>,
    peer_sequences: BTreeMap<DaemonId, BTreeMap<DaemonId, u64>>,
    first_sequence: u64,
    rng: SmallRng,
}

impl Gossip {
    /// Makes the state of one life of a daemon, with the seed of its choice of peers.
    ///
    /// The incarnation starts the sequence of summaries above those of earlier lives.
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

    /// Returns the peers to turn to in this round.
    ///
    /// Daemons that seem dead keep their turn, so that a cut that heals is noticed from both sides.
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

    /// Changes this daemon's own summary; if that makes a difference it is told anew.
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

    /// Returns what to send to a peer, as question or as answer.
    #[must_use]
    pub fn compose(&self, members: &Members, to: &DaemonId, now: Mono) -> Exchange {
        let peer_sequences = self.peer_sequences.get(to);
        let has = |daemon: &DaemonId| {
            peer_sequences
                .and_then(|peer_sequences| peer_sequences.get(daemon))
                .copied()
                .unwrap_or(0)
        };
        let news = |(daemon, summary): (&DaemonId, &Summary)| {
            let fresh = daemon != to && summary.sequence > has(daemon);
            (fresh && members.is_alive(daemon, now)).then(|| (daemon.clone(), summary.clone()))
        };
        Exchange {
            from: members.own_id().clone(),
            heartbeats: members.heartbeats(now),
            summary_sequences: self.summary_sequences(),
            summaries: self.summaries.iter().filter_map(news).collect(),
        }
    }

    /// Takes in what a peer sent, as question or as answer.
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

    /// Returns the summaries of the living daemons other than this one.
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
