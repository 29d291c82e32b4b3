//! The HTTP server that all stand-ins share, with the faults that show on the wire.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use plat::call::Call;
use plat::client::REFUSED_HEADER;
use plat::client::REQUEST_ID_HEADER;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::faults::Fault;
use crate::faults::Faults;

/// The header of a redirect that names where to go.
const LOCATION: &str = "location";

/// A whole request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The request's id, empty if it has none.
    pub id: String,
    /// All headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A whole answer; the server adds the request's id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Makes an answer with a JSON body.
    #[must_use]
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: serde_json::to_vec(body).unwrap_or_default().into(),
        }
    }

    /// Makes an answer that vouches that the request was not carried out; what of the reason cannot
    /// stand in a header is replaced.
    #[must_use]
    pub fn refused(status: u16, reason: &str) -> Self {
        let printable = |c: char| if c.is_ascii_graphic() { c } else { ' ' };
        let reason = reason.chars().map(printable).collect();
        Self {
            status,
            headers: vec![(REFUSED_HEADER, reason)],
            body: Bytes::new(),
        }
    }
}

/// What answers the requests of a server.
pub type Handler = Call<Request, Answer>;

/// A running server, which stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Returns where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and breaks all connections; afterwards connections are refused.
    pub async fn stop(mut self) {
        self.task.abort();
        let _aborted = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves on `address`, port 0 for any free one.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn serve(address: SocketAddr, faults: Faults, handler: Handler) -> io::Result<Server> {
    serve_up_to(usize::MAX, address, faults, handler).await
}

/// Serves like [`serve`], and closes connections beyond `max_connections` when they are made.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn serve_up_to(
    max_connections: usize,
    address: SocketAddr,
    faults: Faults,
    handler: Handler,
) -> io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let service = Service::new(faults, handler);
    let task = tokio::spawn(accept(listener, service, max_connections));
    Ok(Server { address, task })
}

async fn accept(listener: TcpListener, service: Service, max_connections: usize) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted
                    && connections.len() < max_connections
                {
                    connections.spawn(service.clone().connection(stream));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Breaks the connection without an answer.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("connection broken as set")]
struct Broken;

type Body = BoxBody<Bytes, Broken>;

#[derive(Clone)]
struct Service {
    faults: Faults,
    handler: Handler,
    previous: Arc<Mutex<(String, Option<Answer>)>>,
}

impl Service {
    fn new(faults: Faults, handler: Handler) -> Self {
        Self {
            faults,
            handler,
            previous: Arc::default(),
        }
    }

    async fn connection(self, stream: TcpStream) {
        let number = self.faults.connect();
        if self.faults.takes_connection() {
            return;
        }
        let service = service_fn(move |req| self.clone().serve(number, req));
        let io = TokioIo::new(stream);
        let _broken = http1::Builder::new().serve_connection(io, service).await;
    }

    async fn serve(
        self,
        connection: u64,
        req: hyper::Request<Incoming>,
    ) -> Result<Response<Body>, Broken> {
        let req = read(req).await?;
        if self.faults.is_silent(connection) {
            std::future::pending::<()>().await;
        }
        let op = req.path.rsplit('/').next().unwrap_or_default();
        match self.faults.take(op) {
            None => Ok(self.answer(&req).await),
            Some(fault) => self.answer_with(fault, req).await,
        }
    }

    /// Carries the request out and answers it.
    async fn answer(&self, req: &Request) -> Response<Body> {
        let answer = self.carry_out(req).await;
        whole(&req.id, answer)
    }

    async fn carry_out(&self, req: &Request) -> Answer {
        let answer = (self.handler)(req.clone()).await;
        *self.previous() = (req.id.clone(), Some(answer.clone()));
        answer
    }

    async fn answer_with(&self, fault: Fault, req: Request) -> Result<Response<Body>, Broken> {
        let id = req.id.clone();
        match fault {
            Fault::Slow(by) => {
                let response = self.answer(&req).await;
                sleep(by).await;
                Ok(response)
            }
            Fault::Refused => Ok(whole(&id, Answer::refused(503, "as-set"))),
            Fault::LostBefore | Fault::Down => Err(Broken),
            Fault::LostAfter => {
                self.carry_out(&req).await;
                Err(Broken)
            }
            Fault::Late(by) => {
                let service = self.clone();
                tokio::spawn(async move {
                    sleep(by).await;
                    service.carry_out(&req).await;
                });
                Err(Broken)
            }
            Fault::Twice => {
                self.carry_out(&req).await;
                Ok(self.answer(&req).await)
            }
            Fault::WrongId => Ok(whole("no-such-request", self.carry_out(&req).await)),
            Fault::OutOfOrder => {
                let (id, answer) = self.previous().clone();
                let own = self.carry_out(&req).await;
                Ok(whole(&id, answer.unwrap_or(own)))
            }
            Fault::CutShort => Ok(cut(&id, self.carry_out(&req).await, 2)),
            Fault::CutAfterHead => Ok(cut(&id, self.carry_out(&req).await, usize::MAX)),
            Fault::Silent => std::future::pending().await,
            Fault::Oversized(bytes) => {
                let answer = self.carry_out(&req).await;
                let body = vec![b' '; bytes].into();
                Ok(whole(&id, Answer { body, ..answer }))
            }
            Fault::Garbage => {
                let answer = self.carry_out(&req).await;
                let body = Bytes::from_static(b"<html>");
                Ok(whole(&id, Answer { body, ..answer }))
            }
            Fault::Failure => {
                self.carry_out(&req).await;
                Ok(whole(&id, Answer::json(500, &"as set")))
            }
            Fault::Redirect(to) => {
                let mut answer = Answer::json(307, &"elsewhere");
                answer.headers.push((LOCATION, to));
                Ok(whole(&id, answer))
            }
        }
    }

    fn previous(&self) -> MutexGuard<'_, (String, Option<Answer>)> {
        self.previous.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn read(req: hyper::Request<Incoming>) -> Result<Request, Broken> {
    let (head, body) = req.into_parts();
    let id = head.headers.get(REQUEST_ID_HEADER);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    Ok(Request {
        method: head.method,
        path: head
            .uri
            .path_and_query()
            .map_or_else(String::new, ToString::to_string),
        id: id.to_owned(),
        body: body.collect().await.map_err(|_| Broken)?.to_bytes(),
        headers: head.headers,
    })
}

fn head(id: &str, answer: &Answer, body: Body) -> Response<Body> {
    let mut builder = Response::builder()
        .status(answer.status)
        .header(CONTENT_LENGTH, answer.body.len())
        .header(REQUEST_ID_HEADER, id);
    for (name, value) in &answer.headers {
        builder = builder.header(*name, value);
    }
    builder.body(body).unwrap_or_default()
}

fn whole(id: &str, answer: Answer) -> Response<Body> {
    let body = Full::new(answer.body.clone()).map_err(never).boxed();
    head(id, &answer, body)
}

fn never(never: Infallible) -> Broken {
    match never {}
}

/// Sends one part in `parts` of the body and breaks the connection.
fn cut(id: &str, answer: Answer, parts: usize) -> Response<Body> {
    let first = answer.body.slice(..answer.body.len() / parts);
    let sent = stream::once(async move { Ok(Frame::data(first)) });
    let broken = stream::once(async {
        // Lets the server send what it has before it breaks the connection.
        tokio::task::yield_now().await;
        Err(Broken)
    });
    head(
        id,
        &answer,
        BodyExt::boxed(StreamBody::new(sent.chain(broken))),
    )
}
