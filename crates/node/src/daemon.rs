//! Starts a daemon, and stops it gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use conf::settings::Settings;
use derive_more::Display;
use derive_more::Error;
use lease::record::Addresses;
use model::Clock;
use peer::members::Members;
use peer::members::Profile;
use plat::client::Client;
use plat::client::Endpoint;
use plat::rate_limit::RateLimiter;
use plat::rate_limit::RateLimits;
use route::Proxy;
use route::RouterConfig;
use route::proxy::ProxyConfig;
use route::proxy::server::harden;
use salvo::Router;
use salvo::conn::tcp::TcpAcceptor;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::cx::Cx;
use crate::cx::Outside;
use crate::cx::Stage;
use crate::document;
use crate::gossip;
use crate::heartbeat;
use crate::hosts;
use crate::janitor;
use crate::join::join;
use crate::metrics;
use crate::observe;
use crate::operators::Operators;
use crate::peers;
use crate::routing;
use crate::supervisor::PartResult;
use crate::supervisor::StatusBoard;
use crate::supervisor::Supervisor;
use crate::supervisor::failure;

/// How long a leaving daemon still takes requests, so that the balancer can notice it.
pub const BALANCER_GRACE: Duration = Duration::from_secs(3);
/// How long a draining daemon still serves, so that the others' data paths can take in that it drains.
const PEERS_GRACE: Duration = Duration::from_secs(1);
/// How many daemons are taken to share what the table carries, before it is known.
const DAEMONS: u32 = 9;

/// Why a daemon could not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[display("cannot listen on {address}: {reason}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        reason: std::io::Error,
    },
    /// A client of the platform cannot be set up.
    #[display("cannot reach the platform: {_0}")]
    Platform(#[error(not(source))] String),
}

/// A running daemon.
pub struct Daemon {
    /// What its parts share.
    pub cx: Arc<Cx>,
    /// Where it takes requests.
    pub callers: SocketAddr,
    /// Where it takes operators.
    pub operators: SocketAddr,
    /// Where it takes the other daemons.
    pub peers: SocketAddr,
    drain: CancellationToken,
    stop: CancellationToken,
    tree: JoinHandle<PartResult>,
}

/// The listeners of a daemon, bound before anything else is done.
struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

/// Connects to the platform that the settings name.
///
/// # Errors
///
/// Returns an error if a client cannot be set up.
pub fn connect(settings: &Settings) -> Result<Outside, StartError> {
    let platform = |error: plat::error::CallError| StartError::Platform(error.to_string());
    let to = &settings.platform;
    let table = Client::for_service("table").map_err(platform)?;
    let objects = Client::for_service("objects").map_err(platform)?;
    let hosts = Client::for_service("hosts").map_err(platform)?;
    let workers = Client::for_hosts("workers").map_err(platform)?;
    let endpoint = Endpoint::new;
    let table_at = endpoint(
        to.table,
        plat::table::CALL_TIMEOUT,
        plat::table::MAX_RESPONSE_BYTES,
    );
    let objects_at = endpoint(
        to.objects,
        plat::object::CALL_TIMEOUT,
        plat::object::MAX_RESPONSE_BYTES,
    );
    let hosts_at = endpoint(
        to.hosts,
        plat::hosts::CALL_TIMEOUT,
        plat::hosts::MAX_RESPONSE_BYTES,
    );
    let pace = RateLimiter::new(RateLimits::per_daemon(DAEMONS));
    Ok(Outside {
        table: pace.wrap(plat::table::http(&table, table_at)),
        pace,
        objects: plat::object::http::http(&objects, objects_at),
        hosts: plat::hosts::http::http(&hosts, hosts_at),
        workers: plat::worker::http(&workers, plat::worker::http::CallLimits::default()),
    })
}

