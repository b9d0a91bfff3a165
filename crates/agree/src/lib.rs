//! Agreement protocol and durable log of the control hosts.
