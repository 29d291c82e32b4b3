//! Serves the RPC interface for the other daemons.

use std::sync::Arc;

use conf::accept::message::Ack;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use lease::record::TaskSpec;
use peer::rpc::Answer;
use peer::rpc::DocCall;
use peer::rpc::MAX_MESSAGE_BYTES;
use peer::rpc::PeerServer;
use peer::rpc::Question;
use peer::rpc::ShardAnswer;
use peer::rpc::ShardCall;
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
    async fn gossip(&self, question: Question) -> RpcResult<Answer> {
        Ok(gossip::respond(&self.cx, question))
    }

    async fn document(&self, call: DocCall) -> RpcResult<Ack> {
        Ok(propose::handle_call(&self.cx, call))
    }

    async fn shard(&self, call: ShardCall) -> RpcResult<ShardAnswer> {
        let Some(request) = to_request(call) else {
            return Ok(ShardAnswer::Refused {
                reason: "the task cannot be read".into(),
            });
        };
        Ok(match self.cx.shards.request(request).await {
            Reply::Done(_) => ShardAnswer::Done,
            Reply::WaitReasons(reasons) => ShardAnswer::Held { reasons },
            Reply::Refused(reason) => ShardAnswer::Refused { reason },
            Reply::NotOwner { .. } => ShardAnswer::NotOwner,
            Reply::Unknown => ShardAnswer::Unknown,
        })
    }

    async fn lend(&self, ask: SlotRequest) -> RpcResult<SlotLoan> {
        Ok(self.cx.proxy.lend(&ask))
    }
}

fn to_request(call: ShardCall) -> Option<Request> {
    Some(match call {
        ShardCall::Submit { shard, spec } => {
            let spec: TaskSpec = serde_json::from_value(spec).ok()?;
            Request::Submit {
                shard: Some(shard),
                spec,
            }
        }
        ShardCall::Cancel { shard, task } => Request::Cancel { shard, task },
        ShardCall::Held { shard, tasks } => Request::WaitReasons { shard, tasks },
        ShardCall::Rescan { shard } => Request::Rescan { shard },
        ShardCall::WorkerLost { shard, worker } => Request::WorkerLost { shard, worker },
    })
}
