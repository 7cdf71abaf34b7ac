//! Invalid input gives decode errors and never panics.

use assert_matches::assert_matches;
use rand::{
    Rng,
    RngCore,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use yuccaseam_base::Millis;
use yuccaseam_state::{
    Command,
    DecodeError,
    ItemSet,
    LogIndex,
    Outcome,
    Query,
    QueryResult,
    State, //
};

use crate::common::{
    Machine,
    job,
    owner,
    set, //
};

/// Encodes messages of every kind that has its own validation rules.
fn samples() -> Vec<Vec<u8>> {
    let mut machine = Machine::new();
    let create = job("t", "k", &[3, 4096]);
    machine.create(&create);
    let leases = machine.lease(&owner("a", 1), 2);
    vec![
        Command::new(Millis(7), create).encode(),
        Command::new(Millis(7), set("r", 0, Vec::new())).encode(),
        Outcome::Leased(leases).encode(),
        Query::Orders.encode(),
        machine.state.query(&Query::Configuration).encode(),
        machine.state.snapshot(),
    ]
}

/// Decodes bytes as every kind of message, and uses those that decode.
fn decode_all(bytes: &[u8]) {
    let _ = Outcome::decode(bytes);
    let _ = QueryResult::decode(bytes);
    let mut state = State::restore(bytes).unwrap_or_default();
    if let Ok(query) = Query::decode(bytes) {
        state.query(&query);
    }
    if let Ok(command) = Command::decode(bytes) {
        state.apply(LogIndex(u64::MAX), &command);
    }
}

#[test]
fn random_bytes_do_not_panic() {
    let mut rng = ChaCha8Rng::seed_from_u64(31);
    for _ in 0..20_000 {
        let mut bytes = vec![0; rng.random_range(0..200)];
        rng.fill_bytes(&mut bytes);
        if let Some(version) = bytes.first_mut() {
            *version = 1;
        }
        decode_all(&bytes);
    }
}

#[test]
fn corrupted_and_truncated_messages_do_not_panic() {
    let mut rng = ChaCha8Rng::seed_from_u64(32);
    for sample in samples() {
        for _ in 0..5_000 {
            let mut bytes = sample.clone();
            for _ in 0..rng.random_range(1..4) {
                let index = rng.random_range(1..bytes.len());
                bytes[index] = rng.random();
            }
            bytes.truncate(rng.random_range(1..=bytes.len()));
            decode_all(&bytes);
        }
    }
}

#[test]
fn each_encoding_rule_has_its_own_error() {
    let bytes = Query::Orders.encode();
    assert_eq!(Query::decode(&[]), Err(DecodeError::Empty));
    assert_eq!(Query::decode(&[9, 0]), Err(DecodeError::Version(9)));
    assert_eq!(Query::decode(&bytes[..1]), Err(DecodeError::Malformed));
    let longer = [bytes.as_slice(), &[0]].concat();
    assert_eq!(Query::decode(&longer), Err(DecodeError::Malformed));
}

#[test]
fn item_set_above_the_limit_is_refused() {
    let mut set = Outcome::Started(ItemSet::full(4096)).encode();
    assert_matches!(Outcome::decode(&set), Ok(Outcome::Started(items)) if items.len() == 4096);
    let length = set.len() - 512;
    let count = two_byte_length(513);
    set.splice(length - 2..length, count);
    set.push(1);
    assert_matches!(Outcome::decode(&set), Err(DecodeError::Malformed));
}

/// Encodes a length as a two-byte varint.
fn two_byte_length(length: u16) -> [u8; 2] {
    [length as u8 | 0x80, (length >> 7) as u8]
}
