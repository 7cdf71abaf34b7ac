//! Idempotency keys of calls that must not run twice.
//!
//! A key is claimed here before the first byte of its call is sent. From then on every other claim
//! of the key finds it, until its retention has passed.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use yuccaseam_base::{
    Millis,
    Reason,
    Refusal,
    record,
    value, //
};

use crate::{
    BlobId,
    Fingerprint,
    KeyId,
    LogIndex,
    OwnerId, //
};

/// The largest answer that is kept in the log itself, in bytes; a larger one is a blob.
pub const INLINE_LIMIT: usize = 4096;

/// Claims a key before its call is sent.
#[record]
pub struct ClaimKey {
    /// The key.
    pub key: KeyId,
    /// The fingerprint of the call's content.
    pub fingerprint: Fingerprint,
    /// The daemon that will make the call.
    pub owner: OwnerId,
    /// The call's number at that daemon, so that a claim proposed twice is one claim.
    pub request: u64,
}

/// What became of a [`ClaimKey`].
#[record]
#[serde(rename_all = "snake_case")]
pub enum KeyClaim {
    /// The key is claimed: this owner makes the call.
    Claimed {
        /// Names the claim when the call ends.
        claim: LogIndex,
    },
    /// Another call with this key is running.
    InProgress {
        /// The daemon that makes it.
        owner: OwnerId,
    },
    /// The call ran before, and this was its answer.
    Finished(KeptAnswer),
    /// The call may have run, and its answer is lost.
    OutcomeUnknown,
    /// The key was used with another content.
    OtherBody,
}

/// Where the bytes of a kept answer are.
#[record]
#[serde(rename_all = "snake_case")]
pub enum AnswerBody {
    /// Here: at most [`INLINE_LIMIT`] bytes.
    Inline(Vec<u8>),
    /// In a blob.
    Blob(BlobId),
}

/// The answer to a call, kept for resends.
#[record]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: AnswerBody,
}

/// How a claimed call ended.
#[record]
#[serde(rename_all = "snake_case")]
pub enum CallEnd {
    /// The target answered.
    Answer(KeptAnswer),
    /// No byte of the call reached a target: the key may be claimed again.
    NotRun,
    /// The call may have run, and no answer came.
    Unknown,
}

/// Ends a claimed call.
#[record]
pub struct FinishKey {
    /// The key.
    pub key: KeyId,
    /// The claim under which the call was made.
    pub claim: LogIndex,
    /// How it ended.
    pub end: CallEnd,
}

/// What became of a [`FinishKey`].
#[record]
#[serde(rename_all = "snake_case")]
pub enum KeyFinished {
    /// The end is recorded.
    Recorded,
    /// The same claim ended before; the first end stands.
    AlreadyEnded,
    /// There is no such claim: it was released, or its retention has passed.
    UnknownClaim,
}

/// Gives up an owner's claims: its daemon is dead or was restarted.
#[record]
pub struct OwnerLost {
    /// The owner.
    pub owner: OwnerId,
}

/// How far the call of a key has come.
#[record]
enum KeyState {
    Claimed {
        owner: OwnerId,
        request: u64,
    },
    Unknown {
        ended_at: Millis,
    },
    Finished {
        ended_at: Millis,
        answer: KeptAnswer,
    },
}

#[record]
struct Key {
    fingerprint: Fingerprint,
    claim: LogIndex,
    state: KeyState,
}

/// All keys within their retention, with the indexes by owner and by age.
#[value]
#[derive(Default)]
pub(crate) struct Keys {
    keys: BTreeMap<KeyId, Key>,
    claims: BTreeMap<OwnerId, BTreeSet<KeyId>>,
    ended: BTreeSet<(Millis, KeyId)>,
}

/// What a snapshot holds of the keys; the indexes follow from it.
#[record]
pub(crate) struct WireKeys {
    keys: BTreeMap<KeyId, Key>,
}

impl From<&Keys> for WireKeys {
    fn from(keys: &Keys) -> Self {
        Self {
            keys: keys.keys.clone(),
        }
    }
}

impl From<WireKeys> for Keys {
    fn from(wire: WireKeys) -> Self {
        let mut keys = Self::default();
        for (id, key) in wire.keys {
            keys.put(id, key);
        }
        keys
    }
}

impl Keys {
    /// How many keys are kept.
    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Claims a key, or tells what became of its call.
    pub(crate) fn claim(&mut self, claim: &ClaimKey, index: LogIndex, now: Millis) -> KeyClaim {
        self.lose_earlier_runs(&claim.owner, now);
        if let Some(key) = self.keys.get(&claim.key) {
            return answer_claim(key, claim);
        }
        let key = Key {
            fingerprint: claim.fingerprint,
            claim: index,
            state: KeyState::Claimed {
                owner: claim.owner.clone(),
                request: claim.request,
            },
        };
        self.put(claim.key, key);
        KeyClaim::Claimed { claim: index }
    }

