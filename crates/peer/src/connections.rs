//! The connections to other daemons.
//!
//! A call that fails or times out discards the connections to its peer, so that a permanently
//! silent connection is never used twice. The next call opens a new one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use conf::accept::message::Ack;
use derive_more::Display;
use derive_more::Error;
use jsonrpsee::core::client::Error as RpcError;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;
use model::Map;
use route::slots::SlotLoan;
use route::slots::SlotRequest;

use crate::rpc::DocumentRequest;
use crate::rpc::GossipRequest;
use crate::rpc::GossipResponse;
use crate::rpc::MAX_MESSAGE_BYTES;
use crate::rpc::PeerClient;
use crate::rpc::ShardRequest;
use crate::rpc::ShardResponse;

/// The timeout of gossip, document and loan calls.
pub const GOSSIP_TIMEOUT: Duration = Duration::from_millis(800);
/// The timeout of shard requests, which the peer may handle by writing to the table.
pub const SHARD_TIMEOUT: Duration = Duration::from_secs(5);

/// The error of a call to a peer.
#[derive(Clone, Debug, Display, Error)]
pub enum PeerCallError {
    /// The request was not sent; the string gives the reason.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// There was no response, but the peer may have executed the request; the string gives the
    /// cause.
    #[display("no answer: {_0}")]
    NoAnswer(#[error(not(source))] String),
}

/// The connections to all peers, with one pool per address; clones share them.
#[derive(Clone, Default)]
pub struct PeerConnections {
    clients: Arc<Mutex<Map<SocketAddr, HttpClient>>>,
}

impl PeerConnections {
    /// Exchanges heartbeats and summaries with a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or takes longer than [`GOSSIP_TIMEOUT`].
    pub async fn gossip(
        &self,
        to: SocketAddr,
        request: GossipRequest,
    ) -> Result<GossipResponse, PeerCallError> {
        let client = self.client(to)?;
        self.call_with_timeout(to, GOSSIP_TIMEOUT, client.gossip(request))
            .await
    }

    /// Sends a step in the acceptance of a document to a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or takes longer than [`GOSSIP_TIMEOUT`].
    pub async fn document(
        &self,
        to: SocketAddr,
        request: DocumentRequest,
    ) -> Result<Ack, PeerCallError> {
        let client = self.client(to)?;
        self.call_with_timeout(to, GOSSIP_TIMEOUT, client.document(request))
            .await
    }

    /// Sends a request for a shard to the shard's owner.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or takes longer than [`SHARD_TIMEOUT`]. Unless the error
    /// is [`PeerCallError::NotSent`], the peer may have executed the request.
    pub async fn shard(
        &self,
        to: SocketAddr,
        request: ShardRequest,
    ) -> Result<ShardResponse, PeerCallError> {
        let client = self.client(to)?;
        self.call_with_timeout(to, SHARD_TIMEOUT, client.shard(request))
            .await
    }

    /// Requests a loan of slots from a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or takes longer than [`GOSSIP_TIMEOUT`].
    pub async fn lend(
        &self,
        to: SocketAddr,
        request: SlotRequest,
    ) -> Result<SlotLoan, PeerCallError> {
        let client = self.client(to)?;
        self.call_with_timeout(to, GOSSIP_TIMEOUT, client.lend(request))
            .await
    }

    async fn call_with_timeout<T>(
        &self,
        to: SocketAddr,
        timeout: Duration,
        call: impl Future<Output = Result<T, RpcError>>,
    ) -> Result<T, PeerCallError> {
        let error = match tokio::time::timeout(timeout, call).await {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("nothing within {} ms", timeout.as_millis()),
        };
        self.lock().remove(&to);
        Err(PeerCallError::NoAnswer(error))
    }

    fn client(&self, to: SocketAddr) -> Result<HttpClient, PeerCallError> {
        let mut clients = self.lock();
        if let Some(client) = clients.get(&to) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default()
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .request_timeout(SHARD_TIMEOUT)
            .build(format!("http://{to}"))
            .map_err(|error| PeerCallError::NotSent(error.to_string()))?;
        clients.insert(to, client.clone());
        Ok(client)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<SocketAddr, HttpClient>> {
        self.clients
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
