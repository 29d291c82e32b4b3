//! Tests of the shared vocabulary.

mod hash;
mod size;
mod time;
