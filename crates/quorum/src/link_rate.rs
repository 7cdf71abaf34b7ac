//! Rate of the link to a follower, measured by bursts of entries.

use yuccaseam_base::Millis;

use crate::Index;

/// Minimum size of a burst, below which the granularity of the clock dominates its transmission time.
const MIN_BURST_BYTES: usize = 64 * 1024;

/// Minimum transmission time of a burst that counts, above the variation of a sync.
const MIN_TRANSMISSION: Millis = Millis(5);

/// Weight of the estimate before a sample, to one of the sample.
const OLD_WEIGHT: u64 = 3;

/// Messages sent at one time on an idle link.
#[derive(Debug)]
struct Burst {
    sent_at: Millis,
    last: Index,
    bytes: usize,
}

/// Estimate of the rate of a link: the size of a burst over its time to the acknowledgement beyond the
/// shortest round trip. Syncs and other traffic on the link lower it.
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
        let transmission = now - (burst.sent_at + min_round_trip);
        if burst.bytes < MIN_BURST_BYTES || transmission < MIN_TRANSMISSION {
            return;
        }
        let sample = burst.bytes as u64 / transmission.0;
        self.bytes_per_ms = Some(self.bytes_per_ms.map_or(sample, |rate| {
            (rate * OLD_WEIGHT + sample) / (OLD_WEIGHT + 1)
        }));
    }

    /// The estimate in bytes per ms; `None` before the first burst.
    pub(crate) fn bytes_per_ms(&self) -> Option<u64> {
        self.bytes_per_ms
    }
}
