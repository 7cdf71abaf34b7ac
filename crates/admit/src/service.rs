//! Service rate of online calls, estimated from the durations of ended calls.

use yuccaseam_base::Millis;

/// Weight of the newest duration in the moving average.
const SMOOTHING_FACTOR: f64 = 0.05;

/// Estimated service rate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceRate {
    mean_duration: Option<f64>,
}

impl ServiceRate {
    pub(crate) fn observe(&mut self, duration: Millis) {
        let duration = duration.0.max(1) as f64;
        let mean = self.mean_duration.unwrap_or(duration);
        self.mean_duration = Some(mean + SMOOTHING_FACTOR * (duration - mean));
    }

    /// Estimated time until `requests` queued requests have started in `slots` slots, or `None`
    /// before any call has ended. By Little's law a slot becomes free every `mean_duration /
    /// slots`.
    pub(crate) fn wait(&self, requests: usize, slots: u32) -> Option<Millis> {
        let interval = self.mean_duration? / f64::from(slots.max(1));
        Some(Millis((interval * requests as f64).ceil() as u64))
    }
}
