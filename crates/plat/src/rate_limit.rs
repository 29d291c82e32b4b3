//! Keeps a daemon's own reads and writes under its share of the table's rate.
//!
//! After a long outage everything that waited wants to be written at once, by all daemons. The
//! platform carries several hundred writes and about 2,000 reads a second in all, so each daemon
//! holds back its own; leases and heartbeats go first. See "Rates" in `docs/PLATFORM.md`.

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

/// What one unit of work costs in the bucket's own unit; a rate per second refills this per ms.
const TOKENS_PER_UNIT: u64 = 1000;
/// How many rows a scan reads at the cost of one read.
const SCAN_ROWS_PER_READ: usize = 100;

/// A token bucket that keeps part of its burst for urgent work.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: u64,
    burst: u64,
    reserve: u64,
    tokens: u64,
    refilled_at: Mono,
}

impl TokenBucket {
    /// Makes a full bucket of `burst` units that gains `rate_per_s` units a second, of which
    /// ordinary work leaves `reserve` to urgent work; rate and burst are at least 1, and the
    /// reserve is below the burst.
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

    /// Changes the rate, the burst and the reserve; what was gained so far stays, up to the new burst.
    pub fn reconfigure(&mut self, rate_per_s: u32, burst: u32, reserve: u32, now: Mono) {
        self.refill(now);
        let level = self.tokens;
        *self = Self::new(rate_per_s, burst, reserve, now);
        self.tokens = self.tokens.min(level);
    }

    /// Takes `units`, or returns how long to wait before it is worth asking again.
    ///
    /// Work that is larger than the bucket takes all that it may at once.
    ///
    /// # Errors
    ///
    /// Returns the wait if the level is too low.
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
        let gained = now
            .0
            .saturating_sub(self.refilled_at.0)
            .saturating_mul(self.rate_per_s);
        self.tokens = self.tokens.saturating_add(gained).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Whether work may use the reserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Urgency {
    /// Leases and heartbeats: a late one costs ownership.
    Urgent,
    /// Everything else.
    Ordinary,
}

/// The share of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RateLimits {
    /// Rows written a second.
    pub writes_per_s: u32,
    /// Reads a second.
    pub reads_per_s: u32,
    /// How many seconds of either rate may be used at once after a quiet time.
    pub burst_s: u32,
    /// How much of the burst ordinary work leaves to urgent work, in percent.
    pub reserve_percent: u32,
    /// The longest that a call waits for its turn before it is refused.
    pub max_wait: Duration,
    /// The prefixes of the keys whose writes and reads are urgent.
    pub urgent_prefixes: Vec<String>,
}

impl RateLimits {
    /// What the table carries for all daemons together, in rows written a second.
    pub const TOTAL_WRITES_PER_S: u32 = 300;
    /// What the table carries for all daemons together, in reads a second.
    pub const TOTAL_READS_PER_S: u32 = 2000;

    /// Returns the share of one of `daemons` daemons.
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

    /// Returns the burst of a rate and the part of it that is kept for urgent work.
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

/// One bucket with two queues before it, each first come, first served.
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

    /// Waits for its turn; a call that waited too long is refused, since nothing of it was sent.
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
        let _first = queue.lock().await;
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
        let urgent = txn
            .writes
            .iter()
            .any(|write| self.limits.urgency(&write.key) == Urgency::Urgent);
        let urgency = if urgent {
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

/// The limits of one daemon, which change as daemons come and go; clones share them.
#[derive(Clone)]
pub struct RateLimiter {
    buckets: Arc<TableBuckets>,
}

impl RateLimiter {
    /// Makes the limits.
    #[must_use]
    pub fn new(limits: RateLimits) -> Self {
        Self {
            buckets: Arc::new(TableBuckets::new(limits)),
        }
    }

    /// Changes the rates to the share of one of `daemons` daemons.
    pub fn set_daemon_count(&self, daemons: u32) {
        let limits = RateLimits::per_daemon(daemons);
        self.buckets
            .writes
            .reconfigure(&limits, limits.writes_per_s);
        self.buckets.reads.reconfigure(&limits, limits.reads_per_s);
    }

    /// Wraps a table so that calls wait until the limits allow them, see [`rate_limited`].
    #[must_use]
    pub fn wrap(&self, table: Table) -> Table {
        wrap_table(table, &self.buckets)
    }
}

/// Wraps a table so that calls wait until the limits allow them.
///
/// A call that waits longer than [`RateLimits::max_wait`] is refused: it had no effect. The wait counts
/// against the caller's own deadline and not against that of the table's client.
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
