//! The JSON Schemas of the document and of the settings, generated from their types.
//!
//! They are committed as `docs/document.schema.json`, `docs/settings.schema.json` and
//! `docs/own-settings.schema.json` for use by editors. [`crate::validate`] uses the same schemas,
//! so that editors and daemons agree on the structure of a text.

use std::fmt::Write;

use schemars::JsonSchema;
use schemars::schema_for;
use serde_json::Value;

use crate::doc::Document;
use crate::observe::OwnSettings;
use crate::settings::Settings;

/// Returns the schema of the document.
#[must_use]
pub fn document() -> Value {
    schema_of::<Document>()
}

/// Returns the schema of the settings of a daemon.
#[must_use]
pub fn settings() -> Value {
    schema_of::<Settings>()
}

/// Returns the schema of the settings of a process that receives all others from the platform.
#[must_use]
pub fn own_settings() -> Value {
    schema_of::<OwnSettings>()
}

/// Returns the text of a schema as it is committed.
#[must_use]
pub fn to_text(schema: &Value) -> String {
    let mut text = String::new();
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "{schema:#}");
    text
}

fn schema_of<T: JsonSchema>() -> Value {
    schema_for!(T).to_value()
}
