//! Idempotency keys of calls that must not run twice.
//!
//! A key is claimed before the first byte of its call is sent. From then on every other claim of
//! the key finds the first one, until its retention has passed.

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

/// Largest response body stored in the log, in bytes. Larger ones are stored as blobs.
pub const MAX_INLINE_BODY_BYTES: usize = 4096;

/// Claims a key before its call is sent.
#[record]
pub struct ClaimKey {
    /// Key to claim.
    pub key: KeyId,
    /// Fingerprint of the call's content.
    pub fingerprint: Fingerprint,
    /// Daemon that will make the call.
    pub owner: OwnerId,
    /// Number of the call at that daemon, which makes a claim proposed twice one claim.
    pub request: u64,
}

/// Outcome of a [`ClaimKey`].
#[record]
#[serde(rename_all = "snake_case")]
pub enum KeyClaim {
    /// The key is claimed, and this owner makes the call.
    Claimed {
        /// Number of the claim, for [`FinishKey`].
        claim: LogIndex,
    },
    /// Another call with this key is in progress.
    InProgress {
        /// Daemon that makes the call.
        owner: OwnerId,
    },
    /// The call has finished with this response.
    Finished(StoredResponse),
    /// The call may have run, and its response is lost.
    OutcomeUnknown,
    /// The key was used for a call with different content.
    OtherBody,
}

/// Location of a stored response body.
#[record]
#[serde(rename_all = "snake_case")]
pub enum ResponseBody {
    /// In the log: at most [`MAX_INLINE_BODY_BYTES`] bytes.
    Inline(Vec<u8>),
    /// In a blob.
    Blob(BlobId),
}

/// Response to a call, stored for retries.
#[record]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Response body.
    pub body: ResponseBody,
}

/// Outcome of a claimed call.
#[record]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The target responded.
    #[serde(rename = "answer")]
    Response(StoredResponse),
    /// No byte of the call reached a target. The key may be claimed again.
    NotRun,
    /// The call may have run, and no response was received.
    Unknown,
}

/// Records the outcome of a claimed call.
#[record]
pub struct FinishKey {
    /// Key of the call.
    pub key: KeyId,
    /// Number of the claim under which the call was made.
    pub claim: LogIndex,
    /// Outcome of the call.
    pub end: CallOutcome,
}

/// Outcome of a [`FinishKey`].
#[record]
#[serde(rename_all = "snake_case")]
pub enum KeyFinished {
    /// The outcome of the call is recorded.
    Recorded,
    /// The claim has an outcome already, which is kept.
    AlreadyEnded,
    /// No such claim exists: it was released, or its retention has passed.
    UnknownClaim,
}

/// Abandons the claims of an owner whose daemon has died or was restarted.
#[record]
pub struct AbandonClaims {
    /// Owner of the claims.
    pub owner: OwnerId,
}

/// State of a key's call.
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
        response: StoredResponse,
    },
}

#[record]
struct Key {
    fingerprint: Fingerprint,
    claim: LogIndex,
    state: KeyState,
}

/// All keys within their retention, indexed by owner and by end time.
#[value]
#[derive(Default)]
pub(crate) struct Keys {
    keys: BTreeMap<KeyId, Key>,
    claims: BTreeMap<OwnerId, BTreeSet<KeyId>>,
    ended: BTreeSet<(Millis, KeyId)>,
}

/// Snapshot form of [`Keys`], from which the indexes are rebuilt.
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
            keys.insert(id, key);
        }
        keys
    }
}

impl Keys {
    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Claims a key, or returns the state of the call that holds it.
    pub(crate) fn claim(&mut self, claim: &ClaimKey, index: LogIndex, now: Millis) -> KeyClaim {
        self.abandon_earlier_runs(&claim.owner, now);
        if let Some(key) = self.keys.get(&claim.key) {
            return claim_outcome(key, claim);
        }
        let key = Key {
            fingerprint: claim.fingerprint,
            claim: index,
            state: KeyState::Claimed {
                owner: claim.owner.clone(),
                request: claim.request,
            },
        };
        self.insert(claim.key, key);
        KeyClaim::Claimed { claim: index }
    }

    /// Records the outcome of a call. A response is accepted also after its claim was abandoned:
    /// the call did run, and no other owner has made it.
    ///
    /// # Errors
    ///
    /// Returns an error if the response body is too large to be stored inline.
    pub(crate) fn finish(
        &mut self,
        finish: &FinishKey,
        now: Millis,
    ) -> Result<KeyFinished, Refusal> {
        check_body_size(&finish.end)?;
        let Some(mut key) = self.keys.get(&finish.key).cloned() else {
            return Ok(KeyFinished::UnknownClaim);
        };
        if key.claim != finish.claim {
            return Ok(KeyFinished::UnknownClaim);
        }
        let in_progress = matches!(key.state, KeyState::Claimed { .. });
        let abandoned = matches!(key.state, KeyState::Unknown { .. });
        let state = match &finish.end {
            CallOutcome::NotRun if in_progress || abandoned => None,
            CallOutcome::Unknown if in_progress => Some(KeyState::Unknown { ended_at: now }),
            CallOutcome::Response(response) if in_progress || abandoned => {
                Some(KeyState::Finished {
                    ended_at: now,
                    response: response.clone(),
                })
            }
            _ => return Ok(KeyFinished::AlreadyEnded),
        };
        self.remove(finish.key);
        if let Some(state) = state {
            key.state = state;
            self.insert(finish.key, key);
        }
        Ok(KeyFinished::Recorded)
    }

