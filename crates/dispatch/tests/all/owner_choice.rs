//! Which of several hosts of different capacity owns the executors.

use std::time::Duration;

use dispatch::node::HostCapacity;

use crate::world::World;

const SECOND: Duration = Duration::from_secs(1);
const POWERFUL: &str = "powerful";
const WEAK: &str = "weak";
/// How long hosts may wait for the document when they start, in milliseconds.
const DOCUMENT_DELAYS_MS: [u64; 7] = [0, 150, 300, 450, 600, 750, 900];
/// The cores of the powerful host; the weak one has a quarter of them.
const CORES: [f64; 5] = [1.0, 0.5, 0.25, 0.16, 0.12];

const fn capacity(cores: f64) -> HostCapacity {
    HostCapacity {
        cores,
        link_mbps: 200.0,
    }
}

/// LOST at a third of the processors: each host that was due to claim before it had read the
/// document began its wait anew, so that a host with a quarter of its processor was first.
#[tokio::test(start_paused = true)]
async fn the_most_powerful_host_owns_the_executors_however_late_the_document_arrives() {
    let mut failures = Vec::new();
    for cores in CORES {
        for delay_ms in DOCUMENT_DELAYS_MS {
            let world = World::new(1);
            world
                .document
                .transfers_last(Duration::from_millis(delay_ms));
            world.start_with(POWERFUL, Duration::ZERO, capacity(cores));
            world.start_with(WEAK, Duration::ZERO, capacity(cores / 4.0));
            world.advance(5 * SECOND).await;
            let owner = world.owner();
            if owner.as_deref() != Some(POWERFUL) {
                failures.push((cores, delay_ms, owner));
            }
        }
    }
    assert!(
        failures.is_empty(),
        "(cores, delay of the document in ms, owner): {failures:?}"
    );
}
