//! Executors over HTTP, with responses read as raw bytes.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use fake::executor::BUSY;
use fake::executor::FakeExecutor;
use fake::executor::LEAVING;
use fake::executor::RunLedger;
use fake::faults::Fault;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The end of the body of a complete response with 8 bytes of filler.
const BODY_END: &str = "\"filler\":\"xxxxxxxx\"}";
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

async fn send(address: SocketAddr, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the executor accepts connections");
    let req = format!(
        "POST /plan/visit?day=1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         ff-request-id: {id}\r\ncontent-length: 3\r\n\r\nabc"
    );
    stream
        .write_all(req.as_bytes())
        .await
        .expect("the request is sent");
    stream
}

async fn receive(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    let _read_result = stream.read_to_end(&mut text).await;
    String::from_utf8(text).expect("responses are text")
}

async fn exchange(address: SocketAddr, id: &str) -> String {
    receive(send(address, id).await).await
}

/// Waits until `condition` holds; a test whose condition never holds does not end.
async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn each_fault_is_visible_to_the_client_and_in_the_ledger() {
    // The fault, the parts that the response contains, a part that it must not contain, and the
    // number of runs of the request.
    let redirect = Fault::Redirect("http://x/".to_owned());
    let success = "200 OK|ff-request-id: id-1|/plan/visit?day=1|\"received\":3";
    let cases = [
        (None, success, "\0", 1),
        (None, BODY_END, "\0", 1),
        (Some(Fault::LostBefore), "", "HTTP", 0),
        (Some(Fault::LostAfter), "", "HTTP", 1),
        (Some(Fault::Down), "", "HTTP", 0),
        (Some(Fault::CutShort), "200 OK|\"executor\"", BODY_END, 1),
        (Some(Fault::CutAfterHead), "200 OK", "\"executor\"", 1),
        (Some(Fault::WrongId), BODY_END, "ff-request-id: id-1", 1),
        (Some(Fault::Refused), "503 |ff-refused: ", "200 OK", 0),
        (Some(Fault::Failure), "500 |id-1", "ff-refused", 1),
        (Some(Fault::Twice), BODY_END, "\0", 2),
        (Some(redirect), "307 |location: http://x/", BODY_END, 0),
    ];
    for (fault, contains, lacks, runs) in cases {
        let ledger = RunLedger::new();
        let executor = FakeExecutor::new("executor-1", 8, &ledger);
        executor.set_filler(8);
        if let Some(fault) = &fault {
            executor.faults().set_next(fault.clone(), 1);
        }
        let server = executor.serve(LOOPBACK).await.expect("a port is free");
        let text = exchange(server.address(), "id-1").await;
        for part in contains.split('|') {
            assert!(text.contains(part), "{fault:?}: no {part} in {text}");
        }
        assert!(!text.contains(lacks), "{fault:?}: {lacks} in {text}");
        assert_eq!(ledger.runs("id-1"), runs, "{fault:?}");
        assert_eq!(ledger.repeated().len(), usize::from(runs > 1), "{fault:?}");
    }
}

#[tokio::test]
async fn a_request_beyond_the_slots_is_refused_and_certainly_not_run() {
    let ledger = RunLedger::new();
    let executor = FakeExecutor::new("executor-1", 1, &ledger);
    executor.set_delay(|_| Duration::from_secs(3600));
    let server = executor.serve(LOOPBACK).await.expect("a port is free");
    let _running = send(server.address(), "id-1").await;
    wait_until(|| executor.running() == 1).await;
    let text = exchange(server.address(), "id-2").await;
    assert!(
        text.contains("503 ") && text.contains(&format!("ff-refused: {BUSY}")),
        "{text}"
    );
    assert_eq!((ledger.runs("id-1"), ledger.runs("id-2")), (1, 0));
    assert_eq!(executor.max_running(), 1);
}

#[tokio::test]
async fn a_connection_beyond_the_limit_is_closed_unanswered() {
    let ledger = RunLedger::new();
    let executor = FakeExecutor::new("executor-1", 8, &ledger);
    executor.set_max_connections(1);
    executor.set_delay(|req| match req.id.as_str() {
        "id-1" => Duration::from_secs(3600),
        _ => Duration::ZERO,
    });
    let server = executor.serve(LOOPBACK).await.expect("a port is free");
    let _running = send(server.address(), "id-1").await;
    wait_until(|| executor.running() == 1).await;
    let mut second = TcpStream::connect(server.address())
        .await
        .expect("the connection is accepted");
    let req = "GET / HTTP/1.1\r\nhost: x\r\nff-request-id: id-2\r\n\r\n";
    let _closed_already = second.write_all(req.as_bytes()).await;
    assert!(!matches!(second.read(&mut [0]).await, Ok(1..)));
    assert_eq!(ledger.requests(), 1);
}

#[tokio::test]
async fn a_leaving_executor_refuses_new_requests_and_finishes_those_in_progress() {
    let ledger = RunLedger::new();
    let executor = FakeExecutor::new("executor-1", 8, &ledger);
    executor.set_delay(|_| Duration::from_millis(20));
    let server = executor.serve(LOOPBACK).await.expect("a port is free");
    let running = send(server.address(), "id-1").await;
    wait_until(|| executor.running() == 1).await;
    executor.set_leaving(true);
    let refused = exchange(server.address(), "id-2").await;
    assert!(
        refused.contains(&format!("ff-refused: {LEAVING}")),
        "{refused}"
    );
    let answered = receive(running).await;
    assert!(answered.contains("200 OK"), "{answered}");
    assert_eq!(ledger.runs("id-2"), 0);
}

#[tokio::test]
async fn a_run_continues_and_occupies_its_slot_after_the_caller_disconnects() {
    let ledger = RunLedger::new();
    let executor = FakeExecutor::new("executor-1", 1, &ledger);
    executor.set_delay(|_| Duration::from_millis(20));
    let server = executor.serve(LOOPBACK).await.expect("a port is free");
    let caller = send(server.address(), "id-1").await;
    wait_until(|| ledger.runs("id-1") == 1).await;
    drop(caller);
    wait_until(|| ledger.finished("id-1") == 1).await;
    assert_eq!(ledger.runs("id-1"), 1);
}
