//! Relay connections over TCP.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use link::limits::LimitReason;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::server;
use crate::dependencies::ByteStream;
use crate::dependencies::RelayConnector;
use crate::node::Node;

/// Maximum number of connections. There is one owner, and its predecessors close theirs.
const MAX_CONNECTIONS: usize = 8;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Returns a connector that reaches relays over TCP.
#[must_use]
pub fn connector() -> RelayConnector {
    RelayConnector {
        connect: Box::new(|address| connect(address).boxed_local()),
    }
}

async fn connect(address: Arc<str>) -> io::Result<Box<dyn ByteStream>> {
    let stream = TcpStream::connect(&*address).await?;
    Ok(prepare(stream))
}

/// Turns off the delay of small frames. The connection also works without the option.
fn prepare(stream: TcpStream) -> Box<dyn ByteStream> {
    let _ = stream.set_nodelay(true);
    Box::new(stream)
}

/// Accepts connections of owners until `stop` is cancelled. A connection beyond the limit is closed at
/// once; sessions whose owners have gone end by themselves within a second.
pub async fn serve(listener: TcpListener, node: Rc<Node>, stop: CancellationToken) {
    let mut sessions = JoinSet::new();
    let port = node.gate.port("relays", usize::MAX);
    loop {
        while sessions.try_join_next().is_some() {}
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) if sessions.len() < MAX_CONNECTIONS => {
                sessions.spawn_local(server::serve(node.clone(), prepare(stream)));
            }
            Ok(_) => port.count(LimitReason::Connections),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}
