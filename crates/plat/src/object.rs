//! The platform's object store, which holds checkpoints.
//!
//! Workers write checkpoints themselves; a daemon only asks whether one is there and deletes those
//! that nothing names any more.

use std::time::Duration;

use crate::call::Call;
use crate::error::CallError;

pub mod http;

pub use self::http::http;

/// How long one call of the object store may take.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The largest answer of the object store that is read, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// The calls of the object store.
#[derive(Clone)]
pub struct Objects {
    /// Returns the size of an object in bytes, or `None` where there is none.
    pub head: Call<String, Result<Option<u64>, CallError>>,
    /// Deletes an object; deleting an absent one succeeds.
    pub delete: Call<String, Result<(), CallError>>,
}
