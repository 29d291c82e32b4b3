//! Connection limits and shutdown of the server loop.

use std::time::Duration;

use http::Response;
use http_body_util::Full;
use link::server::ServerLimits;
use link::server::serve;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio_util::sync::CancellationToken;

const LIMITS: ServerLimits = ServerLimits {
    max_connections: 1,
    idle_timeout: Duration::from_secs(60),
    header_timeout: Duration::from_secs(60),
    max_header_bytes: 16 << 10,
};
/// Fails a test that would otherwise hang.
const LIMIT: Duration = Duration::from_secs(60);

/// The only connection is busy with a request, so that the server waits for a free one when it is
/// stopped. New connections have to be refused at once, not once the request is answered.
#[tokio::test]
async fn a_stopping_server_with_all_connections_taken_closes_its_listener_at_once() {
    let local = LocalSet::new();
    let test = local.run_until(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("an address");
        let stop = CancellationToken::new();
        let finish = CancellationToken::new();
        let finished = finish.clone();
        let server = tokio::task::spawn_local(serve(listener, LIMITS, stop.clone(), move |_| {
            let finished = finished.clone();
            async move {
                finished.cancelled().await;
                Response::new(Full::default())
            }
        }));
        let mut busy = TcpStream::connect(address).await.expect("connect");
        busy.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            .await
            .expect("send a request");
        // A second connection is accepted by the kernel and waits in the backlog.
        let waiting = TcpStream::connect(address).await.expect("connect");
        stop.cancel();
        while TcpStream::connect(address).await.is_ok() {
            tokio::task::yield_now().await;
        }
        finish.cancel();
        let mut response = Vec::new();
        busy.read_to_end(&mut response).await.expect("a response");
        assert!(
            response.starts_with(b"HTTP/1.1 200"),
            "the request is answered"
        );
        drop(waiting);
        server.await.expect("the server ends");
    });
    tokio::time::timeout(LIMIT, test)
        .await
        .expect("the listener is closed");
}
