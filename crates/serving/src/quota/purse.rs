//! The entry's side: tokens that it holds, and what it asks for.

use std::collections::{
    HashMap,
    VecDeque, //
};

use yuccaseam_base::{
    Millis,
    TeamName, //
};

use super::{
    ABSENCE_DELAY,
    BRIEF_LEASE,
    DEPUTY_HEARTBEAT_INTERVAL,
    HEARTBEAT_INTERVAL,
    LONG_LEASE,
    Limit,
    MAX_WAIT,
    QuotaAnswer,
    QuotaAsk,
    QuotaGrant,
    QuotaWant,
    SHARE_LIFETIME,
    limit::PARTS_PER_TOKEN,
    spare::{
        Isolation,
        Spare,
        draw, //
    }, //
};

/// Bounds on the time for which requests are refused without another question.
const MIN_DENIAL: Millis = Millis(25);
const MAX_DENIAL: Millis = Millis(100);
/// Retry delay of a request for which nobody answered.
const NO_ANSWER_RETRY: Millis = Millis(700);
/// Time over which the requests of a team at this entry are averaged.
const DEMAND_TIME: Millis = Millis(2_000);
/// Time without a request after which a team's account is dropped.
const ACCOUNT_LIFETIME: Millis = Millis(60_000);
/// Time for which a team's requests go on at the rate of their grants while nobody answers: a change of leaders.
const MAX_CONTINUATION: Millis = Millis(2_000);
/// Rate of that in relation to the rate of the grants, in percent. Demand comes in waves.
const CONTINUATION_PERCENT: u64 = 150;
/// Largest number of questions without an answer that are remembered.
const MAX_UNANSWERED: usize = 256;

/// Where the token of a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The leader granted it.
    Leased,
    /// No answer came; it is from this entry's part of the overage.
    Spare,
    /// The leader counts this entry as absent; it is from this entry's share.
    Share,
    /// No answer came; the team's requests go on as before, since it was within its quota.
    Continued,
}

impl Source {
    /// Stable name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leased => "leased",
            Self::Spare => "spare",
            Self::Share => "share",
            Self::Continued => "continued",
        }
    }
}

/// Why a request gets no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The team has used up its quota.
    OverQuota,
    /// Nobody said whether the team has room, and this entry has no token to spend.
    NoAnswer,
}

/// Connection of an entry to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// The leader hears this entry.
    Open,
    /// The leader's end was closed, so that it knows of the loss or leads no more.
    Ended,
    /// The leader may still count this entry as present.
    Silent,
    /// Another entry answers in place of the leader.
    Deputy,
}

/// Answer to a request that needs a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// The request may run.
    Granted(Source),
    /// It waits for an answer, at most until the given time.
    Wait(Millis),
    /// It is refused, and may be sent again after the given time.
    Denied(Denial, Millis),
}

/// A request that needs a token.
#[derive(Debug)]
pub struct Ticket {
    arrived_at: Option<Millis>,
    /// Number of the question that asks for it.
    asked: Option<u64>,
}

impl Ticket {
    /// Creates the ticket of a request that has just arrived.
    pub fn new() -> Self {
        Self {
            arrived_at: None,
            asked: None,
        }
    }
}

impl Default for Ticket {
    fn default() -> Self {
        Self::new()
    }
}

#[derive(Debug, Default)]
struct Account {
    /// Ends of leases and the tokens that are left of each.
    held: Vec<(Millis, u32)>,
    /// Requests to be asked for.
    waiting: u32,
    /// Whether tokens for expected requests are to be asked for.
    is_low: bool,
    /// Requests a second times [`DEMAND_TIME`].
    demand: f64,
    last_request: Millis,
    denied_until: Millis,
    room_at: Millis,
    /// When the leader last said that the team has no room.
    denied_at: Option<Millis>,
    grants: Grants,
    spare: Spare,
}

