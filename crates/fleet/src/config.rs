//! Settings of membership and of target records.

use yuccaseam_base::{
    Millis,
    key, //
};

/// Intervals and bounds. The default suits 9 to some 300 daemons.
#[key]
pub struct FleetConfig {
    /// How often a daemon probes another one.
    pub probe_interval: Millis,
    /// When a probe without an answer is repeated through other daemons.
    pub indirect_after: Millis,
    /// When a probe without an answer has failed.
    pub probe_timeout: Millis,
    /// Through how many daemons a probe is repeated.
    pub indirect_count: usize,
    /// Every how many probes one goes to another region.
    pub probes_per_remote: u64,
    /// How long a suspect may refute before it is held dead.
    pub suspicion: Millis,
    /// How long a dead instance is remembered, and tried now and then.
    pub dead_retention: Millis,
    /// How often a dead instance or an unused seed is tried.
    pub reconnect_interval: Millis,
    /// How often deltas are sent, if there are any.
    pub gossip_interval: Millis,
    /// To how many daemons of the region deltas are sent at once.
    pub gossip_fanout: usize,
    /// How often a daemon sends a change that it made to each other region.
    pub remote_sends: u32,
    /// About how many of the daemons of a region send a change that they heard of to each other
    /// region.
    pub remote_relays: usize,
    /// How many bytes of deltas a packet carries.
    pub packet_bytes: usize,
    /// A delta is sent this often per binary digit of the number of daemons in the region.
    pub retransmits: u32,
    /// How often digests are compared with another daemon.
    pub sync_interval: Millis,
    /// About how many of the daemons of a region compare with another region in one interval; at
    /// most half of them.
    pub remote_syncs: usize,
    /// How many bytes of records one comparison may send.
    pub sync_bytes: usize,
    /// When a target that was not renewed is suspect.
    pub target_suspect_after: Millis,
    /// When a target that was not renewed is gone.
    pub target_expiry: Millis,
    /// How long a target that is gone is remembered.
    pub gone_retention: Millis,
    /// How often load reports are sent to the owners of targets.
    pub load_interval: Millis,
    /// A longer pause between ticks means that this process was stopped.
    pub freeze: Millis,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            probe_interval: Millis(1_000),
            indirect_after: Millis(400),
            probe_timeout: Millis(1_000),
            indirect_count: 3,
            probes_per_remote: 8,
            suspicion: Millis(3_000),
            dead_retention: Millis::from_secs(2 * 3_600),
            reconnect_interval: Millis(5_000),
            gossip_interval: Millis(250),
            gossip_fanout: 3,
            remote_sends: 2,
            remote_relays: 3,
            packet_bytes: 3_000,
            retransmits: 2,
            sync_interval: Millis(10_000),
            remote_syncs: 4,
            sync_bytes: 32 << 10,
            target_suspect_after: Millis(3_000),
            target_expiry: Millis(9_000),
            gone_retention: Millis(60_000),
            load_interval: Millis(500),
            freeze: Millis(2_000),
        }
    }
}
