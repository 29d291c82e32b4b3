//! The choice of another daemon to hand a request to.

use std::time::Duration;

use model::Mono;
use model::id::DaemonId;
use rand::RngExt;

use super::MAX_HOPS;
use super::Router;
use crate::key::UpstreamKey;
use crate::report::Phase;
use crate::verdict::Arrival;
use crate::verdict::Peer;
use crate::view::Member;

/// How long no request is passed to a peer that had no free slot, unless it owns the upstream.
const BUSY_PEER: Duration = Duration::from_millis(100);

impl Router {
    /// Returns a daemon of a half, one of this region if there is any.
    pub(super) fn peer_of(&mut self, half: &str, deadline: Mono) -> Option<Peer> {
        let fits = |router: &Self, at: usize| {
            let member = &router.members[at];
            member.half.as_str() == half && member.id != router.cfg.daemon
        };
        let all: Vec<usize> = (0..self.members.len())
            .filter(|at| fits(self, *at))
            .collect();
        self.one_of(&all, deadline)
    }

    /// Returns a daemon that holds slots of an upstream of which this one holds none.
    pub(super) fn holder_of(
        &mut self,
        key: UpstreamKey,
        req: &Arrival,
        deadline: Mono,
    ) -> Option<Peer> {
        let upstream = &self.upstreams[key];
        if req.hops >= MAX_HOPS || upstream.holders.is_empty() || upstream.home_slots() > 0 {
            return None;
        }
        let holders = upstream.holders.clone();
        self.one_of(&holders, deadline)
    }

    /// Returns a peer of this region, or of another one if `far`, that may have a slot for a request
    /// that finds none here. A request is passed on
    /// for this reason only once, and for a while not to peers that had none either.
    pub(super) fn overflow_peer(
        &mut self,
        key: UpstreamKey,
        req: &Arrival,
        far: bool,
        deadline: Mono,
        now: Mono,
    ) -> Option<Peer> {
        if req.hops > 0 || self.upstreams[key].phase != Phase::Owned {
            return None;
        }
        let place = &self.cfg.place;
        let fits = |member: &Member| {
            member.half == self.cfg.half
                && member.id != self.cfg.daemon
                && (member.place.region != place.region) == far
                && self
                    .busy_peers
                    .get(&member.id)
                    .is_none_or(|until| *until <= now)
        };
        let all: Vec<usize> = (0..self.members.len())
            .filter(|at| fits(&self.members[*at]))
            .collect();
        self.one_of(&all, deadline)
    }

    /// Notes that a peer had no free slot for a request passed to it.
    pub fn peer_busy(&mut self, peer: &DaemonId, now: Mono) {
        self.busy_peers.insert(peer.clone(), now.after(BUSY_PEER));
    }

    fn one_of(&mut self, all: &[usize], deadline: Mono) -> Option<Peer> {
        let region = &self.cfg.place.region;
        let near: Vec<usize> = all
            .iter()
            .copied()
            .filter(|at| self.members[*at].place.region == *region)
            .collect();
        let from = if near.is_empty() { all } else { &near };
        if from.is_empty() {
            return None;
        }
        let member = &self.members[from[self.rng.random_range(..from.len())]];
        Some(Peer {
            id: member.id.clone(),
            address: member.callers,
            far: member.place.region != *region,
            deadline,
        })
    }

    /// Returns another daemon to pass a request to after `tried` could not be reached.
    pub fn other_peer(&mut self, tried: &Peer) -> Option<Peer> {
        let half = self
            .members
            .iter()
            .find(|member| member.id == tried.id)
            .map(|member| member.half.as_str().to_owned())?;
        let all: Vec<usize> = (0..self.members.len())
            .filter(|at| {
                let member = &self.members[*at];
                member.half.as_str() == half
                    && member.id != self.cfg.daemon
                    && member.id != tried.id
            })
            .collect();
        self.one_of(&all, tried.deadline)
    }
}
