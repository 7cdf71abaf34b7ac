//! How many slots to keep free, from recent online arrivals.

use yuccaseam_base::Millis;

use crate::settings::Balance;

/// How long a paused run may still hold its slot, in milliseconds.
const RELEASE_MS: f64 = 100.0;

/// The time constants over which arrivals are averaged, in milliseconds. The larger of the two
/// rates counts: a burst is seen at once, and remembered for a while.
const WINDOWS_MS: [f64; 2] = [500.0, 10_000.0];

/// The deviations above the mean that headroom covers at a balance of 0.
const DEVIATIONS: f64 = 2.0;

/// Rates of online arrivals.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Arrivals {
    /// Arrivals a millisecond, by window.
    rates: [f64; 2],
    updated_at: Millis,
}

impl Arrivals {
    pub(crate) fn observe(&mut self, now: Millis) {
        self.decay(now);
        for (rate, window) in self.rates.iter_mut().zip(WINDOWS_MS) {
            *rate += 1.0 / window;
        }
    }

    /// Free slots that cover the arrivals expected while a paused run still holds its slot.
    pub(crate) fn headroom(&mut self, balance: Balance, now: Millis) -> u32 {
        self.decay(now);
        let rate = self.rates[0].max(self.rates[1]);
        let mean = rate * RELEASE_MS;
        let cautious = mean + DEVIATIONS * mean.sqrt();
        balance.between(cautious, 0.0).round() as u32
    }

    fn decay(&mut self, now: Millis) {
        let elapsed = (now - self.updated_at).0 as f64;
        for (rate, window) in self.rates.iter_mut().zip(WINDOWS_MS) {
            *rate *= (-elapsed / window).exp();
        }
        self.updated_at = self.updated_at.max(now);
    }
}
