//! The leader's side: a bucket a team, and which entries are there.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    net::IpAddr,
};

use yuccaseam_base::{
    Millis,
    TeamName, //
};

use super::{
    BRIEF_LEASE,
    DEPUTY_PRESENCE_TIMEOUT,
    FLEET_MEMORY,
    LONG_LEASE,
    Limit,
    PRESENCE_TIMEOUT,
    QuotaAnswer,
    QuotaAsk,
    QuotaGrant,
    QuotaWant,
    limit::PARTS_PER_TOKEN, //
};

/// Part of a bucket above which tokens for expected requests are granted.
const AHEAD_LEVEL_DIVISOR: u64 = 2;
/// Part of a bucket that tokens for expected requests may hold.
const AHEAD_HELD_DIVISOR: u64 = 4;
/// Longest time that a refused caller is told to stay away for other refused callers.
const MAX_BACKLOG: Millis = Millis(2_000);
/// How long a count of the entries is used.
const COUNT_LIFETIME: Millis = Millis(50);

/// Whose ledger it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Leader {
        /// When it began to lead.
        since: Millis,
    },
    /// Of absent entries.
    Deputy,
}

impl Role {
    fn presence_timeout(self) -> Millis {
        match self {
            Self::Leader { .. } => PRESENCE_TIMEOUT,
            Self::Deputy => DEPUTY_PRESENCE_TIMEOUT,
        }
    }
}

/// Entries that the leader hears, of all that there are.
#[derive(Clone, Copy, Debug, Default)]
struct Fleet {
    present: u64,
    all: u64,
}

impl Fleet {
    /// Part of an amount that belongs to the entries that are present.
    fn present_part(self, amount: u64) -> u64 {
        if self.present >= self.all {
            return amount;
        }
        // In 128 bits, the product of two 64-bit numbers does not overflow.
        let part = u128::from(amount) * u128::from(self.present) / u128::from(self.all);
        u64::try_from(part).unwrap_or(amount)
    }
}

/// Tokens of one kind that entries may still spend.
#[derive(Debug, Default)]
struct Leases {
    ends: VecDeque<(Millis, u64)>,
    /// Sum of the parts.
    parts: u64,
}

impl Leases {
    fn add(&mut self, ends_at: Millis, parts: u64) {
        if parts == 0 {
            return;
        }
        self.parts += parts;
        match self.ends.back_mut() {
            Some((end, sum)) if *end == ends_at => *sum += parts,
            _ => self.ends.push_back((ends_at, parts)),
        }
    }

    fn expire(&mut self, now: Millis) {
        while let Some((_, parts)) = self.ends.pop_front_if(|(end, _)| *end <= now) {
            self.parts -= parts;
        }
    }
}

/// Bucket of one team.
#[derive(Debug)]
struct Bucket {
    level: u64,
    filled_at: Millis,
    brief: Leases,
    long: Leases,
    /// Parts for requests that were refused and are expected again.
    backlog: u64,
}

impl Bucket {
    fn new(limit: &Limit, fleet: Fleet, role: Role, now: Millis) -> Self {
        let (level, filled_at) = match role {
            Role::Leader { since } => (limit.takeover, since),
            Role::Deputy => (fleet.present_part(limit.takeover), now),
        };
        Self {
            level,
            filled_at,
            brief: Leases::default(),
            long: Leases::default(),
            backlog: 0,
        }
    }

    /// Fills the bucket up to `now`.
    fn fill(&mut self, limit: &Limit, fleet: Fleet, role: Role, now: Millis) {
        let elapsed = now - self.filled_at;
        self.filled_at = now;
        let income = fleet.present_part(limit.rate.saturating_mul(elapsed.0));
        self.brief.expire(now);
        self.long.expire(now);
        self.backlog = self.backlog.saturating_sub(income);
        let held = self.brief.parts + self.long.parts;
        // Brief leases would fill what a new leader or a deputy has: the overage has a part for them.
        let (capacity, held) = match role {
            // One token more: what its entries may keep may be less than one.
            Role::Deputy => (
                fleet.present_part(limit.takeover) + PARTS_PER_TOKEN,
                self.long.parts,
            ),
            Role::Leader { since } if now < since + LONG_LEASE => (limit.takeover, self.long.parts),
            Role::Leader { .. } => {
                let capacity = fleet.present_part(limit.capacity);
                (capacity.max(PARTS_PER_TOKEN), held)
            }
        };
        let room = capacity.saturating_sub(held);
        self.level = self.level.saturating_add(income).min(room);
    }

    /// Takes up to `wanted` tokens. Returns their number.
    fn take(&mut self, wanted: u64) -> u64 {
        let tokens = wanted.min(self.level / PARTS_PER_TOKEN);
        self.level -= tokens * PARTS_PER_TOKEN;
        tokens
    }

    fn grant(&mut self, want: &QuotaWant, limit: &Limit, fleet: Fleet, now: Millis) -> QuotaGrant {
        let waiting = self.take(want.waiting.into());
        self.brief.add(now + BRIEF_LEASE, waiting * PARTS_PER_TOKEN);
        let missing = u64::from(want.waiting) - waiting;
        let room_in = (missing > 0).then(|| {
            let rate = fleet.present_part(limit.rate).max(1);
            let owed = self.backlog + PARTS_PER_TOKEN - self.level.min(PARTS_PER_TOKEN);
            let max_backlog = rate.saturating_mul(MAX_BACKLOG.0);
            self.backlog = (self.backlog + missing * PARTS_PER_TOKEN).min(max_backlog);
            owed.div_ceil(rate)
        });
        let expected = self.take(self.ahead(want, limit, fleet));
        self.long.add(now + LONG_LEASE, expected * PARTS_PER_TOKEN);
        QuotaGrant {
            waiting: saturate(waiting),
            expected: saturate(expected),
            room_in_ms: room_in.map(saturate),
        }
    }

