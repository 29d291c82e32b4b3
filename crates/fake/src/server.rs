//! The HTTP server of all fakes, which also injects faults into connections and responses.

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
use plat::call::call;
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

/// The header with the target of a redirect.
const LOCATION_HEADER: &str = "location";

/// A complete request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The ID of the request, empty if it has none.
    pub id: String,
    /// All headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// A complete response of a handler, to which the server adds the request ID.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandlerResponse {
    /// The HTTP status code.
    pub status: u16,
    /// Headers besides those that the server adds.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

impl HandlerResponse {
    /// Creates a response with a JSON body.
    #[must_use]
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: serde_json::to_vec(body).unwrap_or_default().into(),
        }
    }

    /// Creates a response that guarantees that the request was not executed. Characters of the
    /// reason that a header cannot contain are replaced by spaces.
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

/// Handles the requests of a server.
pub type Handler = Call<Request, HandlerResponse>;

/// A running server, which is stopped on drop.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Returns the address on which the server listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and breaks all connections; new connections are refused afterwards.
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

/// Starts a server on `address` whose handler responds without waiting; with port 0 the system
/// chooses a free port.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    faults: Faults,
    handle: impl Fn(&Request) -> HandlerResponse + Send + Sync + 'static,
) -> io::Result<Server> {
    let handler = call(move |req| {
        let response = handle(&req);
        async move { response }
    });
    serve_with_connection_limit(usize::MAX, address, faults, handler).await
}

/// Starts a server on `address`, which closes connections beyond `max_connections` on accept; with
/// port 0 the system chooses a free port.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve_with_connection_limit(
    max_connections: usize,
    address: SocketAddr,
    faults: Faults,
    handler: Handler,
) -> io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let service = FaultyService::new(faults, handler);
    let task = tokio::spawn(accept(listener, service, max_connections));
    Ok(Server { address, task })
}