impl Daemon {
    /// Starts a daemon: listens, begins a new life under its name, then runs its parts.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be listened on.
    pub async fn start(
        settings: Settings,
        outside: Outside,
        seed: u64,
        unix_ms: fn() -> u64,
    ) -> Result<Self, StartError> {
        let clock = Clock::start();
        let listeners = Listeners {
            callers: listen(settings.listen.callers).await?,
            operators: listen(settings.listen.operators).await?,
            peers: listen(settings.listen.peers).await?,
        };
        let [callers, operators, peers] = listeners.addresses()?;
        let reached = settings.advertise.as_ref();
        let addresses = Addresses {
            callers: reached.map_or(callers, |reached| reached.callers),
            peers: reached.map_or(peers, |reached| reached.peers),
        };
        let metrics = metrics::client(&settings.daemon, settings.observe.statsd)
            .map_err(|error| StartError::Platform(error.to_string()))?;
        let identity = join(&outside.table, &settings, addresses, seed).await;
        let seed = seed ^ identity.incarnation.0.rotate_left(32);
        let router = RouterConfig::new(
            settings.daemon.clone(),
            settings.half.clone(),
            settings.place.clone(),
        );
        let proxy = Proxy::new(
            ProxyConfig::new(router, unix_ms),
            outside.table.clone(),
            clock,
            seed,
        );
        let profile = Profile {
            incarnation: identity.incarnation,
            half: settings.half.clone(),
            place: settings.place.clone(),
            caller_address: addresses.callers,
            peer_address: addresses.peers,
        };
        let daemon = settings.daemon.clone();
        let members = Members::new(daemon, identity.incarnation, profile, clock.now());
        let board = StatusBoard::default();
        let cx = Cx::new(
            settings, clock, seed, outside, metrics, board, identity, members, proxy,
        );
        let cx = Arc::new(cx.with_unix_ms(unix_ms));
        let drain = CancellationToken::new();
        let stop = CancellationToken::new();
        let tree = tokio::spawn(tree(
            cx.clone(),
            addresses,
            listeners,
            drain.clone(),
            stop.clone(),
        ));
        Ok(Self {
            cx,
            callers,
            operators,
            peers,
            drain,
            stop,
            tree,
        })
    }

    /// Asks the daemon to drain, as `SIGTERM` does.
    pub fn drain(&self) {
        self.drain.cancel();
    }

    /// Returns the token that asks the daemon to drain when it is cancelled.
    #[must_use]
    pub fn drain_token(&self) -> CancellationToken {
        self.drain.clone()
    }

    /// Waits until the daemon has ended, because it was drained or a part escalated.
    ///
    /// # Errors
    ///
    /// Returns the error of the part that escalated.
    pub async fn ended(mut self) -> PartResult {
        let drained = tokio::select! {
            result = &mut self.tree => return flatten(result),
            () = self.drain.cancelled() => self.leave(),
        };
        drained.await;
        self.stop.cancel();
        let ended = flatten((&mut self.tree).await);
        heartbeat::end(&self.cx).await;
        ended
    }

    /// Drops the daemon as a crash does: nothing is given back or finished.
    pub fn kill(self) {
        self.tree.abort();
    }

    /// Leaves in order: not ready first, then nothing new, then nothing left.
    async fn leave(&self) {
        let cx = &self.cx;
        log::info!("leaving: not ready to the balancer");
        cx.stage.send_replace(Stage::Leaving);
        sleep(BALANCER_GRACE).await;
        cx.stage.send_replace(Stage::Draining);
        gossip::announce(cx).await;
        sleep(PEERS_GRACE).await;
        cx.proxy.drain();
        let bound = Duration::from_millis(cx.settings.drain_ms);
        let finished = async { tokio::join!(cx.proxy.drained(), cx.shards.give_back()) };
        if timeout(bound, finished).await.is_err() {
            let unfinished = cx.proxy.unfinished();
            log::warn!(unfinished; "the planned stop took too long, giving up what is left");
        }
        log::info!("left");
    }
}

impl Listeners {
    fn addresses(&self) -> Result<[SocketAddr; 3], StartError> {
        let address = |listener: &TcpListener| {
            listener
                .local_addr()
                .map_err(|error| StartError::Platform(error.to_string()))
        };
        Ok([
            address(&self.callers)?,
            address(&self.operators)?,
            address(&self.peers)?,
        ])
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|reason| StartError::Listen { address, reason })
}

fn flatten(result: Result<PartResult, tokio::task::JoinError>) -> PartResult {
    result.unwrap_or_else(|error| Err(failure("daemon", &error.to_string())))
}

/// Runs the tree of supervisors.
async fn tree(
    cx: Arc<Cx>,
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
        .part("membership", membership(cx.clone(), addresses))
        .part(
            "requests",
            request_parts(cx.clone(), callers, listeners.clone()),
        )
        .part("shards", shards(cx.clone(), addresses))
        .part("observe", with(&cx, observe::run))
        .part(
            "operators",
            serve(listeners.clone(), requests, |all| &all.operators),
        )
        .part("peers", peer_server(cx, listeners));
    top.run(stop).await
}

