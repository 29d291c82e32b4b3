//! Contract tests of the interfaces to the outside, see `docs/PLATFORM.md`.

mod client;
mod hosts;
mod object;
mod pace;
mod scan;
mod settle;
mod settle_property;
mod support;
mod table;
mod worker;