/// Tokens of the leader that a team's requests have spent, and what they spend by that rate without it.
#[derive(Debug, Default)]
struct Grants {
    /// Spent tokens, fading over one window.
    spent: f64,
    spent_at: Millis,
    /// When the leader last answered before `continued` requests went on without it.
    silent_since: Millis,
    continued: u64,
}

impl Grants {
    fn fade(&mut self, window: Millis, now: Millis) {
        let elapsed = (now - self.spent_at).0 as f64;
        self.spent *= (-elapsed / window.0.max(1) as f64).exp();
        self.spent_at = now;
    }

    /// Records a spent token of the leader.
    fn record(&mut self, window: Millis, now: Millis) {
        self.fade(window, now);
        self.spent += 1.0;
    }

    /// Whether one more request may go on without the leader, which was last heard at `silent_since`. `draw` is
    /// below one: fractions of a request are rounded so that the sum over all entries is right.
    fn continue_one(
        &mut self,
        silent_since: Millis,
        window: Millis,
        draw: f64,
        now: Millis,
    ) -> bool {
        let silence = now - silent_since;
        if silence > MAX_CONTINUATION {
            return false;
        }
        if self.silent_since != silent_since {
            self.fade(window, silent_since);
            (self.silent_since, self.continued) = (silent_since, 0);
        }
        let silent_part = silence.0 as f64 / window.0.max(1) as f64;
        let allowed = self.spent * silent_part * CONTINUATION_PERCENT as f64 / 100.0;
        let may_go_on = (self.continued + 1) as f64 <= allowed + draw;
        self.continued += u64::from(may_go_on);
        may_go_on
    }
}

impl Account {
    fn spend(&mut self, now: Millis) -> bool {
        self.held.retain(|(end, tokens)| now < *end && *tokens > 0);
        // The one that ends first.
        let Some((_, tokens)) = self.held.iter_mut().min_by_key(|(end, _)| *end) else {
            return false;
        };
        *tokens -= 1;
        true
    }

    fn wants_to_ask(&self) -> bool {
        self.waiting > 0 || self.is_low
    }

    fn held(&self) -> u32 {
        self.held.iter().map(|(_, tokens)| tokens).sum()
    }

    fn record_request(&mut self, now: Millis) {
        let elapsed = (now - self.last_request).0 as f64;
        self.demand = self.demand * (-elapsed / DEMAND_TIME.0 as f64).exp() + 1.0;
        self.last_request = now;
    }

    /// Requests that are expected within a long lease, beyond the tokens held.
    fn expected(&self) -> u32 {
        let requests = self.demand * LONG_LEASE.0 as f64 / DEMAND_TIME.0 as f64;
        (requests as u32).saturating_sub(self.held())
    }

    fn add(&mut self, tokens: u32, ends_at: Millis) {
        if tokens > 0 {
            self.held.push((ends_at, tokens));
        }
    }

    fn apply(&mut self, grant: &QuotaGrant, asked_at: Millis, now: Millis) {
        self.add(grant.waiting, asked_at + BRIEF_LEASE);
        self.add(grant.expected, asked_at + LONG_LEASE);
        if let Some(room_in) = grant.room_in_ms.map(|ms| Millis(ms.into())) {
            self.denied_at = Some(now);
            self.denied_until = now + room_in.clamp(MIN_DENIAL, MAX_DENIAL);
            self.room_at = now + room_in.max(MIN_DENIAL);
        }
    }
}

/// A question without an answer.
#[derive(Debug)]
struct Unanswered {
    number: u64,
    asked_at: Millis,
    teams: Vec<TeamName>,
}

