//! Identifiers and counters, as newtypes that the compiler keeps apart.
//!
//! Text identifiers are reference-counted, because they are cloned into messages and records far
//! more often than they are created. Hot paths use the arena keys of their crate instead.

use std::sync::Arc;

use derive_more::Display;
use derive_more::From;
use derive_more::Into;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

macro_rules! string_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates an identifier from its text. Any text is accepted.
            #[must_use]
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// Returns the identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

string_ids! {
    /// The name of a daemon. Each entry host runs one daemon.
    DaemonId;
    /// The name of a worker, a host that runs tasks.
    WorkerId;
    /// The name of a shard: the workers of one rack, owned by one daemon at a time.
    ShardId;
    /// Identifies a task submitted by an operator or a team.
    TaskId;
    /// The name of a team, which submits tasks within its quota.
    TeamId;
    /// The name of a class of tasks with similar sizes and interference, such as `fleet-check`.
    ClassId;
    /// The name of an upstream, to which requests are routed.
    UpstreamId;
    /// Identifies an executor, one process of an upstream.
    ExecutorId;
    /// The name of a caller, who sends requests.
    CallerId;
    /// The name of a half of the organisation, which is being split.
    HalfId;
    /// The name of a region, a group of data centres close to each other.
    RegionId;
    /// The name of a data centre.
    DataCentreId;
    /// Identifies one write to the table. It is stored with each row written, so a daemon that got
    /// no response can find out whether the write was applied.
    OpId;
    /// Identifies a non-idempotent request; set by the caller.
    RequestId;
    /// The name under which a checkpoint is stored in the object store.
    CheckpointId;
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the next value of the counter.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )*};
}

counters! {
    /// Counts the successive owners of a shard. Workers reject messages with a lower epoch than the
    /// highest one they have seen.
    Epoch(u64);
    /// Counts the runs of a task. A task that was never started is at attempt 0.
    Attempt(u32);
    /// Counts the accepted configuration documents. It never decreases.
    DocVersion(u64);
    /// Counts the writes to one row of the table. An absent row has version 0.
    RowVersion(u64);
    /// Counts the successive processes of a daemon under the same name.
    Incarnation(u64);
}