fn membership(
    cx: Arc<Cx>,
    addresses: Addresses,
) -> impl Fn(CancellationToken) -> futures::future::BoxFuture<'static, PartResult> + Send + Sync {
    move |token| {
        let cx = cx.clone();
        let supervisor = Supervisor::new("membership", cx.clock, cx.board.clone())
            .part(
                "heartbeat",
                with(&cx, move |cx, token| heartbeat::run(cx, addresses, token)),
            )
            .part("gossip", with(&cx, gossip::run))
            .part("hosts", with(&cx, hosts::run))
            .part("document", with(&cx, document::run))
            .part("janitor", with(&cx, janitor::run));
        Box::pin(supervisor.run(token))
    }
}

fn request_parts(
    cx: Arc<Cx>,
    callers: Router,
    listeners: Arc<Listeners>,
) -> impl Fn(CancellationToken) -> futures::future::BoxFuture<'static, PartResult> + Send + Sync {
    let callers = Arc::new(callers);
    move |token| {
        let ticking = |cx: Arc<Cx>, token: CancellationToken| async move {
            tokio::select! {
                () = cx.proxy.clone().run() => Ok(()),
                () = token.cancelled() => Ok(()),
            }
        };
        let supervisor = Supervisor::new("requests", cx.clock, cx.board.clone())
            .part("proxy", with(&cx, ticking))
            .part("routing", with(&cx, routing::run))
            .part(
                "callers",
                serve_shared(listeners.clone(), callers.clone(), |all| &all.callers),
            );
        Box::pin(supervisor.run(token))
    }
}

/// Makes a part of a function that takes the shared state.
fn with<F, Fut>(
    cx: &Arc<Cx>,
    run: F,
) -> impl Fn(CancellationToken) -> Fut + Send + Sync + use<F, Fut>
where
    F: Fn(Arc<Cx>, CancellationToken) -> Fut + Send + Sync,
{
    let cx = cx.clone();
    move |token| run(cx.clone(), token)
}

/// The shards' part. Each further run begins a new life of the daemon, since an earlier run may have
/// left messages under way.
fn shards(
    cx: Arc<Cx>,
    addresses: Addresses,
) -> impl Fn(CancellationToken) -> futures::future::BoxFuture<'static, PartResult> + Send + Sync {
    let runs = Arc::new(std::sync::atomic::AtomicU64::new(0));
    move |token| {
        let cx = cx.clone();
        let run = runs.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Box::pin(async move {
            if run > 0 {
                let seed = cx.seed ^ run;
                let identity = join(&cx.outside.table, &cx.settings, addresses, seed).await;
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
) -> impl Fn(CancellationToken) -> futures::future::BoxFuture<'static, PartResult> + Send + Sync {
    serve_shared(listeners, Arc::new(router), pick)
}

/// Serves HTTP on one of the listeners; a further run takes the same socket.
fn serve_shared(
    listeners: Arc<Listeners>,
    router: Arc<Router>,
    pick: fn(&Listeners) -> &TcpListener,
) -> impl Fn(CancellationToken) -> futures::future::BoxFuture<'static, PartResult> + Send + Sync {
    move |token| {
        let listener = again(pick(&listeners));
        let router = router.clone();
        Box::pin(async move {
            let broken = |error: std::io::Error| failure("server", &error.to_string());
            let acceptor = TcpAcceptor::try_from(listener.map_err(broken)?).map_err(broken)?;
            let server = harden(salvo::Server::new(acceptor));
            tokio::select! {
                () = server.serve(router) => Err(failure("server", "ended by itself")),
                () = token.cancelled() => Ok(()),
            }
        })
    }
}

fn peer_server(
    cx: Arc<Cx>,
    listeners: Arc<Listeners>,
) -> impl Fn(CancellationToken) -> futures::future::BoxFuture<'static, PartResult> + Send + Sync {
    move |token| {
        let cx = cx.clone();
        let listener = again(&listeners.peers);
        Box::pin(async move {
            let broken = |error: std::io::Error| failure("peers", &error.to_string());
            let server = peers::serve(cx, listener.map_err(broken)?).map_err(broken)?;
            token.cancelled().await;
            // It may have stopped already.
            let _ = server.stop();
            Ok(())
        })
    }
}

/// Makes a second listener of the same socket.
fn again(listener: &TcpListener) -> std::io::Result<TcpListener> {
    use std::os::fd::AsFd;
    let socket = listener.as_fd().try_clone_to_owned()?;
    TcpListener::from_std(std::net::TcpListener::from(socket))
}
