//! Control daemon: configuration, group records, leases, promotion and administration.
