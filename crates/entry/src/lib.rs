//! Entry daemon: serves callers, routes statements and acknowledges writes.
