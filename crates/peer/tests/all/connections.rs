use std::net::SocketAddr;
use std::time::Duration;

use conf::accept::message::Ack;
use conf::accept::message::Digest;
use conf::accept::message::DocumentDelta;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::server::ServerBuilder;
use model::id::DocVersion;
use model::id::Incarnation;
use model::id::RowVersion;
use peer::connections::PeerCallError;
use peer::connections::PeerConnections;
use peer::gossip::Exchange;
use peer::rpc::DocumentRequest;
use peer::rpc::GossipRequest;
use peer::rpc::GossipResponse;
use peer::rpc::PeerServer;
use peer::rpc::ShardRequest;
use peer::rpc::ShardResponse;
use route::slots::SlotLoan;
use route::slots::SlotRequest;
use tokio::net::TcpListener;

use crate::support::heartbeat;
use crate::support::name;

struct Echo;

#[async_trait]
impl PeerServer for Echo {
    async fn gossip(&self, request: GossipRequest) -> RpcResult<GossipResponse> {
        Ok(GossipResponse {
            exchange: request.exchange,
            delta: delta(),
        })
    }

    async fn document(&self, _: DocumentRequest) -> RpcResult<Ack> {
        Ok(Ack {
            digest: digest(),
            contacts: Vec::new(),
        })
    }

    async fn shard(&self, _: ShardRequest) -> RpcResult<ShardResponse> {
        Ok(ShardResponse::NotOwner)
    }

    async fn lend(&self, request: SlotRequest) -> RpcResult<SlotLoan> {
        Ok(SlotLoan {
            lender: name(1),
            upstream: request.upstream,
            lease_ms: 5,
            slots: request.busy,
        })
    }
}

fn digest() -> Digest {
    Digest {
        daemon: name(0),
        incarnation: Incarnation(1),
        ballot: RowVersion(4),
        version: DocVersion(2),
    }
}

fn delta() -> DocumentDelta {
    DocumentDelta {
        ballot: RowVersion(5),
        pending: false,
        staged: None,
        version: DocVersion(3),
        current: None,
        age: Duration::from_millis(7),
        serving: true,
    }
}

fn request() -> GossipRequest {
    let heartbeats = vec![heartbeat(0, 1, 1), heartbeat(1, 2, 3)];
    let summary_sequences = vec![(name(1), 4)];
    let exchange = Exchange {
        from: name(0),
        heartbeats,
        summary_sequences,
        summaries: Vec::new(),
    };
    GossipRequest {
        exchange,
        digest: digest(),
    }
}

#[tokio::test]
async fn messages_arrive_as_they_were_sent() {
    let server = ServerBuilder::default().build("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap();
    let handle = server.start(Echo.into_rpc());
    let connections = PeerConnections::default();
    let response = connections.gossip(address, request()).await.unwrap();
    assert_eq!(
        response,
        GossipResponse {
            exchange: request().exchange,
            delta: delta()
        }
    );
    let request = DocumentRequest::Committed {
        ballot: RowVersion(4),
    };
    assert_eq!(
        connections.document(address, request).await.unwrap().digest,
        digest()
    );
    handle.stop().unwrap();
}

#[tokio::test]
async fn a_silent_peer_times_out_and_is_reconnected() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let silent = tokio::spawn(async move {
        let first = listener.accept().await.unwrap();
        let second = listener.accept().await.unwrap();
        drop((first, second));
    });
    let connections = PeerConnections::default();
    for _ in 0..2 {
        let error = connections.gossip(address, request()).await.unwrap_err();
        assert!(matches!(error, PeerCallError::NoAnswer(_)), "{error}");
    }
    silent
        .await
        .expect("the second call used a second connection");
}

#[tokio::test]
async fn an_unreachable_peer_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    drop(listener);
    assert!(
        PeerConnections::default()
            .gossip(address, request())
            .await
            .is_err()
    );
}
