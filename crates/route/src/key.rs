//! Arena keys of the routing tables.

use slotmap::new_key_type;

new_key_type! {
    /// Key of an upstream of the document.
    pub struct UpstreamKey;
    /// Key of an executor of the host list.
    pub struct ExecutorKey;
    /// Key of a caller in the document, or of the entry that all unknown callers share.
    pub struct CallerKey;
    /// Key of a request that waits for a slot or a table update.
    pub struct Ticket;
}
