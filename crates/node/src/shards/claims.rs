//! Takes shards that nobody owns any more, and starts and ends their owners.

use std::time::Duration;

use lease::ShardOwner;
use lease::claim::Claim;
use lease::claim::Decision;
use lease::claim::Ownership;
use lease::claim::ShardView;
use lease::owner::Event;
use lease::owner::ListedWorker;
use lease::record::ShardRow;
use lease::record::key;
use lease::timing::Timing;
use model::Map;
use model::Mono;
use model::id::RowVersion;
use model::id::ShardId;
use model::place::Place;
use plat::commit::TxnOutcome;
use plat::commit::commit_with_retries;
use plat::table::Row;
use plat::table::scan_all;
use tokio::time::Instant;

use crate::shards::driver::Driver;
use crate::shards::driver::Running;
use crate::shards::input::Input;

/// How long a claim may stay unanswered.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

impl Driver {
    /// Reads the shards' rows in the background.
    pub(super) fn read_shards(&mut self) {
        if self.reading_shards {
            return;
        }
        self.reading_shards = true;
        let cx = self.cx.clone();
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let sent = cx.clock.now();
            let rows = scan_all(&cx.outside.table, key::SHARDS).await.ok();
            if rows.is_some() {
                cx.store_answered(sent);
            }
            // A closed inbox means that the part has ended.
            let _ = tx.send(Input::ShardRows { rows, sent }).await;
        });
    }

    /// Takes in the shards' rows: verifies the own ones, then claims what is free.
    pub(super) fn shard_rows(&mut self, rows: Option<Vec<Row>>, sent: Mono) {
        self.reading_shards = false;
        let reachable = rows.is_some();
        self.store_reachable = reachable;
        let now = self.now();
        for shard in self.running_shards() {
            self.drive(&shard, Event::StoreStatus { reachable }, now);
        }
        let Some(rows) = rows else {
            return;
        };
        let mut by_key: Map<String, Row> =
            rows.into_iter().map(|row| (row.key.clone(), row)).collect();
        for shard in self.running_shards() {
            let row = by_key.get(&key::shard(&shard)).cloned();
            self.drive(&shard, Event::ShardRow { row, sent }, now);
        }
        self.views = self
            .racks()
            .into_iter()
            .map(|rack| view(rack, &mut by_key))
            .collect();
        if !self.giving_back {
            self.claim(now);
        }
    }

    /// The racks of the host list and where each stands.
    fn racks(&self) -> Vec<(ShardId, Place)> {
        let hosts = self.cx.hosts.borrow().clone();
        let racks = hosts
            .workers
            .iter()
            .map(|entry| (entry.rack.clone(), entry.place.clone()));
        let racks: std::collections::BTreeMap<ShardId, Place> = racks.collect();
        racks.into_iter().collect()
    }

    fn claim(&mut self, now: Mono) {
        let mut busy = self
            .running_shards()
            .into_iter()
            .collect::<model::Set<ShardId>>();
        busy.extend(self.claiming.iter().cloned());
        let decisions = {
            let view = self.cx.view();
            self.claimer.decide(&view.watch, &self.views, &busy, now)
        };
        for decision in decisions {
            match decision {
                Decision::Claim(claim) => self.take(claim),
                Decision::Resume(claimed) => self.resume(claimed, now),
                Decision::ReleaseShard(shard) => self.drive(&shard, Event::ReleaseShard, now),
            }
        }
    }

    /// Begins the owner of a shard whose claim was committed although its answer was lost. Where an
    /// owner has already acted under that epoch, its last messages may still arrive, so that the
    /// shard is taken anew under a higher one.
    fn resume(&mut self, claimed: Ownership, now: Mono) {
        if self.begun.get(&claimed.shard) != Some(&claimed.epoch) {
            return self.begin(claimed, now, now);
        }
        let view = self.views.iter().find(|view| view.shard == claimed.shard);
        if let Some(claim) = view.map(|view| lease::claim::claim_shard(view, &claimed.owner)) {
            self.take(claim);
        }
    }

    fn take(&mut self, claim: Claim) {
        self.claiming.insert(claim.ownership.shard.clone());
        let cx = self.cx.clone();
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let sent = cx.clock.now();
            let deadline = Instant::now() + CLAIM_TIMEOUT;
            let settled = commit_with_retries(&cx.outside.table, claim.txn, deadline).await;
            let committed = settled == TxnOutcome::Committed;
            let _ = tx
                .send(Input::Claimed {
                    claimed: claim.ownership,
                    sent,
                    committed,
                })
                .await;
        });
    }

    /// Takes in what became of a claim. One in doubt shows as committed in the next read, if it was.
    ///
    /// A claim of an earlier life of this daemon begins nothing: the shard is free to be taken again.
    pub(super) fn claimed(&mut self, claimed: Ownership, sent: Mono, committed: bool) {
        if claimed.owner != self.cx.identity() {
            return;
        }
        self.claiming.remove(&claimed.shard);
        if committed {
            let now = self.now();
            self.begin(claimed, sent, now);
        }
    }

    fn begin(&mut self, claimed: Ownership, sent: Mono, now: Mono) {
        let shard = claimed.shard.clone();
        log::info!(shard = shard.as_str(), epoch = claimed.epoch.0; "owns the shard");
        self.begun.insert(shard.clone(), claimed.epoch);
        let owner = ShardOwner::new(claimed, Timing::default(), sent, now);
        self.running.insert(
            shard.clone(),
            Running {
                owner,
                scanned_at: now,
                scan_failed: false,
            },
        );
        self.list_workers(&shard, now);
        self.read_tasks(&shard, true);
        if self.giving_back {
            self.drive(&shard, Event::ReleaseShard, now);
        }
    }

    /// Tells an owner its workers as the host list has them.
    pub(super) fn list_workers(&mut self, shard: &ShardId, now: Mono) {
        let hosts = self.cx.hosts.borrow().clone();
        let of_shard = hosts.workers.iter().filter(|entry| entry.rack == *shard);
        let list = of_shard.map(|entry| ListedWorker {
            worker: entry.id.clone(),
            capacity: entry.capacity,
            state: entry.state,
        });
        self.drive(shard, Event::WorkersListed(list.collect()), now);
    }

    /// Reads the rows below a shard in the background.
    pub(super) fn read_tasks(&mut self, shard: &ShardId, complete: bool) {
        let Some(running) = self.running.get_mut(shard) else {
            return;
        };
        running.scanned_at = self.cx.clock.now();
        running.scan_failed = false;
        let epoch = running.owner.ownership().epoch;
        let cx = self.cx.clone();
        let tx = self.tx.clone();
        let shard = shard.clone();
        tokio::spawn(async move {
            let rows = scan_all(&cx.outside.table, &key::tasks(&shard)).await.ok();
            let _ = tx
                .send(Input::TaskRows {
                    shard,
                    epoch,
                    rows,
                    complete,
                })
                .await;
        });
    }

    /// Takes in the rows below a shard; a read that failed is repeated with the next round.
    pub(super) fn task_rows(&mut self, shard: &ShardId, rows: Option<Vec<Row>>, complete: bool) {
        let now = self.now();
        match rows {
            Some(rows) if complete => {
                self.drive(shard, Event::Loaded(rows), now);
                self.adopt_granted(shard, now);
            }
            Some(rows) => self.drive(shard, Event::RowsRead(rows), now),
            None => {
                if let Some(running) = self.running.get_mut(shard) {
                    running.scan_failed = true;
                }
            }
        }
    }
}

fn view((shard, place): (ShardId, Place), rows: &mut Map<String, Row>) -> ShardView {
    let row = rows.remove(&key::shard(&shard));
    let version = row.as_ref().map_or(RowVersion(0), |row| row.version);
    let row: Option<ShardRow> = row.and_then(|row| serde_json::from_value(row.value).ok());
    ShardView {
        shard,
        place,
        row,
        version,
    }
}
