//! Serves the RPC interface for the other daemons.

use std::sync::Arc;

use conf::accept::message::Ack;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use lease::record::TaskSpec;
use peer::rpc::DocumentRequest;
use peer::rpc::GossipRequest;
use peer::rpc::GossipResponse;
use peer::rpc::MAX_MESSAGE_BYTES;
use peer::rpc::PeerServer;
use peer::rpc::ShardRequest;
use peer::rpc::ShardResponse;
use route::slots::SlotLoan;
use route::slots::SlotRequest;
use tokio::net::TcpListener;

use crate::context::DaemonContext;
use crate::document::propose;
use crate::gossip;
use crate::shards::input::Reply;
use crate::shards::input::Request;

/// Maximum number of concurrent connections of other daemons.
const MAX_CONNECTIONS: u32 = 256;

/// Serves the other daemons on a listener that is already bound.
///
/// # Errors
///
/// Returns the error of the listener.
pub fn serve(cx: Arc<DaemonContext>, listener: TcpListener) -> std::io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .http_only()
        .build();
    let server = jsonrpsee::server::Server::builder().set_config(config);
    let server = server.build_from_tcp(listener.into_std()?)?;
    Ok(server.start(PeerHandler { cx }.into_rpc()))
}

struct PeerHandler {
    cx: Arc<DaemonContext>,
}

#[async_trait]
impl PeerServer for PeerHandler {
    async fn gossip(&self, request: GossipRequest) -> RpcResult<GossipResponse> {
        Ok(gossip::respond(&self.cx, request))
    }

    async fn document(&self, call: DocumentRequest) -> RpcResult<Ack> {
        Ok(propose::handle_call(&self.cx, call))
    }

    async fn shard(&self, call: ShardRequest) -> RpcResult<ShardResponse> {
        let Some(request) = to_request(call) else {
            return Ok(ShardResponse::Refused {
                reason: "the task cannot be read".into(),
            });
        };
        Ok(match self.cx.shards.request(request).await {
            Reply::Done(_) => ShardResponse::Done,
            Reply::WaitReasons(reasons) => ShardResponse::WaitReasons { reasons },
            Reply::Refused(reason) => ShardResponse::Refused { reason },
            Reply::NotOwner { .. } => ShardResponse::NotOwner,
            Reply::Unknown => ShardResponse::Unknown,
        })
    }

    async fn lend(&self, request: SlotRequest) -> RpcResult<SlotLoan> {
        Ok(self.cx.proxy.lend(&request))
    }
}

fn to_request(call: ShardRequest) -> Option<Request> {
    Some(match call {
        ShardRequest::Submit { shard, spec } => {
            let spec: TaskSpec = serde_json::from_value(spec).ok()?;
            Request::Submit {
                shard: Some(shard),
                spec,
            }
        }
        ShardRequest::Cancel { shard, task } => Request::Cancel { shard, task },
        ShardRequest::WaitReasons { shard, tasks } => Request::WaitReasons { shard, tasks },
        ShardRequest::Rescan { shard } => Request::Rescan { shard },
        ShardRequest::WorkerLost { shard, worker } => Request::WorkerLost { shard, worker },
    })
}
