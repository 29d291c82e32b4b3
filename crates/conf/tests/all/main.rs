//! Tests of the settings, the document and its acceptance.

mod accept;
mod check;
mod edit;
mod examples;
mod schema;
mod settings;
