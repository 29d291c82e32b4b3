//! Parts of a process that go on, or are replaced, when one of them panics.
//!
//! A task that panics ends alone, and whatever it was for never happens again. An owner whose list of
//! executors or whose polls have ended in this way would keep its ownership and stall all work.

use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;

use crate::events;
use crate::owner::Owner;

/// Delay before a part that panicked starts again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Runs a part of the process for as long as the process lives. If it panics, it starts again.
pub async fn restart_after_panic<F: Future<Output = ()>>(
    part: &'static str,
    mut start: impl FnMut() -> F,
) {
    while let Err(panic) = AssertUnwindSafe(start()).catch_unwind().await {
        events::panicked(part, message(&*panic));
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

/// Runs a part of the owner in the background. If it panics, the ownership ends, so that the next
/// owner begins with what is stored.
pub fn spawn_part(
    owner: &Rc<Owner>,
    part: &'static str,
    future: impl Future<Output = ()> + 'static,
) {
    let owner = owner.clone();
    tokio::task::spawn_local(async move {
        if let Err(panic) = AssertUnwindSafe(future).catch_unwind().await {
            events::panicked(part, message(&*panic));
            owner.fail();
        }
    });
}

/// Returns the message of a panic.
fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str))
        .unwrap_or_default()
}
