//! Limits a daemon's reads and writes to its share of the table's throughput.
//!
//! After a long outage all daemons try to write their whole backlog at once. The platform supports
//! several hundred writes and about 2,000 reads per second in total, so each daemon limits its own
//! rate and gives priority to leases and heartbeats. See "Rates" in `docs/PLATFORM.md`.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use model::Clock;
use model::Mono;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::call::call;
use crate::error::CallError;
use crate::table::Scan;
use crate::table::Table;
use crate::table::Txn;

/// The tokens that one unit of work costs, so that a rate of units per second is equal to the
/// tokens that are added per millisecond.
const TOKENS_PER_UNIT: u64 = 1000;
/// The number of rows that a scan may request at the cost of one read.
const SCAN_ROWS_PER_READ: usize = 100;

/// A token bucket that reserves part of its burst for urgent work.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: u64,
    burst: u64,
    reserve: u64,
    tokens: u64,
    refilled_at: Mono,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` units, to which `rate_per_s` units are added per second.
    /// Ordinary work leaves `reserve` units for urgent work. The rate and the burst are raised to
    /// at least 1, and the reserve is limited to less than the burst.
    #[must_use]
    pub fn new(rate_per_s: u32, burst: u32, reserve: u32, now: Mono) -> Self {
        let burst = u64::from(burst.max(1));
        Self {
            rate_per_s: u64::from(rate_per_s.max(1)),
            burst: burst * TOKENS_PER_UNIT,
            reserve: u64::from(reserve).min(burst - 1) * TOKENS_PER_UNIT,
            tokens: burst * TOKENS_PER_UNIT,
            refilled_at: now,
        }
    }

    /// Changes the rate, the burst and the reserve. The available tokens are retained, up to the
    /// new burst.
    pub fn reconfigure(&mut self, rate_per_s: u32, burst: u32, reserve: u32, now: Mono) {
        self.refill(now);
        let tokens = self.tokens;
        *self = Self::new(rate_per_s, burst, reserve, now);
        self.tokens = self.tokens.min(tokens);
    }

    /// Takes the tokens for `units` units of work.
    ///
    /// The cost of work that is larger than the bucket is limited to all tokens available to its
    /// urgency.
    ///
    /// # Errors
    ///
    /// Returns the wait until the next attempt if there are not enough tokens.
    pub fn try_take(&mut self, units: u32, urgency: Urgency, now: Mono) -> Result<(), Duration> {
        self.refill(now);
        let floor = match urgency {
            Urgency::Urgent => 0,
            Urgency::Ordinary => self.reserve,
        };
        let cost = (u64::from(units) * TOKENS_PER_UNIT).min(self.burst - floor);
        if self.tokens >= floor + cost {
            self.tokens -= cost;
            return Ok(());
        }
        let missing = floor + cost - self.tokens;
        Err(Duration::from_millis(missing.div_ceil(self.rate_per_s)))
    }

    fn refill(&mut self, now: Mono) {
        let added = now
            .0
            .saturating_sub(self.refilled_at.0)
            .saturating_mul(self.rate_per_s);
        self.tokens = self.tokens.saturating_add(added).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// The priority of work, which determines whether it may use the reserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Urgency {
    /// Leases and heartbeats, whose delay can cause the loss of ownership; may use the reserve.
    Urgent,
    /// All other work; may not use the reserve.
    Ordinary,
}

/// The rate limits of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RateLimits {
    /// The number of rows written per second.
    pub writes_per_s: u32,
    /// The number of reads per second.
    pub reads_per_s: u32,
    /// The size of a burst after an idle period, in seconds of either rate.
    pub burst_s: u32,
    /// The part of the burst that is reserved for urgent work, in percent.
    pub reserve_percent: u32,
    /// The longest wait of a call for the rate limit, after which it is refused.
    pub max_wait: Duration,
    /// The key prefixes whose reads and writes are urgent.
    pub urgent_prefixes: Vec<String>,
}

impl RateLimits {
    /// The load that the table supports from all daemons together, in rows written per second.
    pub const TOTAL_WRITES_PER_S: u32 = 300;
    /// The load that the table supports from all daemons together, in reads per second.
    pub const TOTAL_READS_PER_S: u32 = 2000;

    /// Returns the limits of each daemon if there are `daemons` of them.
    #[must_use]
    pub fn per_daemon(daemons: u32) -> Self {
        let daemons = daemons.max(1);
        Self {
            writes_per_s: (Self::TOTAL_WRITES_PER_S / daemons).max(1),
            reads_per_s: (Self::TOTAL_READS_PER_S / daemons).max(1),
            burst_s: 1,
            reserve_percent: 25,
            max_wait: Duration::from_secs(5),
            urgent_prefixes: vec!["member/".to_owned(), "shard/".to_owned()],
        }
    }

    fn urgency(&self, key: &str) -> Urgency {
        if self
            .urgent_prefixes
            .iter()
            .any(|prefix| key.starts_with(prefix))
        {
            Urgency::Urgent
        } else {
            Urgency::Ordinary
        }
    }

    /// Returns the burst of a rate and the part of it that is reserved for urgent work.
    fn burst(&self, rate_per_s: u32) -> (u32, u32) {
        let burst = rate_per_s.saturating_mul(self.burst_s);
        let reserve = u64::from(burst) * u64::from(self.reserve_percent) / 100;
        (burst, u32::try_from(reserve).unwrap_or(u32::MAX))
    }

    fn bucket(&self, rate_per_s: u32, now: Mono) -> TokenBucket {
        let (burst, reserve) = self.burst(rate_per_s);
        TokenBucket::new(rate_per_s, burst, reserve, now)
    }
}

/// A token bucket with one FIFO queue per urgency.
struct QueuedBucket {
    clock: Clock,
    bucket: Mutex<TokenBucket>,
    urgent: tokio::sync::Mutex<()>,
    ordinary: tokio::sync::Mutex<()>,
    max_wait: Duration,
}

impl QueuedBucket {
    fn new(clock: Clock, bucket: TokenBucket, max_wait: Duration) -> Self {
        Self {
            clock,
            bucket: Mutex::new(bucket),
            urgent: tokio::sync::Mutex::new(()),
            ordinary: tokio::sync::Mutex::new(()),
            max_wait,
        }
    }

    /// Waits for the tokens of a call. The call is refused after [`RateLimits::max_wait`], since
    /// nothing has been sent yet.
    async fn acquire(&self, units: usize, urgency: Urgency) -> Result<(), CallError> {
        let units = u32::try_from(units).unwrap_or(u32::MAX).max(1);
        timeout(self.max_wait, self.wait_for_tokens(units, urgency))
            .await
            .map_err(|_| CallError::Refused("own rate limit".to_owned()))
    }

    async fn wait_for_tokens(&self, units: u32, urgency: Urgency) {
        let queue = match urgency {
            Urgency::Urgent => &self.urgent,
            Urgency::Ordinary => &self.ordinary,
        };
        let _queue_guard = queue.lock().await;
        while let Err(wait) = self.try_take(units, urgency) {
            sleep(wait).await;
        }
    }

    fn try_take(&self, units: u32, urgency: Urgency) -> Result<(), Duration> {
        self.lock().try_take(units, urgency, self.clock.now())
    }

    fn reconfigure(&self, limits: &RateLimits, rate_per_s: u32) {
        let (burst, reserve) = limits.burst(rate_per_s);
        self.lock()
            .reconfigure(rate_per_s, burst, reserve, self.clock.now());
    }

    fn lock(&self) -> MutexGuard<'_, TokenBucket> {
        self.bucket.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct TableBuckets {
    limits: RateLimits,
    writes: QueuedBucket,
    reads: QueuedBucket,
}

impl TableBuckets {
    fn new(limits: RateLimits) -> Self {
        let clock = Clock::start();
        let writes = limits.bucket(limits.writes_per_s, clock.now());
        let reads = limits.bucket(limits.reads_per_s, clock.now());
        Self {
            writes: QueuedBucket::new(clock, writes, limits.max_wait),
            reads: QueuedBucket::new(clock, reads, limits.max_wait),
            limits,
        }
    }

    async fn acquire_write(&self, txn: &Txn) -> Result<(), CallError> {
        let is_urgent = txn
            .writes
            .iter()
            .any(|write| self.limits.urgency(&write.key) == Urgency::Urgent);
        let urgency = if is_urgent {
            Urgency::Urgent
        } else {
            Urgency::Ordinary
        };
        self.writes.acquire(txn.writes.len(), urgency).await
    }

    async fn acquire_read(&self, key: &str) -> Result<(), CallError> {
        self.reads.acquire(1, self.limits.urgency(key)).await
    }

    async fn acquire_scan(&self, scan: &Scan) -> Result<(), CallError> {
        let units = scan.limit.div_ceil(SCAN_ROWS_PER_READ);
        self.reads
            .acquire(units, self.limits.urgency(&scan.prefix))
            .await
    }
}

/// The rate limiter of one daemon, whose limits depend on the number of daemons; clones share it.
#[derive(Clone)]
pub struct RateLimiter {
    buckets: Arc<TableBuckets>,
}

impl RateLimiter {
    /// Creates a rate limiter.
    #[must_use]
    pub fn new(limits: RateLimits) -> Self {
        Self {
            buckets: Arc::new(TableBuckets::new(limits)),
        }
    }

    /// Changes the rates to those of one of `daemons` daemons.
    pub fn set_daemon_count(&self, daemons: u32) {
        let limits = RateLimits::per_daemon(daemons);
        self.buckets
            .writes
            .reconfigure(&limits, limits.writes_per_s);
        self.buckets.reads.reconfigure(&limits, limits.reads_per_s);
    }

    /// Wraps a table so that its calls wait for the rate limit, see [`rate_limited`].
    #[must_use]
    pub fn wrap(&self, table: Table) -> Table {
        wrap_table(table, &self.buckets)
    }
}

/// Wraps a table so that its calls wait for the rate limit.
///
/// A call that waits longer than [`RateLimits::max_wait`] is refused and has no effect. The wait
/// counts towards the caller's own deadline, but not towards the timeout of the table's client.
#[must_use]
pub fn rate_limited(table: Table, limits: RateLimits) -> Table {
    RateLimiter::new(limits).wrap(table)
}

fn wrap_table(table: Table, buckets: &Arc<TableBuckets>) -> Table {
    let [writes, reads, scans] = [buckets.clone(), buckets.clone(), buckets.clone()];
    Table {
        commit: call(move |txn: Txn| {
            let (buckets, commit) = (writes.clone(), table.commit.clone());
            async move {
                buckets.acquire_write(&txn).await?;
                commit(txn).await
            }
        }),
        read: call(move |key: String| {
            let (buckets, read) = (reads.clone(), table.read.clone());
            async move {
                buckets.acquire_read(&key).await?;
                read(key).await
            }
        }),
        scan: call(move |page: Scan| {
            let (buckets, scan) = (scans.clone(), table.scan.clone());
            async move {
                buckets.acquire_scan(&page).await?;
                scan(page).await
            }
        }),
    }
}
