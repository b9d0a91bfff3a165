//! Routing decisions: freshness, confirmation, leases, connection shares and queues.
