//! The choice of another daemon to hand a request to.

use std::time::Duration;

use model::Mono;
use model::id::DaemonId;
use rand::RngExt;

use super::MAX_HOPS;
use super::Router;
use crate::decision::Peer;
use crate::decision::RouteRequest;
use crate::key::UpstreamKey;
use crate::report::HandoverPhase;
use crate::update::Member;

/// How long no request is passed to a peer that had no free slot, unless it owns the upstream.
const BUSY_PEER_COOLDOWN: Duration = Duration::from_millis(100);

impl Router {
    /// Returns a daemon of a half, one of this region if there is any.
    pub(super) fn peer_in_half(&mut self, half: &str, deadline: Mono) -> Option<Peer> {
        let fits = |router: &Self, at: usize| {
            let member = &router.members[at];
            member.half.as_str() == half && member.id != router.cfg.daemon
        };
        let all: Vec<usize> = (0..self.members.len())
            .filter(|at| fits(self, *at))
            .collect();
        self.random_peer(&all, deadline)
    }

    /// Returns a daemon that holds slots of an upstream of which this one holds none.
    pub(super) fn slot_holder(
        &mut self,
        key: UpstreamKey,
        req: &RouteRequest,
        deadline: Mono,
    ) -> Option<Peer> {
        let upstream = &self.upstreams[key];
        if req.hops >= MAX_HOPS || upstream.slot_holders.is_empty() || upstream.primary_slots() > 0
        {
            return None;
        }
        let slot_holders = upstream.slot_holders.clone();
        self.random_peer(&slot_holders, deadline)
    }

    /// Returns a peer of this region, or of another one if `cross_region`, that may have a slot for a request
    /// that finds none here. A request is passed on
    /// for this reason only once, and for a while not to peers that had none either.
    pub(super) fn overflow_peer(
        &mut self,
        key: UpstreamKey,
        req: &RouteRequest,
        cross_region: bool,
        deadline: Mono,
        now: Mono,
    ) -> Option<Peer> {
        if req.hops > 0 || self.upstreams[key].phase != HandoverPhase::Owned {
            return None;
        }
        let place = &self.cfg.place;
        let fits = |member: &Member| {
            member.half == self.cfg.half
                && member.id != self.cfg.daemon
                && (member.place.region != place.region) == cross_region
                && self
                    .busy_peers
                    .get(&member.id)
                    .is_none_or(|until| *until <= now)
        };
        let all: Vec<usize> = (0..self.members.len())
            .filter(|at| fits(&self.members[*at]))
            .collect();
        self.random_peer(&all, deadline)
    }

    /// Notes that a peer had no free slot for a request passed to it.
    pub fn mark_peer_busy(&mut self, peer: &DaemonId, now: Mono) {
        self.busy_peers
            .insert(peer.clone(), now.after(BUSY_PEER_COOLDOWN));
    }

    fn random_peer(&mut self, all: &[usize], deadline: Mono) -> Option<Peer> {
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
            address: member.caller_address,
            cross_region: member.place.region != *region,
            deadline,
        })
    }

    /// Returns another daemon to pass a request to after `tried` could not be reached.
    pub fn alternative_peer(&mut self, tried: &Peer) -> Option<Peer> {
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
        self.random_peer(&all, tried.deadline)
    }
}
