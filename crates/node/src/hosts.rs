//! Follows the platform's list of hosts and executors.

use std::sync::Arc;
use std::time::Duration;

use plat::hosts::NewestHostList;
use route::RouteUpdate;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::context::DaemonContext;
use crate::supervisor::PartResult;

/// Polling interval of the list. An executor that leaves must get no new work within 3 s of the
/// list saying so.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the list until `token` is cancelled. While the platform does not answer, the last list
/// stays in use.
///
/// # Errors
///
/// Currently never fails; the signature is that of a part.
pub async fn run(cx: Arc<DaemonContext>, token: CancellationToken) -> PartResult {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut newest = NewestHostList::default();
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            _ = ticks.tick() => {}
        }
        let list = match (cx.platform.hosts.list)(newest.revision()).await {
            Ok(Some(list)) => list,
            Ok(None) => continue,
            Err(error) => {
                log::debug!("cannot read the host list: {error}");
                continue;
            }
        };
        if newest.update(list.clone()) {
            let executors = Some(list.executors.clone());
            cx.proxy.update(RouteUpdate {
                executors,
                ..RouteUpdate::default()
            });
            cx.hosts.send_replace(Arc::new(list));
        }
    }
}
