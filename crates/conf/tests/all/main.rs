//! Tests of the settings, the document and the acceptance protocol.

mod accept;
mod check;
mod edit;
mod examples;
mod schema;
mod settings;
mod support;
