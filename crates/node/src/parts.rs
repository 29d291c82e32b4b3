//! The parts of a daemon and their supervision tree.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use futures::future::BoxFuture;
use lease::record::Addresses;
use route::proxy::server::harden;
use salvo::Router;
use salvo::conn::tcp::TcpAcceptor;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::context::DaemonContext;
use crate::document;
use crate::gossip;
use crate::heartbeat;
use crate::hosts;
use crate::janitor;
use crate::join::join;
use crate::listeners::Listeners;
use crate::listeners::clone_listener;
use crate::observe;
use crate::operators::Operators;
use crate::peers;
use crate::routing;
use crate::supervisor::PartResult;
use crate::supervisor::Supervisor;
use crate::supervisor::failure;

/// Runs the supervision tree until `stop` is cancelled or a part escalates.
///
/// # Errors
///
/// Returns the error of the part that escalated.
pub(crate) async fn run_supervisors(
    cx: Arc<DaemonContext>,
    addresses: Addresses,
    listeners: Listeners,
    drain: CancellationToken,
    stop: CancellationToken,
) -> PartResult {
    let clock = cx.clock;
    let board = cx.board.clone();
    let operators = Operators::new(cx.clone(), drain);
    let requests = Router::with_path("{**path}").goal(operators);
    let callers = cx.proxy.service();
    let listeners = Arc::new(listeners);
    let top = Supervisor::new("daemon", clock, board.clone())
        .part("membership", membership_supervisor(cx.clone(), addresses))
        .part(
            "requests",
            request_supervisor(cx.clone(), callers, listeners.clone()),
        )
        .part("shards", shard_part(cx.clone(), addresses))
        .part("observe", with_context(&cx, observe::run))
        .part(
            "operators",
            serve(listeners.clone(), requests, |all| &all.operators),
        )
        .part("peers", peer_server(cx, listeners));
    top.run(stop).await
}

fn membership_supervisor(
    cx: Arc<DaemonContext>,
    addresses: Addresses,
) -> impl Fn(CancellationToken) -> BoxFuture<'static, PartResult> + Send + Sync {
    move |token| {
        let cx = cx.clone();
        let supervisor = Supervisor::new("membership", cx.clock, cx.board.clone())
            .part(
                "heartbeat",
                with_context(&cx, move |cx, token| heartbeat::run(cx, addresses, token)),
            )
            .part("gossip", with_context(&cx, gossip::run))
            .part("hosts", with_context(&cx, hosts::run))
            .part("document", with_context(&cx, document::run))
            .part("janitor", with_context(&cx, janitor::run));
        Box::pin(supervisor.run(token))
    }
}

fn request_supervisor(
    cx: Arc<DaemonContext>,
    callers: Router,
    listeners: Arc<Listeners>,
) -> impl Fn(CancellationToken) -> BoxFuture<'static, PartResult> + Send + Sync {
    let callers = Arc::new(callers);
    move |token| {
        let run_proxy = |cx: Arc<DaemonContext>, token: CancellationToken| async move {
            tokio::select! {
                () = cx.proxy.clone().run() => Ok(()),
                () = token.cancelled() => Ok(()),
            }
        };
        let supervisor = Supervisor::new("requests", cx.clock, cx.board.clone())
            .part("proxy", with_context(&cx, run_proxy))
            .part("routing", with_context(&cx, routing::run))
            .part(
                "callers",
                serve_shared(listeners.clone(), callers.clone(), |all| &all.callers),
            );
        Box::pin(supervisor.run(token))
    }
}

/// Creates a part from a function that takes the shared state.
fn with_context<F, Fut>(
    cx: &Arc<DaemonContext>,
    run: F,
) -> impl Fn(CancellationToken) -> Fut + Send + Sync + use<F, Fut>
where
    F: Fn(Arc<DaemonContext>, CancellationToken) -> Fut + Send + Sync,
{
    let cx = cx.clone();
    move |token| run(cx.clone(), token)
}

/// Creates the part that owns shards. Each restart begins a new incarnation of the daemon, because
/// an earlier run may have left messages in flight.
fn shard_part(
    cx: Arc<DaemonContext>,
    addresses: Addresses,
) -> impl Fn(CancellationToken) -> BoxFuture<'static, PartResult> + Send + Sync {
    let runs = Arc::new(AtomicU64::new(0));
    move |token| {
        let cx = cx.clone();
        let run = runs.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            if run > 0 {
                let seed = cx.seed ^ run;
                let identity = join(&cx.platform.table, &cx.settings, addresses, seed).await;
                cx.set_identity(identity);
            }
            cx.shards.run(cx.clone(), token).await
        })
    }
}

fn serve(
    listeners: Arc<Listeners>,
    router: Router,
    pick: fn(&Listeners) -> &TcpListener,
) -> impl Fn(CancellationToken) -> BoxFuture<'static, PartResult> + Send + Sync {
    serve_shared(listeners, Arc::new(router), pick)
}

/// Serves HTTP on one of the listeners; a restart uses the same socket.
fn serve_shared(
    listeners: Arc<Listeners>,
    router: Arc<Router>,
    pick: fn(&Listeners) -> &TcpListener,
) -> impl Fn(CancellationToken) -> BoxFuture<'static, PartResult> + Send + Sync {
    move |token| {
        let listener = clone_listener(pick(&listeners));
        let router = router.clone();
        Box::pin(async move {
            let server_error = |error: std::io::Error| failure("server", &error.to_string());
            let acceptor =
                TcpAcceptor::try_from(listener.map_err(server_error)?).map_err(server_error)?;
            let server = harden(salvo::Server::new(acceptor));
            tokio::select! {
                () = server.serve(router) => Err(failure("server", "ended by itself")),
                () = token.cancelled() => Ok(()),
            }
        })
    }
}

fn peer_server(
    cx: Arc<DaemonContext>,
    listeners: Arc<Listeners>,
) -> impl Fn(CancellationToken) -> BoxFuture<'static, PartResult> + Send + Sync {
    move |token| {
        let cx = cx.clone();
        let listener = clone_listener(&listeners.peers);
        Box::pin(async move {
            let server_error = |error: std::io::Error| failure("peers", &error.to_string());
            let server = peers::serve(cx, listener.map_err(server_error)?).map_err(server_error)?;
            token.cancelled().await;
            // The server may have stopped already.
            let _ = server.stop();
            Ok(())
        })
    }
}
