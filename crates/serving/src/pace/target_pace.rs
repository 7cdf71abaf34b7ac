//! Pace of one target, as reported and as measured.

use yuccaseam_base::{
    Millis,
    value, //
};

use super::average::Average;

/// Smallest and largest pace that is believed, in percent.
const MIN_PACE_PERCENT: u32 = 25;
const MAX_PACE_PERCENT: u32 = 500;
/// Age up to which a report of the momentary pace holds in full. From then on it fades.
const FRESH_REPORT_AGE: Millis = Millis(400);
/// Age at which a report says nothing of the momentary pace any more. A target that is avoided gets
/// requests again by then.
const MAX_REPORT_AGE: Millis = Millis(800);
/// Reports over which the lasting pace is averaged.
const REPORT_WINDOW: u32 = 32;
/// Complete answers over which the measured pace is averaged.
const ANSWER_WINDOW: u32 = 16;
/// Complete answers from which on the measured pace bounds the reported one.
const MIN_ANSWERS: u32 = 4;
/// Largest factor between the reported lasting pace and the measured one, in percent.
const MAX_LASTING_PERCENT: u32 = 150;
/// Largest factor by which work takes longer for a moment, in percent.
const MAX_SLOWDOWN_PERCENT: u32 = 300;
/// Largest factor by which work is faster for a moment, in percent: the lasting pace is that of an
/// otherwise idle machine, nearly.
const MAX_SPEEDUP_PERCENT: u32 = 150;
/// Difference from what the neighbours know, in percent of it, from which on they are told.
const NEWS_PERCENT: u32 = 30;

/// A reported pace and when it arrived.
#[value]
#[derive(Copy)]
pub struct PaceSample {
    /// Time that work takes, in percent of the usual time.
    pub percent: u32,
    /// When it arrived, by the clock of this instance.
    pub at: Millis,
}

/// Pace of one target.
#[value]
#[derive(Copy, Default)]
pub struct TargetPace {
    latest: Option<PaceSample>,
    /// What this instance and its neighbours have told each other last.
    shared: Option<PaceSample>,
    reported: Average,
    /// Smallest pace that neighbours have told. They tell the unusual, which is mostly slow.
    told: Option<u32>,
    measured: Average,
}

impl TargetPace {
    /// Records a pace that the target reported to this instance. Returns whether the neighbours
    /// should learn of it.
    pub fn record_report(&mut self, percent: u32, now: Millis) -> bool {
        let sample = self.apply(percent, now);
        let is_news = self.is_news(sample);
        self.reported.record(sample.percent, REPORT_WINDOW);
        if is_news {
            self.shared = Some(sample);
        }
        is_news
    }

    /// Records a pace that the target reported to a neighbour.
    pub fn record_neighbour_report(&mut self, percent: u32, now: Millis) {
        let sample = self.apply(percent, now);
        let told = self.told.unwrap_or(sample.percent);
        self.told = Some(told.min(sample.percent));
        self.shared = Some(sample);
    }

    fn apply(&mut self, percent: u32, now: Millis) -> PaceSample {
        let sample = PaceSample {
            percent: percent.clamp(MIN_PACE_PERCENT, MAX_PACE_PERCENT),
            at: now,
        };
        self.latest = Some(sample);
        sample
    }

    /// Whether neighbours expect another pace than this one.
    fn is_news(&self, sample: PaceSample) -> bool {
        let lasting = self.lasting();
        let expected = match self.shared {
            Some(shared) if sample.at < shared.at + FRESH_REPORT_AGE => Some(shared.percent),
            _ => lasting,
        };
        expected.is_none_or(|expected| {
            sample.percent.abs_diff(expected) * 100 > expected * NEWS_PERCENT
        })
    }

    /// Records how long a complete answer took, in percent of the usual time.
    pub fn record_answer(&mut self, percent: u32) {
        let percent = percent.clamp(MIN_PACE_PERCENT, MAX_PACE_PERCENT);
        self.measured.record(percent, ANSWER_WINDOW);
    }

    /// Pace without momentary changes. `None` if nothing is known.
    fn lasting(&self) -> Option<u32> {
        let measured = self.measured.percent(MIN_ANSWERS);
        let reported = self.reported.percent(1).or(self.told);
        match (reported, measured) {
            (Some(reported), Some(measured)) => {
                let min = measured * 100 / MAX_LASTING_PERCENT;
                Some(reported.clamp(min, measured * MAX_LASTING_PERCENT / 100))
            }
            (reported, measured) => reported.or(measured),
        }
    }

    /// Expected pace of a request that starts now, in percent. `momentary_percent` is the part of the
    /// request for which a momentary pace holds. `None` if nothing is known.
    pub fn expected(&self, momentary_percent: u32, now: Millis) -> Option<u32> {
        let lasting = self.lasting()?;
        let Some(latest) = self.latest else {
            return Some(lasting);
        };
        let min = lasting * 100 / MAX_SPEEDUP_PERCENT;
        let momentary = latest
            .percent
            .clamp(min, lasting * MAX_SLOWDOWN_PERCENT / 100);
        let left = MAX_REPORT_AGE - (now - latest.at).max(FRESH_REPORT_AGE);
        let weight = left.0 * u64::from(momentary_percent) / (MAX_REPORT_AGE - FRESH_REPORT_AGE).0;
        let shift = (i64::from(momentary) - i64::from(lasting)) * weight as i64 / 100;
        u32::try_from(i64::from(lasting) + shift).ok()
    }
}
