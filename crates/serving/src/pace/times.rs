//! How the times of a service depend on the pace of the target.

use yuccaseam_base::{
    Millis,
    value, //
};

use super::USUAL_PACE;

/// Weight of one sample in the moving averages, as a divisor.
const SAMPLE_DIVISOR: i64 = 32;
/// Steps of one percent or one ms, so that small differences are not lost by rounding.
const STEPS: i64 = 64;
/// Variance of the pace below which it says nothing on how times depend on it, in percent squared.
const MIN_VARIANCE: i64 = 100;
/// Samples from which on the dependence is estimated.
const MIN_SAMPLES: u32 = 8;
/// Largest time that is recorded.
const MAX_TIME: Millis = Millis::from_secs(60);

/// Moving averages of the pace and of the times of requests that found a free slot, and how both vary
/// together. Times are linear in the pace: part of the time to the first event does not depend on it.
#[value]
#[derive(Copy, Default)]
pub struct PaceTimes {
    samples: u32,
    pace: i64,
    response: i64,
    occupancy: i64,
    variance: i64,
    response_covariance: i64,
    occupancy_covariance: i64,
}

fn in_millis(steps: i64) -> Millis {
    Millis(u64::try_from(steps / STEPS).unwrap_or(0))
}

impl PaceTimes {
    /// Records a complete answer of a target with a known pace, in percent.
    pub fn record(&mut self, pace: u32, response: Millis, occupancy: Millis) {
        let pace = i64::from(pace) * STEPS;
        let in_steps = |time: Millis| time.min(MAX_TIME).0 as i64 * STEPS;
        let (response, occupancy) = (in_steps(response), in_steps(occupancy));
        self.samples = self.samples.saturating_add(1);
        let divisor = i64::from(self.samples).min(SAMPLE_DIVISOR);
        let average = |mean: &mut i64, sample: i64| {
            let before = sample - *mean;
            *mean += before / divisor;
            (before, sample - *mean)
        };
        let (before, after) = average(&mut self.pace, pace);
        average(&mut self.variance, before * after);
        let (_, response_after) = average(&mut self.response, response);
        average(&mut self.response_covariance, before * response_after);
        let (_, occupancy_after) = average(&mut self.occupancy, occupancy);
        average(&mut self.occupancy_covariance, before * occupancy_after);
    }

    /// Whether targets of the service report their pace.
    pub fn is_known(&self) -> bool {
        self.samples > 0
    }

    /// Change of a time, compared with its mean, at a target with this pace. At most, the time is
    /// proportional to the pace.
    fn change(&self, mean: i64, covariance: i64, assumed: i64, pace: u32) -> i64 {
        let pace_change = i64::from(pace) * STEPS - self.pace;
        let is_varied =
            self.samples >= MIN_SAMPLES && self.variance >= MIN_VARIANCE * STEPS * STEPS;
        let (by, per) = if is_varied {
            (covariance.max(0), self.variance)
        } else {
            (assumed, self.pace)
        };
        // Compares the slopes `by / per` and `mean / pace`.
        let (by, per) =
            if i128::from(by) * i128::from(self.pace) > i128::from(mean) * i128::from(per) {
                (mean, self.pace)
            } else {
                (by, per)
            };
        let change = i128::from(by) * i128::from(pace_change) / i128::from(per.max(1));
        i64::try_from(change).unwrap_or(0)
    }

    /// Time to the first event at a target with this pace, in percent.
    pub fn response_at(&self, pace: u32) -> Millis {
        let change = self.change(self.response, self.response_covariance, 0, pace);
        in_millis(self.response + change)
    }

    /// Time for which a request holds its slot at a target with this pace, in percent.
    pub fn occupancy_at(&self, pace: u32) -> Millis {
        let (mean, covariance) = (self.occupancy, self.occupancy_covariance);
        in_millis(mean + self.change(mean, covariance, mean, pace))
    }

    /// Time for which a request holds its slot at a target that works as usual.
    pub fn usual_occupancy(&self) -> Millis {
        self.occupancy_at(USUAL_PACE).max(Millis(1))
    }

    /// Pace that a complete answer shows, in percent.
    pub fn measured_pace(&self, occupancy: Millis) -> u32 {
        let percent = occupancy * u64::from(USUAL_PACE);
        u32::try_from(percent.0 / self.usual_occupancy().0).unwrap_or(u32::MAX)
    }
}
