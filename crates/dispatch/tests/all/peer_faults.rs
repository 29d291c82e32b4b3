//! Faults of a host as other hosts see them that send requests to it.

use std::rc::Rc;
use std::time::Duration;

use dispatch::dependencies::PeerCall;
use dispatch::peers;
use dispatch::peers::PeerRequest;
use dispatch::peers::PeerResponse;

use crate::world::Host;

/// Time between two parts of the document.
const PART_INTERVAL: Duration = Duration::from_millis(10);

/// What happens to requests for the operators' document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DocumentFault {
    /// They are answered at once.
    #[default]
    None,
    /// The first one takes the machine's power.
    LosesPower,
    /// They are not answered, while other requests are.
    Unanswered,
    /// Their connections break after this time, while other requests are answered.
    Breaks(Duration),
    /// The answer begins at once and arrives in small parts for this long.
    Slow(Duration),
}

/// The faults of a host as other hosts see them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerFaults {
    /// What happens to requests for the document.
    pub document: DocumentFault,
    /// Whether pings are lost.
    pub loses_pings: bool,
}

/// Returns what a caller receives from a host that its request has reached.
pub async fn answer(host: Rc<Host>, call: &PeerCall) -> Option<PeerResponse> {
    let faults = host.peer_faults.get();
    if call.request != PeerRequest::Document {
        let is_ping = matches!(call.request, PeerRequest::Ping | PeerRequest::Report(_));
        if is_ping && faults.loses_pings {
            return unanswered(call.limits.response).await;
        }
        return Some(peers::respond(&host.node, &call.request));
    }
    host.document_requests.set(host.document_requests.get() + 1);
    match faults.document {
        DocumentFault::None => Some(peers::respond(&host.node, &call.request)),
        DocumentFault::LosesPower => {
            host.frozen.set(true);
            unanswered(call.limits.response).await
        }
        DocumentFault::Unanswered => unanswered(call.limits.response).await,
        DocumentFault::Breaks(duration) => unanswered(duration).await,
        DocumentFault::Slow(duration) => send_slowly(&host, call, duration).await,
    }
}

async fn unanswered(limit: Duration) -> Option<PeerResponse> {
    tokio::time::sleep(limit).await;
    None
}

/// Sends an answer for this long. It breaks off if the host stops.
async fn send_slowly(host: &Host, call: &PeerCall, duration: Duration) -> Option<PeerResponse> {
    let answer = peers::respond(&host.node, &call.request);
    let started = tokio::time::Instant::now();
    while started.elapsed() < duration {
        tokio::time::sleep(PART_INTERVAL).await;
        if host.frozen.get() {
            return unanswered(call.limits.idle).await;
        }
        if started.elapsed() > call.limits.total {
            return None;
        }
    }
    Some(answer)
}
