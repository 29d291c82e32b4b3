//! The connections to other daemons.
//!
//! A call that brings no answer in time throws its connection away, so that a connection that went
//! silent for good is never used twice; the next call opens a new one.

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
use route::slots::Ask;
use route::slots::Loan;

use crate::rpc::DocumentRequest;
use crate::rpc::GossipRequest;
use crate::rpc::GossipResponse;
use crate::rpc::MAX_MESSAGE_BYTES;
use crate::rpc::PeerClient;
use crate::rpc::ShardRequest;
use crate::rpc::ShardResponse;

/// How long a peer may take to answer an exchange or a notice.
pub const GOSSIP_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a peer may take to answer a call that writes to the table.
pub const SHARD_TIMEOUT: Duration = Duration::from_secs(5);

/// A call to a peer that brought no answer.
#[derive(Clone, Debug, Display, Error)]
pub enum PeerCallError {
    /// The call never left this daemon.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The peer may have acted on it.
    #[display("no answer: {_0}")]
    NoAnswer(#[error(not(source))] String),
}

/// The connections, one pool a peer's address; clones share them.
#[derive(Clone, Default)]
pub struct PeerConnections {
    clients: Arc<Mutex<Map<SocketAddr, HttpClient>>>,
}

impl PeerConnections {
    /// Exchanges heartbeats and summaries with a peer.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came within [`GOSSIP_TIMEOUT`].
    pub async fn gossip(
        &self,
        to: SocketAddr,
        request: GossipRequest,
    ) -> Result<GossipResponse, PeerCallError> {
        let client = self.client(to)?;
        self.call_with_timeout(to, GOSSIP_TIMEOUT, client.gossip(request))
            .await
    }

    /// Tells a peer of a document that is being accepted.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came within [`GOSSIP_TIMEOUT`].
    pub async fn document(
        &self,
        to: SocketAddr,
        request: DocumentRequest,
    ) -> Result<Ack, PeerCallError> {
        let client = self.client(to)?;
        self.call_with_timeout(to, GOSSIP_TIMEOUT, client.document(request))
            .await
    }

    /// Hands something for a shard to its owner.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came within [`SHARD_TIMEOUT`]; unless it was not sent, the
    /// peer may have acted on it.
    pub async fn shard(
        &self,
        to: SocketAddr,
        request: ShardRequest,
    ) -> Result<ShardResponse, PeerCallError> {
        let client = self.client(to)?;
        self.call_with_timeout(to, SHARD_TIMEOUT, client.shard(request))
            .await
    }

    /// Asks a peer to lend slots.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came within [`GOSSIP_TIMEOUT`].
    pub async fn lend(&self, to: SocketAddr, ask: Ask) -> Result<Loan, PeerCallError> {
        let client = self.client(to)?;
        self.call_with_timeout(to, GOSSIP_TIMEOUT, client.lend(ask))
            .await
    }

    async fn call_with_timeout<T>(
        &self,
        to: SocketAddr,
        timeout: Duration,
        call: impl Future<Output = Result<T, RpcError>>,
    ) -> Result<T, PeerCallError> {
        let error = match tokio::time::timeout(timeout, call).await {
            Ok(Ok(answer)) => return Ok(answer),
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