    /// Records how a call ended. An answer counts also after its claim was given up: the call did
    /// run, and nobody else has made it.
    ///
    /// # Errors
    ///
    /// If the answer is too large to be kept here.
    pub(crate) fn finish(
        &mut self,
        finish: &FinishKey,
        now: Millis,
    ) -> Result<KeyFinished, Refusal> {
        check_answer(&finish.end)?;
        let Some(mut key) = self.keys.get(&finish.key).cloned() else {
            return Ok(KeyFinished::UnknownClaim);
        };
        if key.claim != finish.claim {
            return Ok(KeyFinished::UnknownClaim);
        }
        let open = matches!(key.state, KeyState::Claimed { .. });
        let given_up = matches!(key.state, KeyState::Unknown { .. });
        let state = match &finish.end {
            CallEnd::NotRun if open || given_up => None,
            CallEnd::Unknown if open => Some(KeyState::Unknown { ended_at: now }),
            CallEnd::Answer(answer) if open || given_up => Some(KeyState::Finished {
                ended_at: now,
                answer: answer.clone(),
            }),
            _ => return Ok(KeyFinished::AlreadyEnded),
        };
        self.take(finish.key);
        if let Some(state) = state {
            key.state = state;
            self.put(finish.key, key);
        }
        Ok(KeyFinished::Recorded)
    }

    /// Marks the calls of an owner as of unknown outcome; returns how many.
    pub(crate) fn lose_owner(&mut self, owner: &OwnerId, now: Millis) -> u32 {
        let claims = self.claims.get(owner).cloned().unwrap_or_default();
        for &id in &claims {
            if let Some(mut key) = self.take(id) {
                key.state = KeyState::Unknown { ended_at: now };
                self.put(id, key);
            }
        }
        claims.len() as u32
    }

    /// Forgets keys whose call ended longer ago than `retention`; returns how many.
    pub(crate) fn expire(&mut self, retention: Millis, now: Millis) -> u32 {
        let mut expired = 0;
        while let Some(&(ended_at, id)) = self.ended.first() {
            if ended_at + retention > now {
                break;
            }
            self.take(id);
            expired += 1;
        }
        expired
    }

    /// What a claim of a key would find, without claiming it; none if the key is free.
    pub(crate) fn status(&self, id: KeyId) -> Option<KeyClaim> {
        self.keys.get(&id).map(found)
    }

    /// Runs of daemons that hold claims.
    pub(crate) fn owners(&self) -> impl Iterator<Item = &OwnerId> {
        self.claims.keys()
    }

    /// The blobs that kept answers refer to, into `out`.
    pub(crate) fn blobs(&self, out: &mut Vec<BlobId>) {
        for key in self.keys.values() {
            if let KeyState::Finished {
                answer:
                    KeptAnswer {
                        body: AnswerBody::Blob(blob),
                        ..
                    },
                ..
            } = &key.state
            {
                out.push(*blob);
            }
        }
    }

    /// Gives up the claims of an instance's earlier runs.
    fn lose_earlier_runs(&mut self, owner: &OwnerId, now: Millis) {
        let first = OwnerId {
            instance: owner.instance.clone(),
            incarnation: 0,
        };
        let earlier = self.claims.range(first..owner.clone());
        let earlier: Vec<OwnerId> = earlier.map(|(owner, _)| owner.clone()).collect();
        for owner in &earlier {
            self.lose_owner(owner, now);
        }
    }

    fn put(&mut self, id: KeyId, key: Key) {
        match &key.state {
            KeyState::Claimed { owner, .. } => {
                self.claims.entry(owner.clone()).or_default().insert(id);
            }
            KeyState::Unknown { ended_at } | KeyState::Finished { ended_at, .. } => {
                self.ended.insert((*ended_at, id));
            }
        }
        self.keys.insert(id, key);
    }

    fn take(&mut self, id: KeyId) -> Option<Key> {
        let key = self.keys.remove(&id)?;
        match &key.state {
            KeyState::Claimed { owner, .. } => self.forget_claim(owner, id),
            KeyState::Unknown { ended_at } | KeyState::Finished { ended_at, .. } => {
                self.ended.remove(&(*ended_at, id));
            }
        }
        Some(key)
    }

    fn forget_claim(&mut self, owner: &OwnerId, id: KeyId) {
        if let Some(claims) = self.claims.get_mut(owner) {
            claims.remove(&id);
            if claims.is_empty() {
                self.claims.remove(owner);
            }
        }
    }
}

fn answer_claim(key: &Key, claim: &ClaimKey) -> KeyClaim {
    if key.fingerprint != claim.fingerprint {
        return KeyClaim::OtherBody;
    }
    match &key.state {
        KeyState::Claimed { owner, request }
            if (owner, *request) == (&claim.owner, claim.request) =>
        {
            KeyClaim::Claimed { claim: key.claim }
        }
        _ => found(key),
    }
}

fn found(key: &Key) -> KeyClaim {
    match &key.state {
        KeyState::Claimed { owner, .. } => KeyClaim::InProgress {
            owner: owner.clone(),
        },
        KeyState::Unknown { .. } => KeyClaim::OutcomeUnknown,
        KeyState::Finished { answer, .. } => KeyClaim::Finished(answer.clone()),
    }
}

fn check_answer(end: &CallEnd) -> Result<(), Refusal> {
    match end {
        CallEnd::Answer(KeptAnswer {
            body: AnswerBody::Inline(body),
            ..
        }) if body.len() > INLINE_LIMIT => {
            let detail = "an answer this large belongs in a blob";
            Err(Refusal::not_run(Reason::BadRequest, detail))
        }
        _ => Ok(()),
    }
}