    /// Tokens for expected requests that may be granted: none from a bucket that others may soon need.
    fn ahead(&self, want: &QuotaWant, limit: &Limit, fleet: Fleet) -> u64 {
        let reserve = limit.capacity / AHEAD_LEVEL_DIVISOR;
        let most_held = limit.capacity / AHEAD_HELD_DIVISOR;
        let room = self.level.saturating_sub(reserve);
        let room = room.min(most_held.saturating_sub(self.long.parts));
        let part = (most_held / fleet.present.max(1)).max(PARTS_PER_TOKEN);
        u64::from(want.expected).min(room.min(part) / PARTS_PER_TOKEN)
    }
}

fn saturate(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// The buckets of all teams that a leader or deputy has granted tokens of.
#[derive(Debug)]
pub struct Ledger {
    role: Role,
    /// Version of the manifest that the limits are from.
    version: Option<u64>,
    limits: HashMap<TeamName, Limit>,
    buckets: HashMap<TeamName, Bucket>,
    /// When each entry was last heard.
    heard: HashMap<IpAddr, Millis>,
    /// Number of entries under a former leader, and until when it is used.
    reported: (u64, Millis),
    counted: Option<(Fleet, Millis)>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new(Millis::ZERO)
    }
}

impl Ledger {
    /// Creates the ledger of an instance that leads from `since` on.
    pub fn new(since: Millis) -> Self {
        Self::with_role(Role::Leader { since })
    }

    /// Creates the ledger of a deputy, which grants the shares of the absent entries that ask it.
    pub fn deputy() -> Self {
        Self::with_role(Role::Deputy)
    }

    fn with_role(role: Role) -> Self {
        Self {
            role,
            version: None,
            limits: HashMap::new(),
            buckets: HashMap::new(),
            heard: HashMap::new(),
            reported: (0, Millis::ZERO),
            counted: None,
        }
    }

    /// Whether an entry other than `own` is there.
    pub fn hears_others(&self, own: IpAddr, now: Millis) -> bool {
        let timeout = self.role.presence_timeout();
        let mut heard = self.heard.iter();
        heard.any(|(ip, heard)| *ip != own && now < *heard + timeout)
    }

    /// Version of the manifest that the limits are from.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Number of teams with a bucket.
    pub fn buckets(&self) -> usize {
        self.buckets.len()
    }

    /// Replaces the limits of all teams. Levels stay, up to the new capacities.
    pub fn set_limits<I>(&mut self, version: u64, limits: I)
    where
        I: IntoIterator<Item = (TeamName, Limit)>,
    {
        self.version = Some(version);
        self.limits = limits.into_iter().collect();
        let limits = &self.limits;
        self.buckets.retain(|team, _| limits.contains_key(team));
    }

    /// Answers an entry. A team without a limit gets what it asks for.
    pub fn answer(&mut self, entry: IpAddr, ask: &QuotaAsk, now: Millis) -> QuotaAnswer {
        let fleet = self.hear(entry, ask.fleet.into(), now);
        let grants = ask.wants.iter().map(|want| {
            let Some(limit) = self.limits.get(&want.team) else {
                return QuotaGrant {
                    waiting: want.waiting,
                    expected: 0,
                    room_in_ms: None,
                };
            };
            // Not `entry`, which would copy the name each time.
            if !self.buckets.contains_key(&want.team) {
                let bucket = Bucket::new(limit, fleet, self.role, now);
                self.buckets.insert(want.team.clone(), bucket);
            }
            let bucket = self.buckets.get_mut(&want.team);
            let bucket = bucket.expect("it was inserted if it was missing");
            bucket.fill(limit, fleet, self.role, now);
            bucket.grant(want, limit, fleet, now)
        });
        QuotaAnswer {
            number: ask.number,
            fleet: saturate(fleet.all),
            grants: grants.collect(),
        }
    }

    /// Records that the connection of an entry has ended: from now on, it may spend its share.
    pub fn leave(&mut self, entry: IpAddr, now: Millis) {
        if let Some(heard) = self.heard.get_mut(&entry) {
            *heard = (*heard).min(now - PRESENCE_TIMEOUT);
            self.counted = None;
        }
    }

    /// Records that an entry is there. `reported` is the number of entries that it knows of.
    fn hear(&mut self, entry: IpAddr, reported: u64, now: Millis) -> Fleet {
        let is_new = self.heard.insert(entry, now).is_none();
        if is_new {
            self.counted = None;
        }
        // What an entry knows later is what this leader has told it.
        if (is_new || self.role == Role::Deputy) && reported >= self.reported.0 {
            self.reported = (reported, now + FLEET_MEMORY);
        }
        if let Some((fleet, until)) = self.counted
            && now < until
        {
            return fleet;
        }
        if self.reported.1 <= now {
            self.reported.0 = 0;
        }
        self.heard.retain(|_, heard| now < *heard + FLEET_MEMORY);
        let timeout = self.role.presence_timeout();
        let present = self.heard.values();
        let present = present.filter(|heard| now < **heard + timeout);
        let fleet = Fleet {
            present: present.count() as u64,
            all: self.reported.0.max(self.heard.len() as u64),
        };
        self.counted = Some((fleet, now + COUNT_LIFETIME));
        fleet
    }
}
