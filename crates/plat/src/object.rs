//! The platform's object store, which holds checkpoints.
//!
//! Workers write checkpoints themselves; a daemon only asks whether one is there and deletes those
//! that nothing names any more.

use crate::call::Call;
use crate::error::CallError;

/// The calls of the object store.
#[derive(Clone)]
pub struct Objects {
    /// Returns the size of an object in bytes, or `None` where there is none.
    pub head: Call<String, Result<Option<u64>, CallError>>,
    /// Deletes an object; deleting an absent one succeeds.
    pub delete: Call<String, Result<(), CallError>>,
}
