use std::net::SocketAddr;

use model::Mono;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::Incarnation;
use model::place::Place;
use peer::heartbeat::Heartbeat;
use peer::members::Members;
use peer::members::Profile;

pub fn profile(incarnation: u64) -> Profile {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Profile {
        incarnation: Incarnation(incarnation),
        half: "left".into(),
        place: Place::new("vlaanderen", "limburg"),
        caller_address: address,
        peer_address: address,
    }
}

pub fn name(index: usize) -> DaemonId {
    DaemonId::new(format!("daemon-{index}"))
}

pub fn heartbeat(daemon: usize, incarnation: u64, count: u64) -> Heartbeat {
    Heartbeat {
        daemon: name(daemon),
        incarnation: Incarnation(incarnation),
        count,
        doc: DocVersion(1),
        draining: false,
    }
}

/// Returns the members as known to daemon `own`, with the profiles of all `count` daemons.
pub fn members(own: usize, count: usize) -> Members {
    let mut members = Members::new(name(own), Incarnation(1), profile(1), Mono::ZERO);
    for other in (0..count).filter(|other| *other != own) {
        members.set_profile(&name(other), profile(1), Mono::ZERO);
    }
    members
}
