//! Rate of the link to a follower, measured by bursts of entries.

use yuccaseam_base::Millis;

use crate::Index;

/// Minimum size of a burst that counts.
const MIN_BURST_BYTES: usize = 64 * 1024;

/// Minimum transmission time of a burst: shorter ones count as long, since the time of a sync varies.
const MIN_TRANSMISSION: Millis = Millis(20);

/// Share by which the estimate falls with each lower sample, as a divisor.
const DECAY_DIVISOR: u64 = 64;

/// Messages sent at one time on an idle link.
#[derive(Debug)]
struct Burst {
    sent_at: Millis,
    last: Index,
    bytes: usize,
}

/// Estimate of the rate of a link: the size of a burst over its time to the acknowledgement beyond the
/// shortest round trip. Syncs and other traffic lower a sample, so that the highest counts.
#[derive(Debug, Default)]
pub(crate) struct LinkRate {
    min_round_trip: Option<Millis>,
    burst: Option<Burst>,
    bytes_per_ms: Option<u64>,
}

impl LinkRate {
    /// Records that a message with entries up to `last` was sent. `is_idle` states that all messages before
    /// were acknowledged.
    pub(crate) fn on_sent(&mut self, last: Index, bytes: usize, is_idle: bool, now: Millis) {
        match &mut self.burst {
            Some(burst) if burst.sent_at == now => {
                burst.last = last;
                burst.bytes += bytes;
            }
            burst if is_idle => {
                *burst = Some(Burst {
                    sent_at: now,
                    last,
                    bytes,
                });
            }
            _ => {}
        }
    }

    /// Records the time between a message and its acknowledgement.
    pub(crate) fn on_round_trip(&mut self, time: Millis) {
        self.min_round_trip = Some(self.min_round_trip.map_or(time, |min| min.min(time)));
    }

    /// Records that all entries up to an index were acknowledged.
    pub(crate) fn on_acknowledged(&mut self, index: Index, now: Millis) {
        let Some(burst) = self.burst.take_if(|burst| burst.last <= index) else {
            return;
        };
        let Some(min_round_trip) = self.min_round_trip else {
            return;
        };
        if burst.bytes < MIN_BURST_BYTES {
            return;
        }
        let transmission = now - (burst.sent_at + min_round_trip);
        let sample = burst.bytes as u64 / transmission.max(MIN_TRANSMISSION).0;
        let before = self.bytes_per_ms.unwrap_or_default();
        self.bytes_per_ms = Some(sample.max(before - before / DECAY_DIVISOR));
    }

    /// The estimate in bytes per ms; `None` before the first burst.
    pub(crate) fn bytes_per_ms(&self) -> Option<u64> {
        self.bytes_per_ms
    }
}
