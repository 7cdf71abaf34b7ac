//! Time in milliseconds.

use std::{
    fmt,
    ops::{Add, AddAssign, Mul, Sub},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};

use serde::{Deserialize, Serialize};

/// A point in time or a length of time, in milliseconds.
///
/// Which of the two follows from the name that holds it: `now`, `*_at`, `deadline` and `expiry`
/// are points, all others are lengths. Arithmetic saturates, so that a point before the start of
/// the clock is the start.
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
    /// The start of a clock, or no time at all.
    pub const ZERO: Self = Self(0);

    /// The largest value: a deadline that never passes.
    pub const MAX: Self = Self(u64::MAX);

    /// A length of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000))
    }

    /// The wall-clock time since the Unix epoch. It may jump: use it for retention and for
    /// people, never for leases.
    pub fn unix_now() -> Self {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .into()
    }

    /// This length as the standard library's type.
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

/// The monotonic clock of one process, which starts at [`Millis::ZERO`].
///
/// It reads `CLOCK_BOOTTIME`, which goes on while the machine is suspended: an instance that wakes
/// finds its leases expired.
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

    /// The time since the start. It never goes back.
    pub fn now(&self) -> Millis {
        since_boot().saturating_sub(self.start).into()
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::try_from(time).expect("the time since boot is not negative")
}
