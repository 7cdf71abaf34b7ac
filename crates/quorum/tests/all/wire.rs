//! Encoding and decoding of messages.

use proptest::{
    prelude::*,
    prop_assert_eq, //
};
use yuccaseam_base::Millis;
use yuccaseam_quorum::{
    Envelope,
    WireAppend,
    WireBody,
    WireBytes,
    WireEcho,
    WireEntry,
    WireEnvelope,
    WireError,
    WireMember,
    WireMembership,
    WirePayload,
    WireSnapshot,
    WireSnapshotId, //
};

const ECHO: WireEcho = WireEcho {
    round: 4,
    sent_at: Millis(17),
};

const SNAPSHOT: WireSnapshotId = WireSnapshotId {
    index: 9,
    term: 2,
    size: 100,
    digest: [77; 32],
};

fn member(id: u64) -> WireMember {
    WireMember {
        id,
        name: "instance-1".into(),
        votes: id.is_multiple_of(2),
    }
}

fn group(members: Vec<WireMember>) -> WireMembership {
    WireMembership {
        members,
        departed: vec!["instance-9".into()],
    }
}

fn append(indexes: &[u64], payload: WirePayload) -> WireBody {
    let entry = |&index: &u64| WireEntry {
        index,
        term: 3,
        payload: payload.clone(),
    };
    WireBody::Append(WireAppend {
        prev_index: 4,
        prev_term: 2,
        entries: indexes.iter().map(entry).collect(),
        commit: 4,
        echo: ECHO,
    })
}

fn envelope(term: u64, body: WireBody) -> WireEnvelope {
    WireEnvelope {
        from: 1,
        to: u64::MAX,
        term,
        body,
    }
}

fn bodies() -> Vec<WireBody> {
    let data = WireBytes([1, 2, 3].as_slice().into());
    vec![
        WireBody::PreVote {
            last_term: 1,
            last_index: 2,
        },
        WireBody::PreVoteReply {
            asked: 3,
            granted: true,
        },
        WireBody::Vote {
            last_term: 1,
            last_index: 2,
            transfer: true,
        },
        WireBody::VoteReply { granted: false },
        append(&[5, 6], WirePayload::Command(data.clone())),
        append(
            &[5],
            WirePayload::Members(group(vec![member(1), member(2)])),
        ),
        append(&[], WirePayload::Empty),
        WireBody::Matched {
            index: 5,
            echo: ECHO,
        },
        WireBody::Rejected {
            prev: 5,
            hint: 3,
            echo: ECHO,
        },
        WireBody::Offer(WireSnapshot {
            id: SNAPSHOT,
            group: group(vec![member(1)]),
        }),
        WireBody::Chunk {
            id: SNAPSHOT,
            offset: 64,
            data,
        },
        WireBody::ChunkReply {
            id: SNAPSHOT,
            received: 64,
        },
        WireBody::Transfer,
    ]
}

#[test]
fn messages_survive_encoding_and_decoding() {
    for body in bodies() {
        let sent = envelope(3, body);
        let core = Envelope::try_from(sent.clone()).expect("message is valid");
        let bytes = postcard::to_stdvec(&WireEnvelope::from(core)).expect("message encodes");
        let received: WireEnvelope = postcard::from_bytes(&bytes).expect("message decodes");
        assert_eq!(received, sent);
    }
}

#[test]
fn invalid_messages_are_refused() {
    let refused = |envelope| Envelope::try_from(envelope).expect_err("message is invalid");
    let gap = append(&[5, 7], WirePayload::Empty);
    assert_eq!(refused(envelope(3, gap)), WireError::Gap);
    let later = append(&[5], WirePayload::Empty);
    assert_eq!(refused(envelope(2, later)), WireError::InvalidEntry);
    let duplicate = append(
        &[5],
        WirePayload::Members(group(vec![member(1), member(1)])),
    );
    assert_eq!(refused(envelope(3, duplicate)), WireError::DuplicateMember);
}

proptest! {
    #[test]
    fn arbitrary_bytes_decode_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let decoded = postcard::from_bytes::<WireEnvelope>(&bytes);
        if let Some(core) = decoded.ok().and_then(|wire| Envelope::try_from(wire).ok()) {
            let again = Envelope::try_from(WireEnvelope::from(core.clone()));
            prop_assert_eq!(again, Ok(core));
        }
    }
}
