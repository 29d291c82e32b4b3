//! What changes between two documents, and where two operators' changes conflict.
//!
//! Documents are compared by value, not by text: comments and layout make no change.

use std::collections::BTreeSet;

use model::id::HalfId;
use model::id::UpstreamId;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::doc::Document;
use crate::doc::Upstream;
use crate::tree::escape;

/// Whether a place was added, removed or set to another value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// It was not there before.
    Added,
    /// It is not there any more.
    Removed,
    /// It has another value.
    Set,
}

/// One place that differs between two documents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Change {
    /// The JSON pointer (RFC 6901) of the place.
    pub pointer: String,
    /// What happened to it.
    pub kind: ChangeKind,
    /// The value before, null where it was added.
    #[serde(default)]
    pub before: Value,
    /// The value after, null where it was removed.
    #[serde(default)]
    pub after: Value,
    /// One line for people.
    pub summary: String,
}

/// A place that two operators changed differently.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Conflict {
    /// The JSON pointer (RFC 6901) of the place.
    pub pointer: String,
    /// What the operator who is told wanted.
    pub ours: Change,
    /// What came first.
    pub theirs: Change,
}

/// Returns what changes from `before` to `after`, in the order of the places.
#[must_use]
pub fn changes(before: &Document, after: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("", &to_value(before), &to_value(after), &mut changes);
    changes
}

/// Returns where `ours` and `theirs`, both made from one base, conflict.
///
/// Two changes conflict if one place lies within the other and they do not come to the same value.
#[must_use]
pub fn conflicts(ours: &[Change], theirs: &[Change]) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    for our in ours {
        for their in theirs {
            let same = our.pointer == their.pointer && our.after == their.after;
            if !same && overlap(&our.pointer, &their.pointer) {
                conflicts.push(Conflict {
                    pointer: our.pointer.clone(),
                    ours: our.clone(),
                    theirs: their.clone(),
                });
            }
        }
    }
    conflicts
}

/// An upstream that changes hands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Handover {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The half that gives it away.
    pub from: HalfId,
    /// The half that takes it.
    pub to: HalfId,
}

/// Returns the upstreams that change hands from `before` to `after`, by name.
#[must_use]
pub fn handovers(before: &Document, after: &Document) -> Vec<Handover> {
    let handover = |(name, new): (&UpstreamId, &Upstream)| {
        let old = before.upstreams.get(name)?;
        (old.half != new.half).then(|| Handover {
            upstream: name.clone(),
            from: old.half.clone(),
            to: new.half.clone(),
        })
    };
    after.upstreams.iter().filter_map(handover).collect()
}

/// Returns the part of `in_force` that a daemon may serve while it cannot know whether `staged` has
/// come into force: the upstreams, classes and teams that both treat alike.
///
/// What is left out gets no new work; what already runs goes on. See `docs/CONFIGURATION.md`.
#[must_use]
pub fn intersection(in_force: &Document, staged: &Document) -> Document {
    let mut shared = in_force.clone();
    shared
        .upstreams
        .retain(|name, upstream| staged.upstreams.get(name) == Some(upstream));
    shared
        .classes
        .retain(|name, class| staged.classes.get(name) == Some(class));
    shared
        .teams
        .retain(|name, team| staged.teams.get(name) == Some(team));
    shared
}

fn to_value(document: &Document) -> Value {
    serde_json::to_value(document).unwrap_or_default()
}

fn overlap(left: &str, right: &str) -> bool {
    let within = |inner: &str, outer: &str| {
        inner
            .strip_prefix(outer)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    within(left, right) || within(right, left)
}

fn compare(pointer: &str, before: &Value, after: &Value, changes: &mut Vec<Change>) {
    if before == after {
        return;
    }
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        changes.push(describe_change(pointer, ChangeKind::Set, before, after));
        return;
    };
    let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for key in keys {
        let child_pointer = format!("{pointer}/{}", escape(key));
        match (old.get(key), new.get(key)) {
            (Some(before), Some(after)) => compare(&child_pointer, before, after, changes),
            (None, Some(after)) => {
                changes.push(describe_change(
                    &child_pointer,
                    ChangeKind::Added,
                    &Value::Null,
                    after,
                ));
            }
            (Some(before), None) => {
                changes.push(describe_change(
                    &child_pointer,
                    ChangeKind::Removed,
                    before,
                    &Value::Null,
                ));
            }
            (None, None) => {}
        }
    }
}

fn describe_change(pointer: &str, kind: ChangeKind, before: &Value, after: &Value) -> Change {
    let name = pointer
        .trim_start_matches('/')
        .replace('/', " ")
        .replace("~1", "/")
        .replace("~0", "~");
    let summary = match kind {
        ChangeKind::Added => format!("{name}: added"),
        ChangeKind::Removed => format!("{name}: removed"),
        ChangeKind::Set => format!("{name}: {before} becomes {after}"),
    };
    Change {
        pointer: pointer.to_owned(),
        kind,
        before: before.clone(),
        after: after.clone(),
        summary,
    }
}
