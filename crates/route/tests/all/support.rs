//! Scripted executors, an in-memory table, and daemons for tests of the data path.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use model::Clock;
use model::id::RowVersion;
use plat::call::call;
use plat::error::CallError;
use plat::table::Row;
use plat::table::Table;
use plat::table::TableError;
use plat::table::Txn;
use route::Proxy;
use route::RouteUpdate;
use route::proxy::ProxyConfig;
use route::proxy::ProxyLimits;
use route::proxy::server::bind;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::fixture::SEED;
use crate::fixture::config;
use crate::fixture::document;
use crate::fixture::executor;
use crate::fixture::member;
use crate::fixture::unused_address;
use crate::fixture::without_settle_delay;

/// How an executor handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Responds with the request id as the body.
    Echo,
    /// Responds with the received head as the body, and with a hop-by-hop header.
    Reflect,
    /// Same as [`Behavior::Echo`], after a delay.
    EchoAfter(Duration),
    /// Announces a length of 100 bytes and closes the connection after 10.
    Truncate,
    /// Closes the connection before the last chunk of a chunked response.
    TruncateChunked,
    /// Sends a body without a length that would end with the connection.
    NoLength,
    /// Responds with status 307.
    Redirect,
    /// Closes the connection without a response.
    Close,
    /// Closes the connection within the response head.
    CloseInHead,
    /// Responds with the id of another request.
    WrongId,
    /// Refuses the request as not run.
    Refuse,
    /// Never responds.
    Silent,
    /// Responds with status 500.
    Error,
}

/// An executor with a script of behaviors, the last of which repeats.
pub struct Executor {
    pub address: SocketAddr,
    received: Arc<AtomicUsize>,
    max_concurrent: Arc<AtomicUsize>,
}

impl Executor {
    pub async fn start(script: &[Behavior]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (received, max_concurrent) = (Arc::default(), Arc::default());
        let executor = Self {
            address,
            received: Arc::clone(&received),
            max_concurrent: Arc::clone(&max_concurrent),
        };
        let script: Arc<[Behavior]> = script.into();
        let active = Arc::new(AtomicUsize::new(0));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (script, received) = (Arc::clone(&script), Arc::clone(&received));
                let (max_concurrent, active) = (Arc::clone(&max_concurrent), Arc::clone(&active));
                tokio::spawn(async move {
                    let _ = connection(stream, &script, &received, &active, &max_concurrent).await;
                });
            }
        });
        executor
    }

    /// Returns an executor of which only the address is used.
    pub fn at(address: SocketAddr) -> Self {
        Self {
            address,
            received: Arc::default(),
            max_concurrent: Arc::default(),
        }
    }

    /// Returns the number of complete requests received.
    pub fn received(&self) -> usize {
        self.received.load(Ordering::SeqCst)
    }

    /// Returns the maximum number of concurrent requests.
    pub fn max_concurrent(&self) -> usize {
        self.max_concurrent.load(Ordering::SeqCst)
    }
}

