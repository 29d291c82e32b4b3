//! Claims shards without an owner, and starts and stops the owners that run here.

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
use crate::shards::driver::OwnedShard;
use crate::shards::input::Input;

/// Deadline of the transaction that claims a shard.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

impl Driver {
    /// Reads the rows of all shards in the background. Does nothing while a read is in progress.
    pub(super) fn read_shards(&mut self) {
        if self.reading_shards {
            return;
        }
        self.reading_shards = true;
        let cx = self.cx.clone();
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let sent = cx.clock.now();
            let rows = scan_all(&cx.platform.table, key::SHARDS).await.ok();
            if rows.is_some() {
                cx.record_store_response(sent);
            }
            // A closed inbox means that the part has ended.
            let _ = tx.send(Input::ShardRows { rows, sent }).await;
        });
    }

    /// Handles the rows of all shards: passes the own ones to their owners, then claims free
    /// shards. `rows` is `None` if the table did not answer.
    pub(super) fn handle_shard_rows(&mut self, rows: Option<Vec<Row>>, sent: Mono) {
        self.reading_shards = false;
        let reachable = rows.is_some();
        self.store_reachable = reachable;
        let now = self.now();
        for shard in self.owned_shard_ids() {
            self.drive(&shard, Event::StoreStatus { reachable }, now);
        }
        let Some(rows) = rows else {
            return;
        };
        let mut by_key: Map<String, Row> =
            rows.into_iter().map(|row| (row.key.clone(), row)).collect();
        for shard in self.owned_shard_ids() {
            let row = by_key.get(&key::shard(&shard)).cloned();
            self.drive(&shard, Event::ShardRow { row, sent }, now);
        }
        self.shard_views = self
            .racks()
            .into_iter()
            .map(|rack| shard_view(rack, &mut by_key))
            .collect();
        if !self.releasing {
            self.claim_shards(now);
        }
    }

    /// Returns the racks of the host list with their places; each rack is a shard.
    fn racks(&self) -> Vec<(ShardId, Place)> {
        let hosts = self.cx.hosts.borrow().clone();
        let racks = hosts
            .workers
            .iter()
            .map(|entry| (entry.rack.clone(), entry.place.clone()));
        let racks: std::collections::BTreeMap<ShardId, Place> = racks.collect();
        racks.into_iter().collect()
    }

    fn claim_shards(&mut self, now: Mono) {
        let mut unavailable = self
            .owned_shard_ids()
            .into_iter()
            .collect::<model::Set<ShardId>>();
        unavailable.extend(self.claiming.iter().cloned());
        let decisions = {
            let view = self.cx.view();
            self.claimer
                .decide(&view.liveness, &self.shard_views, &unavailable, now)
        };
        for decision in decisions {
            match decision {
                Decision::Claim(claim) => self.submit_claim(claim),
                Decision::Resume(ownership) => self.resume_owner(ownership, now),
                Decision::ReleaseShard(shard) => self.drive(&shard, Event::ReleaseShard, now),
            }
        }
    }

    /// Starts the owner of a shard whose claim was committed although the answer was lost. If an
    /// owner has already acted under that epoch, its last messages may still arrive, so the shard
    /// is claimed again under a higher epoch.
    fn resume_owner(&mut self, ownership: Ownership, now: Mono) {
        if self.last_started.get(&ownership.shard) != Some(&ownership.epoch) {
            return self.start_owner(ownership, now, now);
        }
        let view = self
            .shard_views
            .iter()
            .find(|view| view.shard == ownership.shard);
        if let Some(claim) = view.map(|view| lease::claim::claim_shard(view, &ownership.owner)) {
            self.submit_claim(claim);
        }
    }

    fn submit_claim(&mut self, claim: Claim) {
        self.claiming.insert(claim.ownership.shard.clone());
        let cx = self.cx.clone();
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let sent = cx.clock.now();
            let deadline = Instant::now() + CLAIM_TIMEOUT;
            let outcome = commit_with_retries(&cx.platform.table, claim.txn, deadline).await;
            let committed = outcome == TxnOutcome::Committed;
            let _ = tx
                .send(Input::Claimed {
                    claimed: claim.ownership,
                    sent,
                    committed,
                })
                .await;
        });
    }

    /// Handles the result of a claim. A claim with an unknown outcome shows up as committed in the
    /// next read of the rows, if it was.
    ///
    /// A claim made by an earlier incarnation of this daemon starts no owner; the shard can be
    /// claimed again.
    pub(super) fn handle_claim_result(
        &mut self,
        ownership: Ownership,
        sent: Mono,
        committed: bool,
    ) {
        if ownership.owner != self.cx.identity() {
            return;
        }
        self.claiming.remove(&ownership.shard);
        if committed {
            let now = self.now();
            self.start_owner(ownership, sent, now);
        }
    }

    fn start_owner(&mut self, ownership: Ownership, sent: Mono, now: Mono) {
        let shard = ownership.shard.clone();
        log::info!(shard = shard.as_str(), epoch = ownership.epoch.0; "owns the shard");
        self.last_started.insert(shard.clone(), ownership.epoch);
        let owner = ShardOwner::new(ownership, Timing::default(), sent, now);
        self.owned.insert(
            shard.clone(),
            OwnedShard {
                owner,
                scanned_at: now,
                scan_failed: false,
            },
        );
        self.send_worker_list(&shard, now);
        self.read_task_rows(&shard, true);
        if self.releasing {
            self.drive(&shard, Event::ReleaseShard, now);
        }
    }

    /// Passes the workers that the host list has for a shard to its owner.
    pub(super) fn send_worker_list(&mut self, shard: &ShardId, now: Mono) {
        let hosts = self.cx.hosts.borrow().clone();
        let of_shard = hosts.workers.iter().filter(|entry| entry.rack == *shard);
        let list = of_shard.map(|entry| ListedWorker {
            worker: entry.id.clone(),
            capacity: entry.capacity,
            state: entry.state,
        });
        self.drive(shard, Event::WorkersListed(list.collect()), now);
    }

    /// Reads the task rows of a shard in the background. `complete` is passed on to the result.
    pub(super) fn read_task_rows(&mut self, shard: &ShardId, complete: bool) {
        let Some(owned) = self.owned.get_mut(shard) else {
            return;
        };
        owned.scanned_at = self.cx.clock.now();
        owned.scan_failed = false;
        let epoch = owned.owner.ownership().epoch;
        let cx = self.cx.clone();
        let tx = self.tx.clone();
        let shard = shard.clone();
        tokio::spawn(async move {
            let rows = scan_all(&cx.platform.table, &key::tasks(&shard)).await.ok();
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

    /// Handles the task rows of a shard. A failed read is repeated after `READ_INTERVAL`.
    pub(super) fn handle_task_rows(
        &mut self,
        shard: &ShardId,
        rows: Option<Vec<Row>>,
        complete: bool,
    ) {
        let now = self.now();
        match rows {
            Some(rows) if complete => {
                self.drive(shard, Event::Loaded(rows), now);
                self.adopt_assigned(shard, now);
            }
            Some(rows) => self.drive(shard, Event::RowsRead(rows), now),
            None => {
                if let Some(owned) = self.owned.get_mut(shard) {
                    owned.scan_failed = true;
                }
            }
        }
    }
}

fn shard_view((shard, place): (ShardId, Place), rows: &mut Map<String, Row>) -> ShardView {
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
