use std::collections::BTreeSet;

use model::Size;
use tokio::net::UdpSocket;

use crate::world::World;

/// Enough lines for several reports of all metrics.
const MAX_LINES: usize = 2000;

#[tokio::test(start_paused = true)]
async fn every_listed_metric_arrives() {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let world = World::start(Some(socket.local_addr().unwrap()), |table| table).await;
    world.submit("crest", Size::new(100, 64, 0)).await;
    let mut wanted = BTreeSet::from([
        "members.alive:1|g|#daemon:d1",
        "document.version:1|g|#daemon:d1",
        "document.serve:2|g|#daemon:d1",
        "stage:1|g|#daemon:d1",
        "store.silent_ms:",
        "requests.held:0|g|#daemon:d1",
        "upstream.slots:0|g|#daemon:d1,upstream:planning",
        "upstream.busy:0|g|#daemon:d1,upstream:planning",
        "upstream.waiting:0|g|#daemon:d1,upstream:planning",
        "upstream.borrowed:0|g|#daemon:d1,upstream:planning",
        "upstream.lent:0|g|#daemon:d1,upstream:planning",
        "upstream.ejected:0|g|#daemon:d1,upstream:planning",
        "shards.owned:1|g|#daemon:d1",
        "shards.ownerless:0|g|#daemon:d1",
        "tasks.assigned:0|g|#daemon:d1",
        "tasks.queued:1|g|#daemon:d1",
        "tasks.in_doubt:0|g|#daemon:d1",
        "tasks.unrunnable:1|g|#daemon:d1",
        "workers.known:0|g|#daemon:d1",
        "workers.quarantined:0|g|#daemon:d1",
        "workers.leaving:0|g|#daemon:d1",
    ]);
    let mut buf = [0; 512];
    for _ in 0..MAX_LINES {
        let (len, _) = socket.recv_from(&mut buf).await.unwrap();
        let line = std::str::from_utf8(&buf[..len]).unwrap();
        let line = line.strip_prefix("fireflynotch.").unwrap();
        wanted.retain(|wanted| !line.starts_with(wanted));
        if wanted.is_empty() {
            return;
        }
    }
    panic!("metrics that did not arrive: {wanted:?}");
}

#[tokio::test]
async fn a_counter_reports_each_increment_once() {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let world = World::start(Some(socket.local_addr().unwrap()), |table| table).await;
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{}/nowhere", world.daemon.callers);
    for _ in 0..2 {
        let refused = http.get(&url).send().await.unwrap();
        assert!(!refused.status().is_success());
    }
    // From here on only timers are pending, which the paused clock skips.
    tokio::time::pause();
    let refusals = "fireflynotch.requests.refused:2|c|#daemon:d1,reason:no-route";
    let (mut seen, mut rounds) = (0, 0);
    let mut buf = [0; 512];
    while rounds < 4 {
        let (len, _) = socket.recv_from(&mut buf).await.unwrap();
        let line = std::str::from_utf8(&buf[..len]).unwrap();
        rounds += usize::from(line.starts_with("fireflynotch.stage:"));
        if line.starts_with("fireflynotch.requests.refused:") {
            assert_eq!(line, refusals);
            seen += 1;
        }
    }
    assert_eq!(seen, 1);
}
