//! Contract tests of the external interfaces, see `docs/PLATFORM.md`.

mod client;
mod commit;
mod commit_property;
mod hosts;
mod object;
mod rate_limit;
mod scan;
mod support;
mod table;
mod worker;
