//! Tests of the HTTP client with malformed and unexpected responses.

use std::net::SocketAddr;

use fake::table::FakeTable;
use futures::future::join_all;
use plat::client::Client;
use plat::client::Endpoint;
use plat::client::PostRequest;
use plat::error::CallError;
use plat::table;
use plat::table::TableError;
use plat::table::http::READ_PATH;
use plat::table::http::ReadRequest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::support::CallOutcome;
use crate::support::CallOutcome::Answered;
use crate::support::CallOutcome::Refused;
use crate::support::CallOutcome::Unknown;
use crate::support::LONG;
use crate::support::LOOPBACK;
use crate::support::MAX_BYTES;
use crate::support::SHORT;
use crate::support::call_outcome;
use crate::support::client;
use crate::support::txn;

/// What a server does with its response to one request: send it and close, or send it twice.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AfterResponse {
    Closes,
    Repeats,
}

/// Starts a server that responds to each request with the bytes that `response` returns for it.
/// Returns its address and a channel with the received requests.
async fn raw_server(
    response: impl Fn(&str) -> String + Send + Clone + 'static,
    after_response: AfterResponse,
) -> (SocketAddr, UnboundedReceiver<String>) {
    let listener = TcpListener::bind(LOOPBACK).await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (response, tx) = (response.clone(), tx.clone());
            tokio::spawn(async move {
                while let Some(req) = request(&mut stream).await {
                    let bytes = response(&req);
                    let _closed = tx.send(req);
                    let copies = if after_response == AfterResponse::Repeats {
                        2
                    } else {
                        1
                    };
                    if stream
                        .write_all(bytes.repeat(copies).as_bytes())
                        .await
                        .is_err()
                    {
                        return;
                    }
                    if after_response == AfterResponse::Closes {
                        return;
                    }
                }
            });
        }
    });
    (address, rx)
}

/// Reads one request, whose body ends with a closing brace.
async fn request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut buf = [0; 1024];
    while !(text.contains("\r\n\r\n") && text.ends_with('}')) {
        let read = stream.read(&mut buf).await.ok().filter(|read| *read > 0)?;
        text.push_str(&String::from_utf8_lossy(&buf[..read]));
    }
    Some(text)
}

fn header<'a>(req: &'a str, name: &str) -> &'a str {
    let value = req.lines().find_map(|line| line.strip_prefix(name));
    value.expect("the request has the header")
}

fn key(req: &str) -> ReadRequest {
    let body = req
        .split("\r\n\r\n")
        .nth(1)
        .expect("the request has a body");
    serde_json::from_str(body).expect("the body is a read")
}

#[tokio::test]
async fn a_response_permits_only_the_conclusions_of_the_contract() {
    // `{id}` stands for the header with the request's id, `|` for a line break.
    let cases = [
        (Answered, "200 OK|{id}|content-length: 2||{}"),
        (Answered, "200 OK|{id}|{chunked}||2|{}|0||"),
        (Refused, "503 Busy|{id}|ff-refused: busy|{empty}||"),
        (Refused, "400 Bad|{id}|ff-refused: malformed|{empty}||"),
        (Unknown, "503 Busy|{empty}||"),
        (Unknown, "503 Busy|{id}|{empty}||"),
        (Unknown, "404 No|{id}|{empty}||"),
        (Unknown, "503 Busy|{other}|ff-refused: busy|{empty}||"),
        (Unknown, "500 No|{id}|ff-refused: busy|{empty}||"),
        (Unknown, "200 OK|content-length: 2||{}"),
        (Unknown, "200 OK|{other}|content-length: 2||{}"),
        (Unknown, "307 Go|{id}|location: /x|{empty}||"),
        (Unknown, "not http|"),
        (Unknown, ""),
        (Unknown, "200 OK|{id}|content-le"),
        (Unknown, "200 OK|{id}|content-length: 9||{}"),
        (Unknown, "200 OK|{id}|{chunked}||9|{}"),
        (Unknown, "200 OK|{id}|{chunked}||2|{}|"),
        (Unknown, "200 OK|{id}|content-length: 1||<"),
    ];
    for (expected, text) in cases {
        assert_eq!(post_to(text).await, (expected, 1), "{text}");
    }
}

