//! Selection of the daemon that a request is forwarded to.

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

/// How long no overflowing requests are forwarded to a peer that had no free slot or was
/// unreachable.
const BUSY_PEER_COOLDOWN: Duration = Duration::from_millis(100);

impl Router {
    /// Returns a daemon of a half, preferably in this region.
    pub(super) fn peer_in_half(&mut self, half: &str, deadline: Mono) -> Option<Peer> {
        let is_candidate = |router: &Self, at: usize| {
            let member = &router.members[at];
            member.half.as_str() == half && member.id != router.cfg.daemon
        };
        let candidates: Vec<usize> = (0..self.members.len())
            .filter(|at| is_candidate(self, *at))
            .collect();
        self.random_peer(&candidates, deadline)
    }

    /// Returns a daemon that owns slots of an upstream of which this daemon owns none.
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

    /// Returns a peer that may have a free slot for a request that finds none here, in this region
    /// or in another one if `cross_region` is set. A request is forwarded only once for this
    /// reason, and peers that recently had no free slot are skipped.
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
        let is_candidate = |member: &Member| {
            member.half == self.cfg.half
                && member.id != self.cfg.daemon
                && (member.place.region != place.region) == cross_region
                && self
                    .busy_peers
                    .get(&member.id)
                    .is_none_or(|until| *until <= now)
        };
        let candidates: Vec<usize> = (0..self.members.len())
            .filter(|at| is_candidate(&self.members[*at]))
            .collect();
        self.random_peer(&candidates, deadline)
    }

    /// Records that a peer had no free slot for a forwarded request, or was unreachable.
    pub fn mark_peer_busy(&mut self, peer: &DaemonId, now: Mono) {
        self.busy_peers
            .insert(peer.clone(), now.after(BUSY_PEER_COOLDOWN));
    }

    fn random_peer(&mut self, candidates: &[usize], deadline: Mono) -> Option<Peer> {
        let region = &self.cfg.place.region;
        let local: Vec<usize> = candidates
            .iter()
            .copied()
            .filter(|at| self.members[*at].place.region == *region)
            .collect();
        let preferred = if local.is_empty() { candidates } else { &local };
        if preferred.is_empty() {
            return None;
        }
        let member = &self.members[preferred[self.rng.random_range(..preferred.len())]];
        Some(Peer {
            id: member.id.clone(),
            address: member.caller_address,
            cross_region: member.place.region != *region,
            deadline,
        })
    }

    /// Returns another daemon to forward a request to after `tried` was unreachable.
    pub fn alternative_peer(&mut self, tried: &Peer) -> Option<Peer> {
        let half = self
            .members
            .iter()
            .find(|member| member.id == tried.id)
            .map(|member| member.half.as_str().to_owned())?;
        let candidates: Vec<usize> = (0..self.members.len())
            .filter(|at| {
                let member = &self.members[*at];
                member.half.as_str() == half
                    && member.id != self.cfg.daemon
                    && member.id != tried.id
            })
            .collect();
        self.random_peer(&candidates, tried.deadline)
    }
}