    /// Marks an owner's calls in progress as having an unknown outcome, and returns their number.
    pub(crate) fn abandon_claims(&mut self, owner: &OwnerId, now: Millis) -> u32 {
        let claims = self.claims.get(owner).cloned().unwrap_or_default();
        for &id in &claims {
            if let Some(mut key) = self.remove(id) {
                key.state = KeyState::Unknown { ended_at: now };
                self.insert(id, key);
            }
        }
        claims.len() as u32
    }

    /// Removes keys whose call ended at least `retention` ago, and returns their number.
    pub(crate) fn expire(&mut self, retention: Millis, now: Millis) -> u32 {
        let mut expired = 0;
        while let Some(&(ended_at, id)) = self.ended.first() {
            if ended_at + retention > now {
                break;
            }
            self.remove(id);
            expired += 1;
        }
        expired
    }

    /// Returns what a claim of a key would find, without claiming it; `None` if the key is free.
    pub(crate) fn status(&self, id: KeyId) -> Option<KeyClaim> {
        self.keys.get(&id).map(recorded_outcome)
    }

    /// Returns the daemon runs that hold claims.
    pub(crate) fn owners(&self) -> impl Iterator<Item = &OwnerId> {
        self.claims.keys()
    }

    /// Appends the blobs of stored responses to `out`.
    pub(crate) fn blobs(&self, out: &mut Vec<BlobId>) {
        for key in self.keys.values() {
            if let KeyState::Finished {
                response:
                    StoredResponse {
                        body: ResponseBody::Blob(blob),
                        ..
                    },
                ..
            } = &key.state
            {
                out.push(*blob);
            }
        }
    }

    /// Abandons the claims of earlier daemon runs on the owner's instance.
    fn abandon_earlier_runs(&mut self, owner: &OwnerId, now: Millis) {
        let first = OwnerId {
            instance: owner.instance.clone(),
            incarnation: 0,
        };
        let earlier = self.claims.range(first..owner.clone());
        let earlier: Vec<OwnerId> = earlier.map(|(owner, _)| owner.clone()).collect();
        for owner in &earlier {
            self.abandon_claims(owner, now);
        }
    }

    fn insert(&mut self, id: KeyId, key: Key) {
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

    fn remove(&mut self, id: KeyId) -> Option<Key> {
        let key = self.keys.remove(&id)?;
        match &key.state {
            KeyState::Claimed { owner, .. } => self.remove_claim(owner, id),
            KeyState::Unknown { ended_at } | KeyState::Finished { ended_at, .. } => {
                self.ended.remove(&(*ended_at, id));
            }
        }
        Some(key)
    }

    fn remove_claim(&mut self, owner: &OwnerId, id: KeyId) {
        if let Some(claims) = self.claims.get_mut(owner) {
            claims.remove(&id);
            if claims.is_empty() {
                self.claims.remove(owner);
            }
        }
    }
}

fn claim_outcome(key: &Key, claim: &ClaimKey) -> KeyClaim {
    if key.fingerprint != claim.fingerprint {
        return KeyClaim::OtherBody;
    }
    match &key.state {
        KeyState::Claimed { owner, request }
            if (owner, *request) == (&claim.owner, claim.request) =>
        {
            KeyClaim::Claimed { claim: key.claim }
        }
        _ => recorded_outcome(key),
    }
}

fn recorded_outcome(key: &Key) -> KeyClaim {
    match &key.state {
        KeyState::Claimed { owner, .. } => KeyClaim::InProgress {
            owner: owner.clone(),
        },
        KeyState::Unknown { .. } => KeyClaim::OutcomeUnknown,
        KeyState::Finished { response, .. } => KeyClaim::Finished(response.clone()),
    }
}

fn check_body_size(end: &CallOutcome) -> Result<(), Refusal> {
    match end {
        CallOutcome::Response(StoredResponse {
            body: ResponseBody::Inline(body),
            ..
        }) if body.len() > MAX_INLINE_BODY_BYTES => {
            let detail = "an inline response body exceeds 4096 bytes";
            Err(Refusal::not_run(Reason::BadRequest, detail))
        }
        _ => Ok(()),
    }
}
