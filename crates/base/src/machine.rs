//! State machine that a log replicates.

use std::error::Error;

/// Deterministic state machine, as used by the storage of a replica.
pub trait Machine: Send + Sized + 'static {
    /// Error of [`Machine::restore`].
    type Error: Error + Send + Sync + 'static;

    /// Returns the state before the first log entry.
    fn empty() -> Self;

    /// Serializes the complete state.
    fn snapshot(&self) -> Vec<u8>;

    /// Restores a state serialized by [`Machine::snapshot`].
    ///
    /// # Errors
    ///
    /// Returns an error if `data` is not a snapshot of this state machine.
    fn restore(data: &[u8]) -> Result<Self, Self::Error>;
}
