use std::time::Duration;

use model::Clock;
use model::Mono;

#[tokio::test(start_paused = true)]
async fn clock_follows_the_paused_runtime() {
    let clock = Clock::start();
    tokio::time::advance(Duration::from_millis(1500)).await;
    assert_eq!(clock.now(), Mono(1500));
    assert_eq!(clock.now().since(Mono(500)), Duration::from_secs(1));
}
