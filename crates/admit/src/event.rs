//! What a gate hears and what it orders.

use yuccaseam_base::{
    Millis,
    Reason,
    entity_key,
    key,
    value, //
};

entity_key! {
    /// An instance that acts as an entry, as the owner has interned its name.
    pub struct Entry;
}

entity_key! {
    /// A team, as the owner has interned its name.
    pub struct Team;
}

entity_key! {
    /// A request class, as the owner has interned its name.
    pub struct Class;
}

/// The number of a permit at the owner that gave it.
#[key]
pub struct PermitId(pub u64);

/// One stay of a batch item in a slot. An item that was paused has a new run when it resumes.
#[key]
pub struct RunId(pub u64);

/// An online request that asks for a permit.
#[value]
#[derive(Copy)]
pub struct Request {
    /// The permit it will hold.
    pub permit: PermitId,
    /// The entry that asks.
    pub entry: Entry,
    /// The team that the caller belongs to.
    pub team: Team,
    /// The request class.
    pub class: Class,
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// The tokens that the answer may have.
    pub answer_tokens: u32,
    /// The weight of the team in this class; 0 counts as 1.
    pub weight: u32,
    /// The last point at which the request may still start.
    pub deadline: Millis,
}

/// What a target reports of its load, some time ago.
#[value]
#[derive(Copy)]
pub struct LoadReport {
    /// Requests in slots.
    pub running: u32,
    /// Requests that wait inside the target.
    pub waiting: u32,
    /// The share of KV cache memory that is in use, from 0 to 1,000.
    pub kv_permille: u32,
    /// How long ago this was true.
    pub age: Millis,
}

/// Whether a target takes new work.
#[key]
pub enum TargetState {
    /// It answers.
    Live,
    /// It did not answer lately: nothing new starts, and what waits stays until its deadline.
    Suspect,
    /// It leaves: what waits is refused, and batch is paused.
    Leaving,
}

/// What happened at a target or at an entry.
#[value]
pub enum Event {
    /// An online request arrives.
    Arrived(Request),
    /// The caller of a waiting or running request is gone.
    Withdrawn(PermitId),
    /// A call ended and its permit is returned.
    Finished(PermitId),
    /// An entry says which of its permits are in use.
    Renewed {
        /// The entry.
        entry: Entry,
        /// Its permits.
        in_use: Vec<PermitId>,
    },
    /// An entry died or is unreachable.
    EntryLost(Entry),
    /// The target reports its load.
    Load(LoadReport),
    /// A stream at this target had this time between two tokens.
    Paced {
        /// The time between two tokens, in microseconds.
        step_micros: u32,
    },
    /// The side that runs batch starts anew: none of its earlier runs holds a slot.
    BatchOpened,
    /// The side that runs batch ends: its runs are paused, and none starts.
    BatchClosing,
    /// This many batch items are at hand for the target, besides those that run.
    BatchReady(u32),
    /// A batch run received its first token.
    BatchFirstToken(RunId),
    /// A batch run that was told to pause has left its slot.
    BatchPaused(RunId),
    /// A batch run ended, or found no item to start.
    BatchFinished(RunId),
    /// The target's state changed.
    Target(TargetState),
    /// Time has passed.
    Tick,
}

/// What the owner does next.
#[value]
#[derive(Copy)]
pub enum Action {
    /// The request may start now.
    Grant {
        /// The entry that asked.
        entry: Entry,
        /// The permit.
        permit: PermitId,
    },
    /// The request did not start and will not.
    Refuse {
        /// The entry that asked.
        entry: Entry,
        /// The permit it will not hold.
        permit: PermitId,
        /// Why.
        reason: Reason,
        /// When the same request is expected to start in time.
        retry_after: Millis,
    },
    /// The next batch item takes a slot under this run.
    StartBatch(RunId),
    /// The run is cancelled with a point to resume from.
    PauseBatch(RunId),
}