async fn connection(
    mut stream: TcpStream,
    script: &[Behavior],
    received: &AtomicUsize,
    active: &AtomicUsize,
    max_concurrent: &AtomicUsize,
) -> std::io::Result<()> {
    while let Some(head) = read_request(&mut stream).await? {
        let at = received.fetch_add(1, Ordering::SeqCst);
        max_concurrent.fetch_max(active.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
        let behavior = script[at.min(script.len() - 1)];
        let keep_open = perform(&mut stream, behavior, &head).await;
        active.fetch_sub(1, Ordering::SeqCst);
        if !keep_open? {
            return Ok(());
        }
    }
    Ok(())
}

/// Returns whether the connection stays open.
async fn perform(stream: &mut TcpStream, behavior: Behavior, head: &str) -> std::io::Result<bool> {
    let id = header(head, "ff-request-id").unwrap_or_default();
    let echo = format!(
        "HTTP/1.1 200 OK\r\nff-request-id: {id}\r\ncontent-length: {}\r\n\r\n{id}",
        id.len()
    );
    let text = match behavior {
        Behavior::Echo => echo,
        Behavior::Reflect => format!(
            "HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\ncontent-length: {}\r\n\r\n{head}",
            head.len()
        ),
        Behavior::EchoAfter(duration) => {
            tokio::time::sleep(duration).await;
            echo
        }
        Behavior::Truncate => "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n0123456789".to_owned(),
        Behavior::TruncateChunked => {
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\n0123456789\r\n".to_owned()
        }
        Behavior::NoLength => "HTTP/1.1 200 OK\r\n\r\n0123456789".to_owned(),
        Behavior::Redirect => {
            "HTTP/1.1 307 Temporary Redirect\r\nlocation: /plan/other\r\ncontent-length: 0\r\n\r\n"
                .to_owned()
        }
        Behavior::Close => String::new(),
        Behavior::CloseInHead => "HTTP/1.1 200 OK\r\nconte".to_owned(),
        Behavior::WrongId => {
            "HTTP/1.1 200 OK\r\nff-request-id: other\r\ncontent-length: 6\r\n\r\nsecret".to_owned()
        }
        Behavior::Refuse => {
            "HTTP/1.1 503 Busy\r\nff-refused: busy\r\ncontent-length: 0\r\n\r\n".to_owned()
        }
        Behavior::Silent => std::future::pending().await,
        Behavior::Error => "HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n".to_owned(),
    };
    stream.write_all(text.as_bytes()).await?;
    Ok(matches!(
        behavior,
        Behavior::Echo
            | Behavior::Reflect
            | Behavior::EchoAfter(_)
            | Behavior::Redirect
            | Behavior::WrongId
            | Behavior::Refuse
            | Behavior::Error
    ))
}

/// Returns a header of a request head.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim().to_owned())
}

async fn read_request(stream: &mut TcpStream) -> std::io::Result<Option<String>> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => bytes.push(byte),
            Err(_) => return Ok(None),
        }
    }
    let head = String::from_utf8_lossy(&bytes).into_owned();
    let length = header(&head, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or_default()];
    stream.read_exact(&mut body).await?;
    Ok(Some(head))
}

/// How the in-memory table behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Store {
    /// It responds to every call.
    Available,
    /// It refuses every write.
    Refusing,
    /// It never responds to a write and does not apply it.
    Unresponsive,
    /// It applies the first write, but its response is lost.
    LosesFirstReply,
}

/// Creates an in-memory table.
pub fn table(store: Store) -> Table {
    let rows: Arc<Mutex<BTreeMap<String, Row>>> = Arc::default();
    let lost = Arc::new(AtomicUsize::new(0));
    let read = Arc::clone(&rows);
    Table {
        commit: call(move |txn: Txn| {
            let (rows, lost) = (Arc::clone(&rows), Arc::clone(&lost));
            async move {
                match store {
                    Store::Refusing => {
                        return Err(TableError::Call(CallError::Refused("closed".to_owned())));
                    }
                    Store::Unresponsive => std::future::pending::<()>().await,
                    Store::Available | Store::LosesFirstReply => {}
                }
                let versions = commit(&rows, &txn)?;
                if store == Store::LosesFirstReply && lost.fetch_add(1, Ordering::SeqCst) == 0 {
                    return Err(TableError::Call(CallError::Unknown("lost".to_owned())));
                }
                Ok(versions)
            }
        }),
        read: call(move |key: String| {
            let row = read.lock().expect("not poisoned").get(&key).cloned();
            async move { Ok(row) }
        }),
        scan: call(|_| async { Ok(Vec::new()) }),
    }
}

