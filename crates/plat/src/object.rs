//! The platform's object store, which stores checkpoints.
//!
//! Workers write checkpoints themselves; a daemon only checks whether a checkpoint exists and
//! deletes those that are no longer referenced.

use std::time::Duration;

use crate::call::Call;
use crate::error::CallError;

pub mod http;

pub use self::http::http;

/// The timeout of a call to the object store.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The largest accepted response body of the object store, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// The interface to the object store; objects are identified by name.
#[derive(Clone)]
pub struct Objects {
    /// Returns the size of an object in bytes, or `None` if it does not exist.
    pub head: Call<String, Result<Option<u64>, CallError>>,
    /// Deletes an object; deleting one that does not exist succeeds.
    pub delete: Call<String, Result<(), CallError>>,
}
