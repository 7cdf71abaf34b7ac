//! Time in milliseconds.

use std::{
    fmt,
    ops::{Add, AddAssign, Mul, Sub},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};

use serde::{Deserialize, Serialize};

/// Point in time or duration, in milliseconds.
///
/// The name of the variable says which: `now`, `*_at`, `deadline` and `expiry` are points in time,
/// all others are durations. Arithmetic saturates, so a point before the start of the clock becomes
/// the start.
///
/// # Examples
///
/// ```
/// use yuccaseam_base::Millis;
///
/// let deadline = Millis(1_000) + Millis::from_secs(2);
/// assert_eq!(deadline, Millis(3_000));
/// assert_eq!(Millis(5) - Millis(9), Millis::ZERO);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Start of a clock, or an empty duration.
    pub const ZERO: Self = Self(0);

    /// Largest value, used for a deadline that never passes.
    pub const MAX: Self = Self(u64::MAX);

    /// Converts from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000))
    }

    /// Returns the wall-clock time since the Unix epoch. It can jump: use it for retention and for
    /// display, never for leases.
    pub fn unix_now() -> Self {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .into()
    }

    /// Converts to [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Mul<u64> for Millis {
    type Output = Self;

    fn mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// Monotonic clock of one process, which starts at [`Millis::ZERO`].
///
/// It reads `CLOCK_BOOTTIME`, which advances while the machine is suspended, so that an instance
/// finds its leases expired when it resumes.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// Returns the time since the start. It never decreases.
    pub fn now(&self) -> Millis {
        since_boot().saturating_sub(self.start).into()
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::try_from(time).expect("the time since boot is not negative")
}
