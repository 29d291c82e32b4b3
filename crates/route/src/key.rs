//! The arena keys of the routing tables.

use slotmap::new_key_type;

new_key_type! {
    /// An upstream of the document.
    pub struct UpstreamKey;
    /// An executor of the host list.
    pub struct ExecutorKey;
    /// A caller, named by the document or sharing the entry of all others.
    pub struct CallerKey;
    /// A request that waits for a slot or for a change of the tables.
    pub struct Ticket;
}
