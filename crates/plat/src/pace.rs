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
const UNIT: u64 = 1000;
/// How many rows a scan reads at the cost of one read.
const SCAN_ROWS_PER_READ: usize = 100;

/// A token bucket that keeps part of its burst for urgent work.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate_per_s: u64,
    burst: u64,
    reserve: u64,
    level: u64,
    filled_at: Mono,
}

impl Bucket {
    /// Makes a full bucket of `burst` units that gains `rate_per_s` units a second, of which
    /// ordinary work leaves `reserve` to urgent work; rate and burst are at least 1, and the
    /// reserve is below the burst.
    #[must_use]
    pub fn new(rate_per_s: u32, burst: u32, reserve: u32, now: Mono) -> Self {
        let burst = u64::from(burst.max(1));
        Self {
            rate_per_s: u64::from(rate_per_s.max(1)),
            burst: burst * UNIT,
            reserve: u64::from(reserve).min(burst - 1) * UNIT,
            level: burst * UNIT,
            filled_at: now,
        }
    }

    /// Changes the rate, the burst and the reserve; what was gained so far stays, up to the new burst.
    pub fn change(&mut self, rate_per_s: u32, burst: u32, reserve: u32, now: Mono) {
        self.fill(now);
        let level = self.level;
        *self = Self::new(rate_per_s, burst, reserve, now);
        self.level = self.level.min(level);
    }

    /// Takes `units`, or returns how long to wait before it is worth asking again.
    ///
    /// Work that is larger than the bucket takes all that it may at once.
    ///
    /// # Errors
    ///
    /// Returns the wait if the level is too low.
    pub fn take(&mut self, units: u32, urgency: Urgency, now: Mono) -> Result<(), Duration> {
        self.fill(now);
        let floor = match urgency {
            Urgency::Urgent => 0,
            Urgency::Ordinary => self.reserve,
        };
        let cost = (u64::from(units) * UNIT).min(self.burst - floor);
        if self.level >= floor + cost {
            self.level -= cost;
            return Ok(());
        }
        let missing = floor + cost - self.level;
        Err(Duration::from_millis(missing.div_ceil(self.rate_per_s)))
    }

