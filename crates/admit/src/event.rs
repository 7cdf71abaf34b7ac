//! Events and actions of a gate.

use yuccaseam_base::{
    Millis,
    Reason,
    entity_key,
    key,
    value, //
};

entity_key! {
    /// An instance that acts as an entry, by the key under which the owner interned its name.
    pub struct Entry;
}

entity_key! {
    /// A team, by the key under which the owner interned its name.
    pub struct Team;
}

entity_key! {
    /// A request class, by the key under which the owner interned its name.
    pub struct Class;
}

/// Number of a permit at the owner that granted it.
#[key]
pub struct PermitId(pub u64);

/// One occupation of a slot by a batch item. A paused item resumes under a new run.
#[key]
pub struct RunId(pub u64);

/// Online request for a permit.
#[value]
#[derive(Copy)]
pub struct Request {
    /// Permit requested for the call.
    pub permit: PermitId,
    /// Requesting entry.
    pub entry: Entry,
    /// Team of the caller.
    pub team: Team,
    /// Request class.
    pub class: Class,
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the answer.
    pub answer_tokens: u32,
    /// Weight of the team in this class; 0 counts as 1.
    pub weight: u32,
    /// Latest time at which the request can start.
    pub deadline: Millis,
}

/// Load reported by a target.
#[value]
#[derive(Copy)]
pub struct LoadReport {
    /// Requests in slots.
    pub running: u32,
    /// Requests that wait inside the target.
    pub waiting: u32,
    /// KV cache use in thousandths, from 0 to 1,000.
    pub kv_permille: u32,
    /// Time since the load was measured.
    pub age: Millis,
}

/// Availability of a target for new work.
#[key]
pub enum TargetState {
    /// Responsive.
    Live,
    /// Unresponsive: nothing new starts, and waiting requests stay queued until their deadlines or
    /// until the suspect time-out of the gate.
    Suspect,
    /// Leaving: waiting requests are refused and batch is paused.
    Leaving,
}

/// Input to [`Gate::handle`](crate::Gate::handle).
#[value]
pub enum Event {
    /// An online request arrived.
    Arrived(Request),
    /// The caller of a waiting or running request disconnected.
    Withdrawn(PermitId),
    /// A call ended and its permit was released.
    Finished(PermitId),
    /// An entry listed its permits in use.
    Renewed {
        /// Entry that sent the list.
        entry: Entry,
        /// Permits in use at the entry.
        in_use: Vec<PermitId>,
    },
    /// An entry died or is unreachable.
    EntryDisconnected(Entry),
    /// The target reported its load.
    Load(LoadReport),
    /// The time between two tokens of a stream at this target was measured.
    StepMeasured {
        /// Time between the two tokens, in microseconds.
        step_micros: u32,
    },
    /// A batch session started: no run of an earlier session holds a slot.
    BatchOpened,
    /// The batch session is ending: its runs are paused and none starts.
    BatchClosing,
    /// Number of batch items ready to start at the target, excluding running ones.
    BatchReady(u32),
    /// A batch run produced its first token.
    BatchFirstToken(RunId),
    /// A batch run that was ordered to pause released its slot.
    BatchPaused(RunId),
    /// A batch run ended, or had no item to start.
    BatchFinished(RunId),
    /// The target's state changed.
    Target(TargetState),
    /// Time has passed.
    Tick,
}

/// Output that the owner has to act on.
#[value]
#[derive(Copy)]
pub enum Action {
    /// Start the request.
    Grant {
        /// Entry that requested the permit.
        entry: Entry,
        /// Granted permit.
        permit: PermitId,
    },
    /// Refuse the request, which has not started and will not start.
    Refuse {
        /// Entry that requested the permit.
        entry: Entry,
        /// Permit that is not granted.
        permit: PermitId,
        /// Reason for the refusal.
        reason: Reason,
        /// Time after which the same request is expected to start before its deadline.
        retry_after: Millis,
    },
    /// Start the next batch item in a slot, under this run.
    StartBatch(RunId),
    /// Cancel the run, keeping a point from which to resume.
    PauseBatch(RunId),
}
