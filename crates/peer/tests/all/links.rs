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
use peer::gossip::Exchange;
use peer::links::LinkError;
use peer::links::Links;
use peer::rpc::Answer;
use peer::rpc::DocCall;
use peer::rpc::PeerServer;
use peer::rpc::Question;
use peer::rpc::ShardAnswer;
use peer::rpc::ShardCall;
use route::slots::SlotLoan;
use route::slots::SlotRequest;
use tokio::net::TcpListener;

use crate::support::beat;
use crate::support::name;

struct Echo;

#[async_trait]
impl PeerServer for Echo {
    async fn gossip(&self, question: Question) -> RpcResult<Answer> {
        Ok(Answer {
            exchange: question.exchange,
            news: news(),
        })
    }

    async fn document(&self, _: DocCall) -> RpcResult<Ack> {
        Ok(Ack {
            digest: digest(),
            contacts: Vec::new(),
        })
    }

    async fn shard(&self, _: ShardCall) -> RpcResult<ShardAnswer> {
        Ok(ShardAnswer::NotOwner)
    }

    async fn lend(&self, ask: SlotRequest) -> RpcResult<SlotLoan> {
        Ok(SlotLoan {
            lender: name(1),
            upstream: ask.upstream,
            lease_ms: 5,
            slots: ask.busy,
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

fn news() -> DocumentDelta {
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

fn question() -> Question {
    let beats = vec![beat(0, 1, 1), beat(1, 2, 3)];
    let have = vec![(name(1), 4)];
    let exchange = Exchange {
        from: name(0),
        beats,
        have,
        summaries: Vec::new(),
    };
    Question {
        exchange,
        digest: digest(),
    }
}

#[tokio::test]
async fn messages_arrive_as_they_were_sent() {
    let server = ServerBuilder::default().build("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap();
    let handle = server.start(Echo.into_rpc());
    let links = Links::default();
    let answer = links.gossip(address, question()).await.unwrap();
    assert_eq!(
        answer,
        Answer {
            exchange: question().exchange,
            news: news()
        }
    );
    let call = DocCall::Committed {
        ballot: RowVersion(4),
    };
    assert_eq!(
        links.document(address, call).await.unwrap().digest,
        digest()
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
        let error = links.gossip(address, question()).await.unwrap_err();
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
    assert!(Links::default().gossip(address, question()).await.is_err());
}
