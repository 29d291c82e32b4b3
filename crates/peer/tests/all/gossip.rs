use std::time::Duration;

use model::Mono;
use model::id::DocVersion;
use model::id::Incarnation;
use peer::gossip::FANOUT;
use peer::gossip::Gossip;
use peer::gossip::ROUND_INTERVAL;
use peer::members::MEMBER_TIMEOUT;
use peer::members::Members;
use peer::summary::ReleasedUpstream;

use crate::support::members;
use crate::support::name;

const SEED: u64 = 77;

fn released() -> ReleasedUpstream {
    ReleasedUpstream {
        upstream: "planning".into(),
        doc: DocVersion(2),
    }
}

struct Cluster {
    members: Vec<Members>,
    gossips: Vec<Gossip>,
    now: Mono,
}

impl Cluster {
    fn new(count: usize) -> Self {
        println!("seed {SEED}");
        let gossip = |index: usize| Gossip::new(Incarnation(1), SEED + index as u64);
        Self {
            members: (0..count).map(|own| members(own, count)).collect(),
            gossips: (0..count).map(gossip).collect(),
            now: Mono(0),
        }
    }

    /// Runs one round; `passes` returns whether messages from one daemon reach another.
    fn round(&mut self, passes: impl Fn(usize, usize) -> bool) {
        self.now = self.now.after(ROUND_INTERVAL);
        for own in 0..self.members.len() {
            self.members[own].tick(DocVersion(1), false, self.now);
            for target in self.gossips[own].targets(&self.members[own]) {
                let other = (0..self.members.len())
                    .find(|other| name(*other) == target)
                    .unwrap();
                if passes(own, other) && passes(other, own) {
                    self.exchange(own, other);
                }
            }
        }
    }

    fn exchange(&mut self, own: usize, other: usize) {
        let request = self.gossips[own].compose(&self.members[own], &name(other), self.now);
        self.gossips[other].merge(&mut self.members[other], request, self.now);
        let response = self.gossips[other].compose(&self.members[other], &name(own), self.now);
        self.gossips[own].merge(&mut self.members[own], response, self.now);
    }

    fn considers_alive(&self, own: usize, other: usize) -> bool {
        self.members[own].is_alive(&name(other), self.now)
    }
}

#[test]
fn no_running_daemon_is_considered_dead_at_any_cluster_size() {
    for count in [3, 6, 9, 24, 48] {
        let mut cluster = Cluster::new(count);
        for round in 0..100 {
            cluster.round(|_, _| true);
            let converged = round >= 5;
            for own in 0..count {
                for other in 0..count {
                    assert!(
                        !converged || cluster.considers_alive(own, other),
                        "daemon {own} of {count} considers {other} dead"
                    );
                }
            }
        }
    }
}

#[test]
fn a_dead_daemon_is_detected_by_all_within_the_bound() {
    let mut cluster = Cluster::new(9);
    (0..10).for_each(|_| cluster.round(|_, _| true));
    let rounds_to_spread = 5;
    let bound = MEMBER_TIMEOUT.as_secs() + rounds_to_spread;
    (0..bound).for_each(|_| cluster.round(|from, to| from != 8 && to != 8));
    assert!((0..8).all(|own| !cluster.considers_alive(own, 8)));
    assert!((0..8).all(|own| (0..8).all(|other| cluster.considers_alive(own, other))));
}

#[test]
fn partitioned_regions_rediscover_each_other() {
    let mut cluster = Cluster::new(8);
    (0..10).for_each(|_| cluster.round(|_, _| true));
    (0..60).for_each(|_| cluster.round(|from, to| (from < 4) == (to < 4)));
    assert!((0..8).all(|own| {
        (0..8).all(|other| cluster.considers_alive(own, other) == ((own < 4) == (other < 4)))
    }));
    (0..10).for_each(|_| cluster.round(|_, _| true));
    assert!((0..8).all(|own| (0..8).all(|other| cluster.considers_alive(own, other))));
}

#[test]
fn every_peer_is_contacted() {
    let members = members(0, 9);
    let mut gossip = Gossip::new(Incarnation(1), SEED);
    let rounds = 8usize.div_ceil(FANOUT) + 1;
    let mut contacted: Vec<_> = (0..rounds).flat_map(|_| gossip.targets(&members)).collect();
    contacted.sort();
    contacted.dedup();
    assert_eq!(contacted.len(), 8);
}

#[test]
fn summaries_reach_all_and_are_not_sent_twice() {
    let mut cluster = Cluster::new(6);
    let upstream = released();
    (0..4).for_each(|_| cluster.round(|_, _| true));
    cluster.gossips[0].update(&name(0), |own| own.released = vec![upstream]);
    (0..8).for_each(|_| cluster.round(|_, _| true));
    for own in 1..6 {
        let known = cluster.gossips[own].summaries(&cluster.members[own], cluster.now);
        assert_eq!(
            known
                .filter(|(daemon, known)| **daemon == name(0) && known.released.len() == 1)
                .count(),
            1
        );
    }
    cluster.exchange(0, 1);
    let repeated = cluster.gossips[0].compose(&cluster.members[0], &name(1), cluster.now);
    assert!(
        repeated.summaries.is_empty(),
        "the peer has reported that it has them"
    );
}

#[test]
fn a_summary_of_an_earlier_incarnation_does_not_replace_a_later_one() {
    let mut cluster = Cluster::new(3);
    cluster.gossips[0] = Gossip::new(Incarnation(2), SEED);
    cluster.gossips[0].update(&name(0), |_| ());
    (0..4).for_each(|_| cluster.round(|_, _| true));
    let mut earlier = Gossip::new(Incarnation(1), SEED);
    let upstream = released();
    earlier.update(&name(0), |own| own.released = vec![upstream]);
    let delayed = earlier.compose(&cluster.members[0], &name(1), cluster.now);
    assert_eq!(delayed.summaries.len(), 1);
    cluster.gossips[1].merge(&mut cluster.members[1], delayed, cluster.now);
    let mut known = cluster.gossips[1].summaries(&cluster.members[1], cluster.now);
    assert!(known.all(|(_, summary)| summary.released.is_empty()));
}

#[test]
fn summaries_of_dead_daemons_are_not_returned() {
    let mut cluster = Cluster::new(3);
    cluster.gossips[0].update(&name(0), |_| ());
    (0..4).for_each(|_| cluster.round(|_, _| true));
    assert_eq!(
        cluster.gossips[1]
            .summaries(&cluster.members[1], cluster.now)
            .count(),
        1
    );
    let later = cluster.now.after(MEMBER_TIMEOUT + Duration::from_millis(1));
    assert_eq!(
        cluster.gossips[1]
            .summaries(&cluster.members[1], later)
            .count(),
        0
    );
}
