//! Admission at one target: what starts, waits, pauses or is refused.
