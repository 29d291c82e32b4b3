use std::net::SocketAddr;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::server::ServerBuilder;
use model::id::DocVersion;
use peer::gossip::Exchange;
use peer::links::LinkError;
use peer::links::Links;
use peer::rpc::DocNotice;
use peer::rpc::PeerServer;
use peer::rpc::ShardAnswer;
use peer::rpc::ShardCall;
use tokio::net::TcpListener;

use crate::support::beat;
use crate::support::name;

struct Echo;

#[async_trait]
impl PeerServer for Echo {
    async fn gossip(&self, exchange: Exchange) -> RpcResult<Exchange> {
        Ok(exchange)
    }

    async fn document(&self, notice: DocNotice) -> RpcResult<DocVersion> {
        Ok(notice.committed)
    }

    async fn shard(&self, _: ShardCall) -> RpcResult<ShardAnswer> {
        Ok(ShardAnswer::NotOwner)
    }
}

fn exchange() -> Exchange {
    let beats = vec![beat(0, 1, 1), beat(1, 2, 3)];
    Exchange {
        from: name(0),
        beats,
        have: vec![(name(1), 4)],
        summaries: Vec::new(),
    }
}

#[tokio::test]
async fn messages_arrive_as_they_were_sent() {
    let server = ServerBuilder::default().build("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap();
    let handle = server.start(Echo.into_rpc());
    let links = Links::default();
    assert_eq!(links.gossip(address, exchange()).await.unwrap(), exchange());
    let notice = DocNotice {
        staged: None,
        committed: DocVersion(3),
    };
    assert_eq!(
        links.document(address, notice).await.unwrap(),
        DocVersion(3)
    );
    handle.stop().unwrap();
}

#[tokio::test]
async fn a_silent_peer_is_given_up_and_reached_anew() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let silent = tokio::spawn(async move {
        let first = listener.accept().await.unwrap();
        let second = listener.accept().await.unwrap();
        drop((first, second));
    });
    let links = Links::default();
    for _ in 0..2 {
        let error = links.gossip(address, exchange()).await.unwrap_err();
        assert!(matches!(error, LinkError::NoAnswer(_)), "{error}");
    }
    silent
        .await
        .expect("the second call came over a second connection");
}

#[tokio::test]
async fn an_absent_peer_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    drop(listener);
    assert!(Links::default().gossip(address, exchange()).await.is_err());
}
