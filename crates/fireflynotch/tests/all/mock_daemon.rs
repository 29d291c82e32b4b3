//! A mock daemon that returns canned responses, and functions that run the client against it.

use std::net::SocketAddr;

use fireflynotch::CommandOutput;
use fireflynotch::Environment;
use fireflynotch::run;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

pub const TOKEN: &str = "0123456789abcdef";

/// Returns a complete HTTP response with a JSON body.
pub fn response<T: Serialize>(status: u16, body: &T) -> String {
    let body = serde_json::to_string(body).unwrap();
    let len = body.len();
    format!("HTTP/1.1 {status} -\r\nContent-Length: {len}\r\nConnection: close\r\n\r\n{body}")
}

/// Serves each connection with the next response and returns the requests in the end.
pub async fn serve(responses: Vec<String>) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let mut requests = Vec::new();
        for response in responses {
            let (mut stream, _) = listener.accept().await.unwrap();
            requests.push(read_request(&mut stream).await);
            stream.write_all(response.as_bytes()).await.unwrap();
        }
        requests
    });
    (address, server)
}

async fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buf = [0; 4096];
    while !is_complete(&text) {
        let len = stream.read(&mut buf).await.unwrap();
        assert_ne!(
            len, 0,
            "the connection closed before the request was complete"
        );
        text.push_str(std::str::from_utf8(&buf[..len]).unwrap());
    }
    text
}

fn is_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let len = head
        .lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map_or(0, |(_, len)| len.parse().unwrap());
    body.len() >= len
}

/// Runs the client with whitespace-separated arguments.
pub async fn run_client(addresses: &[SocketAddr], line: &str) -> CommandOutput {
    let mut args = Vec::new();
    for address in addresses {
        args.extend(["--address".to_owned(), address.to_string()]);
    }
    args.extend(line.split_whitespace().map(str::to_owned));
    let environment = Environment {
        address: None,
        token: Some(TOKEN.to_owned()),
        user: Some("an".to_owned()),
        op: "op-1".into(),
    };
    run(&args, &environment).await
}

/// Runs the client against one response, and returns its output and the request.
pub async fn run_against(response: String, line: &str) -> (CommandOutput, String) {
    let (address, server) = serve(vec![response]).await;
    let output = run_client(&[address], line).await;
    let mut requests = server.await.unwrap();
    (output, requests.remove(0))
}