fn commit(rows: &Mutex<BTreeMap<String, Row>>, txn: &Txn) -> Result<Vec<RowVersion>, TableError> {
    let mut rows = rows.lock().expect("not poisoned");
    let version = |rows: &BTreeMap<String, Row>, key: &str| {
        rows.get(key).map(|row| row.version).unwrap_or_default()
    };
    for check in &txn.checks {
        let actual = version(&rows, &check.key);
        if actual != check.version {
            let key = check.key.clone();
            return Err(TableError::Conflict { key, actual });
        }
    }
    let mut versions = Vec::new();
    for write in &txn.writes {
        let next = version(&rows, &write.key).next();
        versions.push(next);
        match write.value.clone() {
            Some(value) => {
                let row = Row {
                    key: write.key.clone(),
                    value,
                    version: next,
                    op: txn.op.clone(),
                };
                rows.insert(write.key.clone(), row);
            }
            None => {
                rows.remove(&write.key);
            }
        }
    }
    Ok(versions)
}

/// The data path of a daemon on a loopback socket.
pub struct Daemon {
    pub proxy: Proxy,
    pub address: SocketAddr,
}

impl Daemon {
    /// Starts a daemon of a half with empty tables.
    pub async fn start(name: &str, half: &str, table: Table, limits: ProxyLimits) -> Self {
        let cfg = ProxyConfig::new(config(name, half, without_settle_delay()), || 0).limits(limits);
        let proxy = Proxy::new(cfg, table, Clock::start(), SEED);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (address, server) = bind(&proxy, any).await.expect("a free port");
        tokio::spawn(server);
        tokio::spawn(proxy.clone().run());
        Self { proxy, address }
    }

    /// Starts a daemon that is the only member, with these executors, a table that responds to every
    /// call and the default limits.
    pub async fn single(executors: &[&Executor]) -> Self {
        Self::single_with(executors, table(Store::Available), ProxyLimits::default()).await
    }

    /// Starts a daemon that is the only member, with these executors.
    pub async fn single_with(executors: &[&Executor], table: Table, limits: ProxyLimits) -> Self {
        let daemon = Self::start("entry-1", "rsh", table, limits).await;
        daemon.update_tables(executors, &[("entry-1", "rsh", unused_address())]);
        daemon
    }

    /// Starts two daemons of these halves that know each other and the executors. Each has a table
    /// of its own and the default limits.
    pub async fn pair(halves: [&str; 2], store: Store, executors: &[&Executor]) -> [Self; 2] {
        let limits = ProxyLimits::default;
        let first = Self::start("entry-1", halves[0], table(store), limits()).await;
        let second = Self::start("entry-2", halves[1], table(store), limits()).await;
        let members = [
            ("entry-1", halves[0], first.address),
            ("entry-2", halves[1], second.address),
        ];
        first.update_tables(executors, &members);
        second.update_tables(executors, &members);
        [first, second]
    }

    /// Fills the tables of the daemon.
    pub fn update_tables(&self, executors: &[&Executor], members: &[(&str, &str, SocketAddr)]) {
        let entry = |(at, one): (usize, &&Executor)| executor(&format!("plan-{at}"), one.address);
        self.proxy.update(RouteUpdate {
            document: Some(document(1, "rsh")),
            executors: Some(executors.iter().enumerate().map(entry).collect()),
            members: Some(
                members
                    .iter()
                    .map(|(name, half, address)| member(name, half, *address))
                    .collect(),
            ),
            released: Vec::new(),
        });
    }

    pub fn url(&self) -> String {
        format!("http://{}/plan/visit", self.address)
    }

    /// Sends a POST request without a body and returns the response.
    pub async fn post(&self) -> reqwest::Response {
        let response = caller().post(self.url()).send().await;
        response.expect("a response")
    }

    /// Waits until no request is in progress and checks that all slots are released.
    pub async fn idle(&self) {
        self.proxy.drained().await;
        assert_eq!(self.proxy.in_flight(&"plan".into()), 0);
    }
}

/// Creates an HTTP client without redirects and retries.
pub fn caller() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .build()
        .expect("a client")
}

/// Returns a header of a response, or an empty string.
pub fn response_header<'a>(response: &'a reqwest::Response, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}