async fn accept(listener: TcpListener, service: FaultyService, max_connections: usize) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted
                    && connections.len() < max_connections
                {
                    connections.spawn(service.clone().serve_connection(stream));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// An error that breaks the connection without a response, or in the middle of one.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("connection broken by an injected fault")]
struct ConnectionBroken;

type Body = BoxBody<Bytes, ConnectionBroken>;

#[derive(Clone)]
struct FaultyService {
    faults: Faults,
    handler: Handler,
    previous_response: Arc<Mutex<(String, Option<HandlerResponse>)>>,
}

impl FaultyService {
    fn new(faults: Faults, handler: Handler) -> Self {
        Self {
            faults,
            handler,
            previous_response: Arc::default(),
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        let number = self.faults.connect();
        if self.faults.drops_connection() {
            return;
        }
        let service = service_fn(move |req| self.clone().handle(number, req));
        let io = TokioIo::new(stream);
        let _broken = http1::Builder::new().serve_connection(io, service).await;
    }

    async fn handle(
        self,
        connection: u64,
        req: hyper::Request<Incoming>,
    ) -> Result<Response<Body>, ConnectionBroken> {
        let req = read_request(req).await?;
        if self.faults.is_silent(connection) {
            std::future::pending::<()>().await;
        }
        let op = req.path.rsplit('/').next().unwrap_or_default();
        match self.faults.take(op) {
            None => Ok(self.respond(&req).await),
            Some(fault) => self.respond_with_fault(fault, req).await,
        }
    }

    /// Executes the request and returns its response.
    async fn respond(&self, req: &Request) -> Response<Body> {
        let response = self.execute(req).await;
        complete_response(&req.id, response)
    }

    async fn execute(&self, req: &Request) -> HandlerResponse {
        let response = (self.handler)(req.clone()).await;
        *self.previous_response() = (req.id.clone(), Some(response.clone()));
        response
    }

    async fn respond_with_fault(
        &self,
        fault: Fault,
        req: Request,
    ) -> Result<Response<Body>, ConnectionBroken> {
        let id = req.id.clone();
        match fault {
            Fault::Slow(by) => {
                let response = self.respond(&req).await;
                sleep(by).await;
                Ok(response)
            }
            Fault::Refused => Ok(complete_response(
                &id,
                HandlerResponse::refused(503, "as-set"),
            )),
            Fault::LostBefore | Fault::Down => Err(ConnectionBroken),
            Fault::LostAfter => {
                self.execute(&req).await;
                Err(ConnectionBroken)
            }
            Fault::Late(by) => {
                let service = self.clone();
                tokio::spawn(async move {
                    sleep(by).await;
                    service.execute(&req).await;
                });
                Err(ConnectionBroken)
            }
            Fault::Twice => {
                self.execute(&req).await;
                Ok(self.respond(&req).await)
            }
            Fault::WrongId => Ok(complete_response(
                "no-such-request",
                self.execute(&req).await,
            )),
            Fault::OutOfOrder => {
                let (id, response) = self.previous_response().clone();
                let own_response = self.execute(&req).await;
                Ok(complete_response(&id, response.unwrap_or(own_response)))
            }
            Fault::CutShort => Ok(truncated_response(&id, self.execute(&req).await, 2)),
            Fault::CutAfterHead => Ok(truncated_response(
                &id,
                self.execute(&req).await,
                usize::MAX,
            )),
            Fault::Silent => std::future::pending().await,
            Fault::Oversized(bytes) => {
                let response = self.execute(&req).await;
                let body = vec![b' '; bytes].into();
                Ok(complete_response(&id, HandlerResponse { body, ..response }))
            }
            Fault::Garbage => {
                let response = self.execute(&req).await;
                let body = Bytes::from_static(b"<html>");
                Ok(complete_response(&id, HandlerResponse { body, ..response }))
            }
            Fault::Failure => {
                self.execute(&req).await;
                Ok(complete_response(
                    &id,
                    HandlerResponse::json(500, &"as set"),
                ))
            }
            Fault::Redirect(to) => {
                let mut response = HandlerResponse::json(307, &"elsewhere");
                response.headers.push((LOCATION_HEADER, to));
                Ok(complete_response(&id, response))
            }
        }
    }

    fn previous_response(&self) -> MutexGuard<'_, (String, Option<HandlerResponse>)> {
        self.previous_response
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn read_request(req: hyper::Request<Incoming>) -> Result<Request, ConnectionBroken> {
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
        body: body
            .collect()
            .await
            .map_err(|_| ConnectionBroken)?
            .to_bytes(),
        headers: head.headers,
    })
}

fn build_response(id: &str, response: &HandlerResponse, body: Body) -> Response<Body> {
    let mut builder = Response::builder()
        .status(response.status)
        .header(CONTENT_LENGTH, response.body.len())
        .header(REQUEST_ID_HEADER, id);
    for (name, value) in &response.headers {
        builder = builder.header(*name, value);
    }
    builder.body(body).unwrap_or_default()
}

fn complete_response(id: &str, response: HandlerResponse) -> Response<Body> {
    let body = Full::new(response.body.clone()).map_err(infallible).boxed();
    build_response(id, &response, body)
}

fn infallible(infallible: Infallible) -> ConnectionBroken {
    match infallible {}
}

/// Sends the headers and the first `1 / parts` of the body, and breaks the connection.
fn truncated_response(id: &str, response: HandlerResponse, parts: usize) -> Response<Body> {
    let first = response.body.slice(..response.body.len() / parts);
    let sent = stream::once(async move { Ok(Frame::data(first)) });
    let broken = stream::once(async {
        // Lets the server send the buffered data before it breaks the connection.
        tokio::task::yield_now().await;
        Err(ConnectionBroken)
    });
    build_response(
        id,
        &response,
        BodyExt::boxed(StreamBody::new(sent.chain(broken))),
    )
}