/// Tokens of all teams at one entry.
#[derive(Debug)]
pub struct Purse {
    seed: u64,
    accounts: HashMap<TeamName, Account>,
    connection: Connection,
    /// Whether the last connection to the leader has ended, and not only become silent.
    has_ended: bool,
    /// When the connection was last opened or lost.
    connection_since: Millis,
    next_number: u64,
    /// Number of the last question that was answered or never will be.
    answered: u64,
    unanswered: VecDeque<Unanswered>,
    fleet: u32,
    /// When the leader last answered.
    answered_at: Option<Millis>,
    /// When a question was last sent to the leader.
    sent_at: Option<Millis>,
    /// When a question was last sent to a deputy.
    deputy_asked_at: Option<Millis>,
}

impl Purse {
    /// Creates an empty purse. `seed` differs between entries.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            accounts: HashMap::new(),
            connection: Connection::Silent,
            has_ended: false,
            connection_since: Millis::ZERO,
            next_number: 1,
            answered: 0,
            unanswered: VecDeque::new(),
            fleet: 0,
            answered_at: None,
            sent_at: None,
            deputy_asked_at: None,
        }
    }

    /// Records that a direct connection to a leader was opened or lost. Tokens outlive it.
    pub fn set_connection(&mut self, connection: Connection, now: Millis) {
        if self.connection == connection {
            return;
        }
        if connection != Connection::Deputy {
            self.has_ended = connection == Connection::Ended;
        }
        self.connection = connection;
        self.connection_since = now;
        self.unanswered.clear();
        self.answered = self.next_number;
        self.next_number += 1;
    }

    /// Whether the leader leaves this entry its share, of which a deputy may be asked.
    pub fn is_absent(&self, now: Millis) -> bool {
        if self.connection == Connection::Open {
            return false;
        }
        let delay = if self.has_ended {
            Millis::ZERO
        } else {
            ABSENCE_DELAY
        };
        let is_in = |at| now >= at + delay && now < at + SHARE_LIFETIME;
        self.fleet > 0 && self.sent_at.is_some_and(is_in)
    }

    /// Kind of connection to the leader.
    pub fn connection(&self) -> Connection {
        self.connection
    }

    /// Time since the last answer, if there was one.
    pub fn answer_age(&self, now: Millis) -> Option<Millis> {
        self.answered_at.map(|at| now - at)
    }

    /// Tokens of a team that are held.
    pub fn held(&self, team: &TeamName) -> u32 {
        self.accounts.get(team).map_or(0, Account::held)
    }

    /// Takes a token for a request, or decides that it waits or is refused. Called again after each
    /// answer, and when the wait is over.
    pub fn take(
        &mut self,
        team: &TeamName,
        limit: &Limit,
        ticket: &mut Ticket,
        now: Millis,
    ) -> Take {
        let isolation = self.isolation(now);
        let can_ask = self.can_ask(now);
        let answered_at = self.answered_at;
        // The leadership may have been transferred.
        let may_return =
            self.connection == Connection::Ended && now < self.connection_since + MAX_WAIT;
        // Not `entry`, which would copy the name each time.
        if !self.accounts.contains_key(team) {
            self.accounts.insert(team.clone(), Account::default());
        }
        let account = self.accounts.get_mut(team);
        let account = account.expect("it was inserted if it was missing");
        let arrived_at = *ticket.arrived_at.get_or_insert_with(|| {
            account.record_request(now);
            now
        });
        if account.spend(now) {
            account.grants.record(limit.window, now);
            account.is_low = account.held() == 0 && account.expected() > 0;
            return Take::Granted(Source::Leased);
        }
        if now < account.denied_until {
            return Take::Denied(Denial::OverQuota, account.room_at - now);
        }
        let deadline = arrived_at + MAX_WAIT;
        if can_ask && now < deadline {
            if ticket.asked.is_none_or(|asked| asked <= self.answered) {
                ticket.asked = Some(self.next_number);
                account.waiting += 1;
            }
            return Take::Wait(deadline);
        }
        if let Some(silent_since) = answered_at
            && account.denied_at.is_none_or(|at| now >= at + limit.window)
            && !isolation.is_absent
        {
            let draw = draw(team, silent_since.0, isolation.seed) as f64 / PARTS_PER_TOKEN as f64;
            let grants = &mut account.grants;
            if grants.continue_one(silent_since, limit.window, draw, now) {
                return Take::Granted(Source::Continued);
            }
        }
        if account.spare.take(team, limit, isolation, now) {
            let source = if isolation.is_absent {
                Source::Share
            } else {
                Source::Spare
            };
            return Take::Granted(source);
        }
        if may_return && now < deadline {
            return Take::Wait(deadline);
        }
        Take::Denied(Denial::NoAnswer, NO_ANSWER_RETRY)
    }

    /// Whether a question would be answered soon.
    fn can_ask(&self, now: Millis) -> bool {
        let oldest = self.unanswered.front();
        let is_heard = matches!(self.connection, Connection::Open | Connection::Deputy);
        is_heard && oldest.is_none_or(|oldest| now < oldest.asked_at + MAX_WAIT)
    }

    fn isolation(&self, now: Millis) -> Isolation {
        // A deputy that hears this entry grants its share.
        let is_heard = |at| now < at + ABSENCE_DELAY;
        let is_alone = !self.deputy_asked_at.is_some_and(is_heard);
        Isolation {
            fleet: self.fleet.into(),
            is_absent: is_alone && self.is_absent(now),
            seed: self.seed,
        }
    }

    /// Whether a question for a team is due.
    pub fn wants_to_ask(&self, team: &TeamName) -> bool {
        self.accounts.get(team).is_some_and(Account::wants_to_ask)
    }

    /// Returns the next question if one is due: what requests wait for, or a sign that this entry is there. It
    /// leaves out the number of entries while this one has no share to spend.
    pub fn next_ask(&mut self, now: Millis) -> Option<QuotaAsk> {
        let has_share = self.connection == Connection::Open || self.is_absent(now);
        self.accounts
            .retain(|_, account| now < account.last_request + ACCOUNT_LIFETIME);
        let is_deputy = self.connection == Connection::Deputy;
        let (last, interval) = if is_deputy {
            (&mut self.deputy_asked_at, DEPUTY_HEARTBEAT_INTERVAL)
        } else {
            (&mut self.sent_at, HEARTBEAT_INTERVAL)
        };
        let is_heartbeat_due = last.is_none_or(|at| now >= at + interval);
        if !is_heartbeat_due && !self.accounts.values().any(Account::wants_to_ask) {
            return None;
        }
        *last = Some(now);
        let mut wants = Vec::new();
        for (team, account) in &mut self.accounts {
            if !account.wants_to_ask() {
                continue;
            }
            wants.push(QuotaWant {
                team: team.clone(),
                waiting: std::mem::take(&mut account.waiting),
                expected: account.expected(),
            });
            account.is_low = false;
        }
        let number = self.next_number;
        self.next_number += 1;
        if self.unanswered.len() == MAX_UNANSWERED {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back(Unanswered {
            number,
            asked_at: now,
            teams: wants.iter().map(|want| want.team.clone()).collect(),
        });
        Some(QuotaAsk {
            number,
            fleet: if has_share { self.fleet } else { 0 },
            wants,
        })
    }

    /// Applies an answer. Answers to questions of an earlier connection have no effect.
    pub fn apply(&mut self, answer: &QuotaAnswer, now: Millis) {
        while let Some(asked) = self
            .unanswered
            .pop_front_if(|asked| asked.number <= answer.number)
        {
            if asked.number != answer.number {
                continue;
            }
            self.answered = answer.number;
            self.answered_at = Some(now);
            if self.connection == Connection::Open {
                self.fleet = answer.fleet;
            }
            for (team, grant) in asked.teams.iter().zip(&answer.grants) {
                if let Some(account) = self.accounts.get_mut(team) {
                    account.apply(grant, asked.asked_at, now);
                }
            }
        }
    }
}
