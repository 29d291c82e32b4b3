//! Differences between documents and conflicts between the changes of two operators.
//!
//! Documents are compared by value, not by text: comments and layout are ignored.

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

/// The kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// The key was added.
    Added,
    /// The key was removed.
    Removed,
    /// The value was replaced.
    Set,
}

/// One difference between two documents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Change {
    /// The JSON pointer (RFC 6901) of the value that differs.
    pub pointer: String,
    /// Whether the value was added, removed or replaced.
    pub kind: ChangeKind,
    /// The old value; null if it was added.
    #[serde(default)]
    pub before: Value,
    /// The new value; null if it was removed.
    #[serde(default)]
    pub after: Value,
    /// A description of the change in one line.
    pub summary: String,
}

/// A conflict between the changes of two operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Conflict {
    /// The JSON pointer (RFC 6901) of `ours`.
    pub pointer: String,
    /// The change of the operator who receives this conflict.
    pub ours: Change,
    /// The change that was accepted first.
    pub theirs: Change,
}

/// Returns the changes from `before` to `after`, in the order of the keys.
#[must_use]
pub fn changes(before: &Document, after: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("", &to_value(before), &to_value(after), &mut changes);
    changes
}

/// Returns the conflicts between `ours` and `theirs`, which are changes of the same base.
///
/// Two changes conflict if one pointer lies within the other and they do not result in the same
/// value.
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

/// A change of the half that owns an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Handover {
    /// The upstream that is handed over.
    pub upstream: UpstreamId,
    /// The half that owned it before.
    pub from: HalfId,
    /// The half that owns it afterwards.
    pub to: HalfId,
}

/// Returns the upstreams that `before` and `after` assign to different halves, sorted by name.
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

/// Returns the part of `in_force` that a daemon may serve while it is in doubt whether `staged` is
/// in force: the upstreams, classes and teams that are equal in both.
///
/// What is left out gets no new work, and what is already running continues. See
/// `docs/CONFIGURATION.md`.
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
