//! Tests of the shared basic types.

mod hash;
mod size;
mod time;
