//! Slots to keep free, estimated from recent online arrivals.

use yuccaseam_base::Millis;

use crate::settings::Balance;

/// Time for which a paused run can still hold its slot, in milliseconds.
const SLOT_RELEASE_MS: f64 = 100.0;

/// Time constants over which arrivals are averaged, in milliseconds. The higher of the two rates is
/// used: the short one reacts to a burst immediately, the long one decays slowly.
const TIME_CONSTANTS_MS: [f64; 2] = [500.0, 10_000.0];

/// Standard deviations above the mean that the headroom covers at a balance of 0.
const HEADROOM_DEVIATIONS: f64 = 2.0;

/// Moving averages of the online arrival rate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Arrivals {
    /// Arrivals per millisecond, for each time constant.
    rates: [f64; 2],
    updated_at: Millis,
}

impl Arrivals {
    pub(crate) fn observe(&mut self, now: Millis) {
        self.decay(now);
        for (rate, time_constant) in self.rates.iter_mut().zip(TIME_CONSTANTS_MS) {
            *rate += 1.0 / time_constant;
        }
    }

    /// Free slots that cover the arrivals expected while a paused run still holds its slot.
    pub(crate) fn headroom(&mut self, balance: Balance, now: Millis) -> u32 {
        self.decay(now);
        let rate = self.rates[0].max(self.rates[1]);
        let mean = rate * SLOT_RELEASE_MS;
        let with_margin = mean + HEADROOM_DEVIATIONS * mean.sqrt();
        balance.interpolate(with_margin, 0.0).round() as u32
    }

    fn decay(&mut self, now: Millis) {
        let elapsed = (now - self.updated_at).0 as f64;
        for (rate, time_constant) in self.rates.iter_mut().zip(TIME_CONSTANTS_MS) {
            *rate *= (-elapsed / time_constant).exp();
        }
        self.updated_at = self.updated_at.max(now);
    }
}