/// Sends one request to a server that responds with `text`; returns the outcome of the call and how
/// often the request was sent.
async fn post_to(text: &str) -> (CallOutcome, usize) {
    let template = text
        .replace("{chunked}", "transfer-encoding: chunked")
        .replace("{empty}", "content-length: 0")
        .replace("{other}", "ff-request-id: another")
        .replace('|', "\r\n");
    let response = move |req: &str| {
        let id = format!("ff-request-id: {}", header(req, "ff-request-id: "));
        let is_http = template.starts_with(char::is_numeric);
        let version = if is_http { "HTTP/1.1 " } else { "" };
        format!("{version}{}", template.replace("{id}", &id))
    };
    let (address, mut requests) = raw_server(response, AfterResponse::Closes).await;
    let to = Endpoint::new(address, LONG, MAX_BYTES);
    let body = serde_json::json!({});
    let response = client().post(&to, PostRequest::new("/v1/any", &body)).await;
    let outcome = response.and_then(|response| match response.is_ok() {
        true => response.json::<serde_json::Value>(),
        false => Err(response.failure()),
    });
    let mut sent = 0;
    while requests.try_recv().is_ok() {
        sent += 1;
    }
    (call_outcome(&outcome), sent)
}

#[tokio::test]
async fn a_response_that_does_not_match_its_request_is_rejected() {
    let row = r#"{"row":{"key":"other","value":1,"version":1,"op":"op"}}"#;
    // Whether the response is accepted, the kind of request, the status and the body.
    let cases = [
        (true, "read", "200 OK", r#"{"row":null}"#),
        (false, "read", "200 OK", row),
        (true, "commit", "200 OK", r#"{"op":"op-1","versions":[1]}"#),
        (false, "commit", "200 OK", r#"{"op":"op-2","versions":[1]}"#),
        (false, "commit", "200 OK", r#"{"op":"op-1","versions":[]}"#),
        (
            true,
            "commit",
            "409 No",
            r#"{"op":"op-1","key":"row","actual":3}"#,
        ),
        (
            false,
            "commit",
            "409 No",
            r#"{"op":"op-2","key":"row","actual":3}"#,
        ),
        (
            false,
            "commit",
            "409 No",
            r#"{"op":"op-1","key":"else","actual":3}"#,
        ),
    ];
    for (accepted, op, status, body) in cases {
        let response = move |req: &str| {
            let id = header(req, "ff-request-id: ");
            let head = format!("HTTP/1.1 {status}\r\nff-request-id: {id}");
            format!("{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
        };
        let (address, _requests) = raw_server(response, AfterResponse::Closes).await;
        let table = table::http(&client(), Endpoint::new(address, LONG, MAX_BYTES));
        let error = match op {
            "read" => (table.read)("row".to_owned()).await.err(),
            _ => (table.commit)(txn("op-1", "row", 0)).await.err(),
        };
        let unknown = matches!(error, Some(TableError::Call(CallError::Unknown(_))));
        assert_eq!(unknown, !accepted, "{op} {status} {body}: {error:?}");
    }
}

#[tokio::test]
async fn a_body_is_read_up_to_the_size_limit() {
    for (bytes, expected) in [(MAX_BYTES, Answered), (MAX_BYTES + 1, Unknown)] {
        let body = format!("\"{}\"", "x".repeat(bytes - 2));
        let text = format!("200 OK|{{id}}|content-length: {bytes}||{body}");
        assert_eq!(post_to(&text).await, (expected, 1), "{bytes} bytes");
    }
}

#[tokio::test]
async fn a_duplicate_response_is_never_used_for_the_next_request() {
    let response = |req: &str| {
        let id = header(req, "ff-request-id: ");
        let row = serde_json::json!({ "row": {
            "key": key(req).key, "value": id, "version": 1, "op": "op",
        }});
        let body = row.to_string();
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\nff-request-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
    };
    let (address, _requests) = raw_server(response, AfterResponse::Repeats).await;
    let table = table::http(&client(), Endpoint::new(address, LONG, MAX_BYTES));
    let mut accepted = 0;
    for number in 0..50 {
        let requested = format!("row-{number}");
        match (table.read)(requested.clone()).await {
            Ok(row) => {
                assert_eq!(row.map(|row| row.key), Some(requested));
                accepted += 1;
            }
            Err(TableError::Call(_)) => {}
            Err(conflict) => panic!("{conflict}"),
        }
    }
    assert!(accepted > 0, "no response of {READ_PATH} was accepted");
}

#[tokio::test]
async fn at_most_one_call_fails_when_all_open_connections_go_silent() {
    let fake = FakeTable::new();
    let server = fake.serve(LOOPBACK).await.expect("a port is free");
    let client = Client::for_service("test").expect("the HTTP client is made");
    let long = table::http(&client, Endpoint::new(server.address(), LONG, MAX_BYTES));
    let short = table::http(&client, Endpoint::new(server.address(), SHORT, MAX_BYTES));
    let opening = join_all((0..6).map(|number| (long.read)(format!("row-{number}")))).await;
    assert!(opening.iter().all(Result::is_ok));
    let opened = fake.faults().connections();
    assert!(opened > 1, "the concurrent calls used {opened} connections");
    fake.faults().silence_open_connections();
    assert!((short.read)("row".to_owned()).await.is_err());
    assert_eq!((long.read)("row".to_owned()).await, Ok(None));
    assert!(fake.faults().connections() > opened);
}
