//! A blocking HTTP/1.1 server and client for loopback addresses.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// A received request.
pub struct Request {
    pub path: String,
    pub query: String,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map_or("", |(_, value)| value)
    }

    /// Returns a decoded parameter of the query, or an empty text.
    pub fn parameter(&self, name: &str) -> String {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map_or_else(String::new, |(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'+' => decoded.push(b' '),
            b'%' => {
                let digits = text.get(at + 1..at + 3).unwrap_or("20");
                decoded.push(u8::from_str_radix(digits, 16).unwrap_or(b' '));
                at += 2;
            }
            byte => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// What a handler answers: a status with a body, or nothing, which closes the connection.
pub type Answer = Option<(u16, String)>;

/// Serves requests on a listener, with one thread for each connection.
pub fn serve(listener: TcpListener, handler: Arc<dyn Fn(Request) -> Answer + Send + Sync>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Answer) {
    let _ = stream.set_nodelay(true);
    let Ok(mut output) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        let Some((status, body)) = handler(request) else {
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if output.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(input: &mut BufReader<TcpStream>) -> Option<Request> {
    let first = read_line(input)?;
    let mut words = first.split(' ');
    let target = words.nth(1)?.to_owned();
    let headers = read_headers(input)?;
    let body = read_body(input, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Some(Request {
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

fn read_line(input: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let read = input.read_line(&mut line).ok()?;
    (read > 0).then(|| line.trim_end().to_owned())
}

fn read_headers(input: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(input)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_body(input: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<String> {
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map_or(Some(0), |(_, value)| value.parse::<usize>().ok())?;
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// A call of a client. Returns the status and body, or `None` without an answer in time.
pub fn call(
    address: &str,
    host: &str,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Answer {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Fireflynotch-Deadline-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut input = BufReader::new(stream);
    let first = read_line(&mut input)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut input)?;
    let body = read_body(&mut input, &headers)?;
    Some((status, body))
}
