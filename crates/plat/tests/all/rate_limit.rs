use std::time::Duration;

use fake::table::FakeTable;
use futures::future::join_all;
use model::Mono;
use plat::error::CallError;
use plat::rate_limit;
use plat::rate_limit::RateLimiter;
use plat::rate_limit::RateLimits;
use plat::rate_limit::TokenBucket;
use plat::rate_limit::Urgency;
use plat::table::Table;
use plat::table::TableError;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use tokio::time::Instant;
use tokio::time::advance;

use crate::support::txn;

const SEED: u64 = 20_261_203;
const GEN_SIZE: usize = 200;
const RATE: u32 = 20;
const BURST: u32 = 40;
const RESERVE: u32 = 10;

#[test]
fn no_sequence_of_calls_exceeds_the_rate_and_waits_are_long_enough() {
    fn property(calls: Vec<(u8, u8, bool)>) -> bool {
        let mut bucket = TokenBucket::new(RATE, BURST, RESERVE, Mono::ZERO);
        let mut now = Mono::ZERO;
        let mut taken_tokens = 0;
        for (pause_ms, units, urgent) in calls {
            now = now.after(Duration::from_millis(u64::from(pause_ms)));
            let urgency = if urgent {
                Urgency::Urgent
            } else {
                Urgency::Ordinary
            };
            // At most the burst without the reserve, so that the cost is never limited.
            let units = u32::from(units) % (BURST - RESERVE);
            if let Err(wait) = bucket.clone().try_take(units, urgency, now) {
                now = now.after(wait);
            }
            if bucket.try_take(units, urgency, now).is_err() {
                return false;
            }
            taken_tokens += u64::from(units) * 1000;
            if taken_tokens > u64::from(BURST) * 1000 + now.0 * u64::from(RATE) {
                return false;
            }
        }
        true
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .quickcheck(property as fn(Vec<(u8, u8, bool)>) -> bool);
}

#[test]
fn ordinary_work_leaves_the_reserve_and_a_stalled_clock_adds_no_tokens() {
    let mut bucket = TokenBucket::new(RATE, BURST, RESERVE, Mono(1000));
    let ordinary = BURST - RESERVE;
    assert_eq!(
        bucket.try_take(ordinary, Urgency::Ordinary, Mono(1000)),
        Ok(())
    );
    let one_unit = Duration::from_millis(1000 / u64::from(RATE));
    assert_eq!(
        bucket.try_take(1, Urgency::Ordinary, Mono(1000)),
        Err(one_unit)
    );
    assert_eq!(bucket.try_take(RESERVE, Urgency::Urgent, Mono(0)), Ok(()));
    assert_eq!(
        bucket.try_take(1, Urgency::Urgent, Mono(1000)),
        Err(one_unit)
    );
    assert_eq!(bucket.try_take(1, Urgency::Urgent, Mono(1050)), Ok(()));
}

fn limited_table(fake: &FakeTable) -> Table {
    let limits = RateLimits {
        writes_per_s: 10,
        reads_per_s: 10,
        burst_s: 1,
        reserve_percent: 20,
        max_wait: Duration::from_secs(5),
        urgent_prefixes: vec!["member/".to_owned()],
    };
    rate_limit::rate_limited(fake.direct(), limits)
}

#[tokio::test(start_paused = true)]
async fn a_backlog_is_written_at_the_rate_and_calls_past_the_longest_wait_are_refused_unsent() {
    let fake = FakeTable::new();
    let table = limited_table(&fake);
    let keys: Vec<_> = (0..200).map(|number| format!("task/a/{number}")).collect();
    let writes = keys.iter().map(|key| (table.commit)(txn(key, key, 0)));
    let started = Instant::now();
    let outcomes = join_all(writes).await;
    assert!(started.elapsed() <= Duration::from_secs(5));
    let written = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
    // The burst without its reserve, and five seconds at the rate.
    assert_eq!(written, 8 + 50);
    assert_eq!(fake.rows().commits(), 58);
    let refused =
        |outcome: &Result<_, _>| matches!(outcome, Err(TableError::Call(CallError::Refused(_))));
    assert_eq!(
        outcomes.iter().filter(|outcome| refused(outcome)).count(),
        142
    );
}

#[tokio::test(start_paused = true)]
async fn waiting_calls_use_the_new_rate_when_the_daemon_count_changes() {
    let fake = FakeTable::new();
    let limiter = RateLimiter::new(RateLimits::per_daemon(30));
    let table = limiter.wrap(fake.direct());
    for number in 0..600 {
        let key = format!("task/a/{number}");
        tokio::spawn((table.commit)(txn(&key, &key, 0)));
    }
    advance(Duration::from_secs(1)).await;
    tokio::time::sleep(Duration::from_millis(1)).await;
    let before = fake.rows().commits();
    assert!(
        before <= 20,
        "one thirtieth of 300 per second, plus its burst: {before}"
    );
    limiter.set_daemon_count(3);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let since = fake.rows().commits() - before;
    // Two seconds at a third of 300 per second, minus the 25 that fill the reserve first.
    assert!((175..=200).contains(&since), "{since}");
}

#[tokio::test(start_paused = true)]
async fn a_heartbeat_does_not_wait_behind_a_backlog() {
    let fake = FakeTable::new();
    let table = limited_table(&fake);
    for number in 0..100 {
        let key = format!("task/a/{number}");
        tokio::spawn((table.commit)(txn(&key, &key, 0)));
        tokio::spawn((table.read)(key));
    }
    advance(Duration::from_secs(2)).await;
    let started = Instant::now();
    assert!(
        (table.commit)(txn("op-1", "member/daemon-1", 0))
            .await
            .is_ok()
    );
    assert!((table.read)("member/daemon-2".to_owned()).await.is_ok());
    assert_eq!(started.elapsed(), Duration::ZERO);
}

#[test]
fn the_limits_of_all_daemons_stay_within_the_capacity_of_the_platform() {
    for daemons in [1, 6, 9, 40] {
        let limits = RateLimits::per_daemon(daemons);
        assert!(limits.writes_per_s * daemons <= RateLimits::TOTAL_WRITES_PER_S);
        assert!(limits.reads_per_s * daemons <= RateLimits::TOTAL_READS_PER_S);
        assert!(limits.writes_per_s > 0 && limits.reads_per_s > 0);
    }
}
