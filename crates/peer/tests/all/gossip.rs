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

struct Group {
    views: Vec<Members>,
    states: Vec<Gossip>,
    now: Mono,
}

impl Group {
    fn new(count: usize) -> Self {
        println!("seed {SEED}");
        let state = |index: usize| Gossip::new(Incarnation(1), SEED + index as u64);
        Self {
            views: (0..count).map(|own| members(own, count)).collect(),
            states: (0..count).map(state).collect(),
            now: Mono(0),
        }
    }

    /// Carries out one round; `passes` tells which messages arrive.
    fn round(&mut self, passes: impl Fn(usize, usize) -> bool) {
        self.now = self.now.after(ROUND_INTERVAL);
        for own in 0..self.views.len() {
            self.views[own].tick(DocVersion(1), false, self.now);
            for target in self.states[own].targets(&self.views[own]) {
                let other = (0..self.views.len())
                    .find(|other| name(*other) == target)
                    .unwrap();
                if passes(own, other) && passes(other, own) {
                    self.exchange(own, other);
                }
            }
        }
    }

    fn exchange(&mut self, own: usize, other: usize) {
        let question = self.states[own].compose(&self.views[own], &name(other), self.now);
        self.states[other].merge(&mut self.views[other], question, self.now);
        let answer = self.states[other].compose(&self.views[other], &name(own), self.now);
        self.states[own].merge(&mut self.views[own], answer, self.now);
    }

    fn sees(&self, own: usize, other: usize) -> bool {
        self.views[own].is_alive(&name(other), self.now)
    }
}

#[test]
fn no_running_daemon_is_considered_dead_at_any_cluster_size() {
    for count in [3, 6, 9, 24, 48] {
        let mut group = Group::new(count);
        for round in 0..100 {
            group.round(|_, _| true);
            let settled = round >= 5;
            for own in 0..count {
                for other in 0..count {
                    assert!(
                        !settled || group.sees(own, other),
                        "{own} of {count} lost {other}"
                    );
                }
            }
        }
    }
}

#[test]
fn a_dead_daemon_is_detected_by_all_within_the_bound() {
    let mut group = Group::new(9);
    (0..10).for_each(|_| group.round(|_, _| true));
    let rounds_to_spread = 5;
    let bound = MEMBER_TIMEOUT.as_secs() + rounds_to_spread;
    (0..bound).for_each(|_| group.round(|from, to| from != 8 && to != 8));
    assert!((0..8).all(|own| !group.sees(own, 8)));
    assert!((0..8).all(|own| (0..8).all(|other| group.sees(own, other))));
}

#[test]
fn partitioned_regions_rediscover_each_other() {
    let mut group = Group::new(8);
    (0..10).for_each(|_| group.round(|_, _| true));
    (0..60).for_each(|_| group.round(|from, to| (from < 4) == (to < 4)));
    assert!(
        (0..8).all(|own| (0..8).all(|other| group.sees(own, other) == ((own < 4) == (other < 4))))
    );
    (0..10).for_each(|_| group.round(|_, _| true));
    assert!((0..8).all(|own| (0..8).all(|other| group.sees(own, other))));
}

#[test]
fn every_peer_is_contacted() {
    let view = members(0, 9);
    let mut state = Gossip::new(Incarnation(1), SEED);
    let rounds = 8usize.div_ceil(FANOUT) + 1;
    let mut turned_to: Vec<_> = (0..rounds).flat_map(|_| state.targets(&view)).collect();
    turned_to.sort();
    turned_to.dedup();
    assert_eq!(turned_to.len(), 8);
}

#[test]
fn summaries_reach_all_and_are_not_sent_twice() {
    let mut group = Group::new(6);
    let told = released();
    (0..4).for_each(|_| group.round(|_, _| true));
    group.states[0].update(&name(0), |own| own.released = vec![told]);
    (0..8).for_each(|_| group.round(|_, _| true));
    for own in 1..6 {
        let known = group.states[own].summaries(&group.views[own], group.now);
        assert_eq!(
            known
                .filter(|(daemon, known)| **daemon == name(0) && known.released.len() == 1)
                .count(),
            1
        );
    }
    group.exchange(0, 1);
    let again = group.states[0].compose(&group.views[0], &name(1), group.now);
    assert!(
        again.summaries.is_empty(),
        "the peer has said that it has them"
    );
}

#[test]
fn a_summary_of_an_earlier_incarnation_does_not_replace_a_later_one() {
    let mut group = Group::new(3);
    group.states[0] = Gossip::new(Incarnation(2), SEED);
    group.states[0].update(&name(0), |_| ());
    (0..4).for_each(|_| group.round(|_, _| true));
    let mut earlier = Gossip::new(Incarnation(1), SEED);
    let told = released();
    earlier.update(&name(0), |own| own.released = vec![told]);
    let late = earlier.compose(&group.views[0], &name(1), group.now);
    assert_eq!(late.summaries.len(), 1);
    group.states[1].merge(&mut group.views[1], late, group.now);
    let mut known = group.states[1].summaries(&group.views[1], group.now);
    assert!(known.all(|(_, summary)| summary.released.is_empty()));
}

#[test]
fn summaries_of_dead_daemons_are_not_returned() {
    let mut group = Group::new(3);
    group.states[0].update(&name(0), |_| ());
    (0..4).for_each(|_| group.round(|_, _| true));
    assert_eq!(
        group.states[1]
            .summaries(&group.views[1], group.now)
            .count(),
        1
    );
    let later = group.now.after(MEMBER_TIMEOUT + Duration::from_millis(1));
    assert_eq!(group.states[1].summaries(&group.views[1], later).count(), 0);
}
