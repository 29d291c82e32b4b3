//! Names of things, as newtypes so that one kind cannot be passed for another.
//!
//! Text names are reference-counted: they are cloned into messages and records far more often than
//! they are made. Inside a crate's hot path use that crate's arena keys instead.

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
            /// Makes a name from its text.
            #[must_use]
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// Returns the text.
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
    /// A daemon, one an entry host.
    DaemonId;
    /// A worker, the host that runs tasks.
    WorkerId;
    /// A shard: the workers of one rack, owned by one daemon at a time.
    ShardId;
    /// A task submitted by an operator or a team.
    TaskId;
    /// A team that submits tasks under a quota.
    TeamId;
    /// A class of tasks that share sizes and interference, such as `fleet-check`.
    ClassId;
    /// An upstream that requests are routed to.
    UpstreamId;
    /// One process of an upstream.
    ExecutorId;
    /// A caller that sends requests.
    CallerId;
    /// One half of the organisation being split.
    HalfId;
    /// A region: data centres close to each other.
    RegionId;
    /// A data centre.
    DataCentreId;
    /// The id of one write to the table, by which a lost answer is found out.
    OpId;
    /// The caller's id of a non-idempotent request.
    RequestId;
    /// The name of a checkpoint in the object store.
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
            /// Returns the counter that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )*};
}

counters! {
    /// Counts the owners of a shard; a worker refuses messages with a lower one.
    Epoch(u64);
    /// Counts the runs of a task; attempt 0 has never been started.
    Attempt(u32);
    /// Counts the accepted configuration documents; it never goes down.
    DocVersion(u64);
    /// Counts the writes to one row of the table; an absent row has version 0.
    RowVersion(u64);
    /// Counts the lives of a daemon under one name.
    Incarnation(u64);
}
