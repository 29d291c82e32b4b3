//! Calls of a client to servers that misbehave.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use link::client::CallError;
use link::client::Client;
use link::client::TimeLimits;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// More than the buffers of a connection on loopback take.
const BODY_BYTES: usize = 32 << 20;

/// A call that was given up must not be delivered later, for example once a cut has healed: what it asks for
/// may have been done another way meanwhile.
#[tokio::test]
async fn what_is_left_of_a_call_that_was_given_up_is_not_sent_any_more() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address").to_string();
            let address: Arc<str> = address.into();
            let body = Full::new(Bytes::from(vec![0; BODY_BYTES]));
            let request = Request::post("/").body(body).expect("a valid request");
            let limits = TimeLimits::total(Duration::from_millis(200));

            let client = Client::new();
            let call = client.call(&address, request, limits);
            let (accepted, result) = tokio::join!(listener.accept(), call);
            assert!(matches!(result, Err(CallError::Unanswered)), "{result:?}");

            let (mut stream, _) = accepted.expect("a connection");
            let mut received = Vec::new();
            let read =
                tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut received));
            let read = read.await.expect("the connection ends");
            assert!(read.is_err(), "{} bytes and no reset", received.len());
        })
        .await;
}
