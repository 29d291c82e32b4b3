//! The relays of an owner, and which of them carries the calls to an executor.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::fleet::ExecutorKey;
use model::Map;
use model::Mono;

use super::assignment;
use super::link::LinkState;
use super::link::RelayLink;
use crate::dependencies::Target;
use crate::hosts::HostInfo;

/// How long the calls to an executor that does not answer by way of its relay are sent directly. The
/// path between the two may be cut while both live.
const BYPASS_TIME: Duration = Duration::from_secs(2);
/// How long a relay that failed is not used.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(2);

/// The relays of an owner.
#[derive(Default)]
pub struct RelayPool {
    relays: RefCell<Vec<Relay>>,
    /// The relays of executors. An entry is valid while its relay is ready.
    routes: RefCell<Map<ExecutorKey, Rc<RelayLink>>>,
    /// Until when relays that failed are not used, by address.
    avoided_until: RefCell<Map<Arc<str>, Mono>>,
    /// Until when calls to executors bypass their relays.
    bypassed_until: RefCell<Map<ExecutorKey, Mono>>,
    /// Number of ready relays when the routes were last discarded.
    ready: Cell<usize>,
}

/// A relay and the connection to it.
struct Relay {
    info: HostInfo,
    link: Rc<RelayLink>,
}

impl RelayPool {
    /// Returns the number of relays that take calls.
    #[must_use]
    pub fn ready_relays(&self) -> usize {
        let relays = self.relays.borrow();
        relays.iter().filter(|relay| relay.is_ready()).count()
    }

    /// Returns whether calls go by way of relays.
    #[must_use]
    pub fn are_in_use(&self) -> bool {
        self.ready.get() > 0
    }

    /// Sends the calls to an executor directly for a while, if a relay carried them so far. Returns
    /// whether that is so.
    pub fn bypass(&self, key: ExecutorKey, now: Mono) -> bool {
        let had_relay = self.routes.borrow_mut().remove(&key).is_some();
        if had_relay {
            let until = now.after(BYPASS_TIME);
            self.bypassed_until.borrow_mut().insert(key, until);
        }
        had_relay
    }

    fn is_bypassed(&self, key: ExecutorKey, now: Mono) -> bool {
        let mut bypassed = self.bypassed_until.borrow_mut();
        let Some(until) = bypassed.get(&key) else {
            return false;
        };
        let is_bypassed = now < *until;
        if !is_bypassed {
            bypassed.remove(&key);
        }
        is_bypassed
    }

    /// Returns the hosts that may be used as relays.
    pub fn usable(&self, hosts: Vec<HostInfo>, now: Mono) -> Vec<HostInfo> {
        let mut avoided = self.avoided_until.borrow_mut();
        avoided.retain(|_, until| *until > now);
        let hosts = hosts.into_iter();
        hosts
            .filter(|host| !avoided.contains_key(&host.relay_address))
            .collect()
    }

    /// Uses these relays: closes the connections to others and returns those that have to be opened.
    pub fn use_relays(&self, chosen: Vec<HostInfo>, now: Mono) -> Vec<(HostInfo, Rc<RelayLink>)> {
        let mut relays = self.relays.borrow_mut();
        relays.retain(|relay| {
            let failed = relay.link.state() == LinkState::Failed;
            if failed {
                let until = now.after(FAILURE_COOLDOWN);
                let address = relay.info.relay_address.clone();
                self.avoided_until.borrow_mut().insert(address, until);
            }
            let keep = !failed && chosen.contains(&relay.info);
            if !keep {
                relay.link.close();
            }
            keep
        });
        let mut opened = Vec::new();
        for info in chosen {
            let is_avoided = self
                .avoided_until
                .borrow()
                .contains_key(&info.relay_address);
            let is_open = relays.iter().any(|relay| relay.info == info);
            if is_avoided || is_open {
                continue;
            }
            let link = Rc::new(RelayLink::default());
            opened.push((info.clone(), link.clone()));
            relays.push(Relay { info, link });
        }
        let ready = relays.iter().filter(|relay| relay.is_ready()).count();
        if self.ready.replace(ready) != ready {
            self.routes.borrow_mut().clear();
        }
        opened
    }

    /// Returns the relay that carries the calls to an executor, or `None` if they are sent directly.
    pub fn route(
        &self,
        key: ExecutorKey,
        target: &Target,
        data_centre: &str,
        now: Mono,
    ) -> Option<Rc<RelayLink>> {
        if self.ready.get() == 0 || self.is_bypassed(key, now) {
            return None;
        }
        if let Some(link) = self.routes.borrow().get(&key)
            && link.state() == LinkState::Ready
        {
            return Some(link.clone());
        }
        let relays = self.relays.borrow();
        let near = relays
            .iter()
            .filter(|relay| relay.is_ready() && &*relay.info.data_centre == data_centre);
        let (_, best) = near
            .map(|relay| (relay.affinity(&target.id), relay))
            .max_by(|(left, _), (right, _)| left.total_cmp(right))?;
        let link = best.link.clone();
        self.routes.borrow_mut().insert(key, link.clone());
        Some(link)
    }

    /// Closes all connections.
    pub fn close(&self) {
        for relay in self.relays.take() {
            relay.link.close();
        }
    }
}

impl Relay {
    fn is_ready(&self) -> bool {
        self.link.state() == LinkState::Ready
    }

    fn affinity(&self, executor: &str) -> f64 {
        let weight = assignment::calls_per_second(self.info.capacity);
        assignment::affinity(executor, &self.info.relay_address, weight)
    }
}
