//! Limits of a process, derived from those of its host.

/// Memory that a connection may hold at any time without a reservation, in bytes. Ordinary requests
/// and answers fit into it.
pub const FLOOR_BYTES: usize = 16 << 10;
/// Smallest budget for large messages, in bytes: a few messages with their copies.
const MIN_LARGE_BYTES: usize = 12 << 20;
/// Largest number of descriptors kept for other purposes than callers.
const MAX_RESERVE: usize = 300;
/// Descriptors assumed where no limit is known.
const DEFAULT_DESCRIPTORS: usize = 20_000;

/// Limits of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Memory for large messages and answers, in bytes.
    pub large_bytes: usize,
    /// Memory for what sessions keep beyond their floor, in bytes.
    pub kept_bytes: usize,
    /// Number of callers connected at a time.
    pub callers: usize,
    /// Number of HTTP clients connected at a time to one address for operators and checks.
    pub clients: usize,
    /// Number of HTTP clients connected at a time to an address that serves databases.
    pub databases: usize,
}

impl Limits {
    /// Limits for a host with `memory` bytes and a process with `descriptors`. A quarter of the memory
    /// is for large messages and an eighth for what sessions keep. The rest is for the process itself,
    /// for the floors of the connections, and for memory that is freed but not returned.
    ///
    /// ```
    /// use memory::Limits;
    ///
    /// let limits = Limits::new(160 << 20, Some(4_300));
    /// assert_eq!(limits.large_bytes, 40 << 20);
    /// assert_eq!(limits.callers, 4_000);
    /// ```
    #[must_use]
    pub fn new(memory: usize, descriptors: Option<usize>) -> Self {
        let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let reserve = (descriptors / 4).min(MAX_RESERVE);
        Self {
            large_bytes: (memory / 4).max(MIN_LARGE_BYTES),
            kept_bytes: memory / 8,
            // The floors of all callers fit into half of the memory.
            callers: (descriptors - reserve).min(memory / 2 / FLOOR_BYTES),
            clients: (reserve / 8).max(4),
            databases: (descriptors / 2).max(4),
        }
    }
}