    fn fill(&mut self, now: Mono) {
        let gained = now
            .0
            .saturating_sub(self.filled_at.0)
            .saturating_mul(self.rate_per_s);
        self.level = self.level.saturating_add(gained).min(self.burst);
        self.filled_at = self.filled_at.max(now);
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
pub struct Limits {
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

impl Limits {
    /// What the table carries for all daemons together, in rows written a second.
    pub const TOTAL_WRITES_PER_S: u32 = 300;
    /// What the table carries for all daemons together, in reads a second.
    pub const TOTAL_READS_PER_S: u32 = 2000;

    /// Returns the share of one of `daemons` daemons.
    #[must_use]
    pub fn share(daemons: u32) -> Self {
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

    fn bucket(&self, rate_per_s: u32, now: Mono) -> Bucket {
        let (burst, reserve) = self.burst(rate_per_s);
        Bucket::new(rate_per_s, burst, reserve, now)
    }
}

/// One bucket with two queues before it, each first come, first served.
struct Gate {
    clock: Clock,
    bucket: Mutex<Bucket>,
    urgent: tokio::sync::Mutex<()>,
    ordinary: tokio::sync::Mutex<()>,
    max_wait: Duration,
}

impl Gate {
    fn new(clock: Clock, bucket: Bucket, max_wait: Duration) -> Self {
        Self {
            clock,
            bucket: Mutex::new(bucket),
            urgent: tokio::sync::Mutex::new(()),
            ordinary: tokio::sync::Mutex::new(()),
            max_wait,
        }
    }

    /// Waits for its turn; a call that waited too long is refused, since nothing of it was sent.
    async fn pass(&self, units: usize, urgency: Urgency) -> Result<(), CallError> {
        let units = u32::try_from(units).unwrap_or(u32::MAX).max(1);
        timeout(self.max_wait, self.turn(units, urgency))
            .await
            .map_err(|_| CallError::Refused("own rate limit".to_owned()))
    }

    async fn turn(&self, units: u32, urgency: Urgency) {
        let queue = match urgency {
            Urgency::Urgent => &self.urgent,
            Urgency::Ordinary => &self.ordinary,
        };
        let _first = queue.lock().await;
        while let Err(wait) = self.take(units, urgency) {
            sleep(wait).await;
        }
    }

    fn take(&self, units: u32, urgency: Urgency) -> Result<(), Duration> {
        self.lock().take(units, urgency, self.clock.now())
    }

    fn change(&self, limits: &Limits, rate_per_s: u32) {
        let (burst, reserve) = limits.burst(rate_per_s);
        self.lock()
            .change(rate_per_s, burst, reserve, self.clock.now());
    }

    fn lock(&self) -> MutexGuard<'_, Bucket> {
        self.bucket.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Gates {
    limits: Limits,
    writes: Gate,
    reads: Gate,
}

impl Gates {
    fn new(limits: Limits) -> Self {
        let clock = Clock::start();
        let writes = limits.bucket(limits.writes_per_s, clock.now());
        let reads = limits.bucket(limits.reads_per_s, clock.now());
        Self {
            writes: Gate::new(clock, writes, limits.max_wait),
            reads: Gate::new(clock, reads, limits.max_wait),
            limits,
        }
    }

    async fn write(&self, txn: &Txn) -> Result<(), CallError> {
        let urgent = txn
            .writes
            .iter()
            .any(|write| self.limits.urgency(&write.key) == Urgency::Urgent);
        let urgency = if urgent {
            Urgency::Urgent
        } else {
            Urgency::Ordinary
        };
        self.writes.pass(txn.writes.len(), urgency).await
    }

    async fn read(&self, key: &str) -> Result<(), CallError> {
        self.reads.pass(1, self.limits.urgency(key)).await
    }

    async fn scan(&self, scan: &Scan) -> Result<(), CallError> {
        let units = scan.limit.div_ceil(SCAN_ROWS_PER_READ);
        self.reads
            .pass(units, self.limits.urgency(&scan.prefix))
            .await
    }
}

/// The limits of one daemon, which change as daemons come and go; clones share them.
#[derive(Clone)]
pub struct Pace {
    gates: Arc<Gates>,
}

impl Pace {
    /// Makes the limits.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            gates: Arc::new(Gates::new(limits)),
        }
    }

    /// Changes the rates to the share of one of `daemons` daemons.
    pub fn share(&self, daemons: u32) {
        let limits = Limits::share(daemons);
        self.gates.writes.change(&limits, limits.writes_per_s);
        self.gates.reads.change(&limits, limits.reads_per_s);
    }

    /// Wraps a table so that calls wait until the limits allow them, see [`table`].
    #[must_use]
    pub fn table(&self, table: Table) -> Table {
        wrap(table, &self.gates)
    }
}

/// Wraps a table so that calls wait until the limits allow them.
///
/// A call that waits longer than [`Limits::max_wait`] is refused: it had no effect. The wait counts
/// against the caller's own deadline and not against that of the table's client.
#[must_use]
pub fn table(table: Table, limits: Limits) -> Table {
    Pace::new(limits).table(table)
}

fn wrap(table: Table, gates: &Arc<Gates>) -> Table {
    let [writes, reads, scans] = [gates.clone(), gates.clone(), gates.clone()];
    Table {
        commit: call(move |txn: Txn| {
            let (gates, commit) = (writes.clone(), table.commit.clone());
            async move {
                gates.write(&txn).await?;
                commit(txn).await
            }
        }),
        read: call(move |key: String| {
            let (gates, read) = (reads.clone(), table.read.clone());
            async move {
                gates.read(&key).await?;
                read(key).await
            }
        }),
        scan: call(move |page: Scan| {
            let (gates, scan) = (scans.clone(), table.scan.clone());
            async move {
                gates.scan(&page).await?;
                scan(page).await
            }
        }),
    }
}
