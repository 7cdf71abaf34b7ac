//! What a replicated log carries.

use std::error::Error;

/// A deterministic state machine, as the disk of a replica sees it.
pub trait Machine: Send + Sized + 'static {
    /// Why bytes are no snapshot.
    type Error: Error + Send + Sync + 'static;

    /// The state before the first entry.
    fn empty() -> Self;

    /// The whole state as bytes.
    fn snapshot(&self) -> Vec<u8>;

    /// The state that [`Machine::snapshot`] wrote.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no snapshot of this machine.
    fn restore(data: &[u8]) -> Result<Self, Self::Error>;
}
