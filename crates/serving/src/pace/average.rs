//! Moving average of percentages.

use yuccaseam_base::value;

/// Steps of one percent, so that small differences are not lost by rounding.
const STEPS: i64 = 256;

/// Moving average whose first samples count alike.
#[value]
#[derive(Copy, Default)]
pub(super) struct Average {
    steps: i64,
    count: u32,
}

impl Average {
    /// Records a sample. It has the weight of one in `window` once that many samples are known.
    pub(super) fn record(&mut self, percent: u32, window: u32) {
        self.count = (self.count + 1).min(window);
        self.steps += (i64::from(percent) * STEPS - self.steps) / i64::from(self.count);
    }

    /// The average if at least `min_samples` are known.
    pub(super) fn percent(&self, min_samples: u32) -> Option<u32> {
        let percent = u32::try_from(self.steps / STEPS).unwrap_or(0);
        (self.count >= min_samples.max(1)).then_some(percent)
    }
}
