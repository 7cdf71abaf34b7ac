//! Settings of membership and target records.

use yuccaseam_base::{
    Millis,
    key, //
};

/// Intervals and bounds of the gossip protocol. The defaults suit 9 to about 300 daemons.
#[key]
pub struct FleetConfig {
    /// Interval between the probes that a daemon sends.
    pub probe_interval: Millis,
    /// Delay after which an unacknowledged probe is repeated through other daemons.
    pub indirect_probe_delay: Millis,
    /// Time after which an unacknowledged probe has failed.
    pub probe_timeout: Millis,
    /// Number of daemons through which a probe is repeated.
    pub indirect_count: usize,
    /// One of this many probes goes to another region.
    pub probes_per_remote: u64,
    /// Time that a suspect has to refute before it is declared dead.
    pub suspicion_timeout: Millis,
    /// Time that a dead instance is retained, with occasional reconnection attempts.
    pub dead_retention: Millis,
    /// Interval between attempts to reach a dead instance or an unused seed.
    pub reconnect_interval: Millis,
    /// Interval between gossip rounds while deltas are queued.
    pub gossip_interval: Millis,
    /// Number of daemons of the region that receive deltas in each gossip round.
    pub gossip_fanout: usize,
    /// Number of times that a daemon sends a locally made change to each other region.
    pub remote_sends: u32,
    /// Expected number of a region's daemons that relay a received change to each other region.
    pub remote_relays: usize,
    /// Bound on the bytes of deltas in one packet.
    pub max_delta_bytes: usize,
    /// Number of transmissions of a delta per binary digit of the region's daemon count.
    pub retransmit_factor: u32,
    /// Interval between digest comparisons with another daemon.
    pub sync_interval: Millis,
    /// Expected number of a region's daemons that compare digests with another region per interval.
    /// At most half of the region's daemons do.
    pub remote_syncs: usize,
    /// Bound on the bytes of records sent by one digest comparison.
    pub max_sync_bytes: usize,
    /// Time without a renewal after which a target is suspect.
    pub target_suspect_timeout: Millis,
    /// Time without a renewal after which a target is gone.
    pub target_expiry: Millis,
    /// Time that the record of a gone target is retained.
    pub gone_retention: Millis,
    /// Interval between the load reports sent to the owners of targets.
    pub load_report_interval: Millis,
    /// Minimum pause between ticks that is taken as a suspension of this process.
    pub freeze_threshold: Millis,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            probe_interval: Millis(1_000),
            indirect_probe_delay: Millis(400),
            probe_timeout: Millis(1_000),
            indirect_count: 3,
            probes_per_remote: 8,
            suspicion_timeout: Millis(3_000),
            dead_retention: Millis::from_secs(2 * 3_600),
            reconnect_interval: Millis(5_000),
            gossip_interval: Millis(250),
            gossip_fanout: 3,
            remote_sends: 2,
            remote_relays: 3,
            max_delta_bytes: 3_000,
            retransmit_factor: 2,
            sync_interval: Millis(10_000),
            remote_syncs: 4,
            max_sync_bytes: 32 << 10,
            target_suspect_timeout: Millis(3_000),
            target_expiry: Millis(9_000),
            gone_retention: Millis(60_000),
            load_report_interval: Millis(500),
            freeze_threshold: Millis(2_000),
        }
    }
}
