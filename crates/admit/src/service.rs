//! How fast a target serves online calls, from the calls that ended.

use yuccaseam_base::Millis;

/// The weight of the newest duration in the mean.
const NEWEST: f64 = 0.05;

/// The observed rate of service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceRate {
    mean_duration: Option<f64>,
}

impl ServiceRate {
    pub(crate) fn observe(&mut self, duration: Millis) {
        let duration = duration.0.max(1) as f64;
        let mean = self.mean_duration.unwrap_or(duration);
        self.mean_duration = Some(mean + NEWEST * (duration - mean));
    }

    /// The time in which `requests` ahead start, when `slots` serve them, if any call ended yet.
    /// By Little's law a slot comes free every `mean_duration / slots`.
    pub(crate) fn wait(&self, requests: usize, slots: u32) -> Option<Millis> {
        let between = self.mean_duration? / f64::from(slots.max(1));
        Some(Millis((between * requests as f64).ceil() as u64))
    }
}
