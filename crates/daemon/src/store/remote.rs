//! Calls to the replicas of other instances.

use std::error::Error;

use tonic::{
    Code,
    ConnectError,
    Status,
    transport::Channel, //
};
use yuccaseam_base::{
    InstanceName,
    Millis,
    Reason,
    Refusal, //
};
use yuccaseam_state::{
    BlobId,
    Outcome,
    QueryResult, //
};
use yuccaseam_wire::store::{
    self as wire,
    propose_reply,
    query_reply,
    store_client::StoreClient, //
};

use crate::{
    context::Context,
    peers::{
        Links,
        MAX_MESSAGE_BYTES, //
    }, //
};

/// How long one replica may take to answer.
const TIMEOUT: Millis = Millis(2_500);

/// What came of asking one replica.
pub(crate) enum Replied<T> {
    /// It answered.
    Answer(T),
    /// It does not lead; it may know who does.
    NotLeader(Option<InstanceName>),
    /// It refused for a reason that another replica would not change.
    Refused(Refusal),
    /// It was not reached.
    NotSent(String),
    /// It was reached, and no answer came: it may have acted.
    Lost(String),
}

impl<T> Replied<T> {
    fn failed(status: &Status) -> Self {
        match status.code() {
            Code::Unavailable => Self::NotSent(status.message().to_owned()),
            _ => Self::Lost(status.to_string()),
        }
    }

    /// Of a call that changes something: only one whose connection could not be opened is known
    /// not to have reached the replica.
    pub(super) fn broken(status: &Status) -> Self {
        let mut source = status.source();
        while let Some(error) = source {
            if error.is::<ConnectError>() {
                return Self::NotSent(status.message().to_owned());
            }
            source = error.source();
        }
        Self::Lost(status.to_string())
    }

    pub(super) fn hint(name: String) -> Self {
        Self::NotLeader((!name.is_empty()).then_some(InstanceName(name)))
    }
}

pub(crate) fn propose(cx: &Context, name: &InstanceName, command: &[u8]) -> Replied<Outcome> {
    let Some(mut client) = client(cx, name) else {
        return Replied::NotSent("unknown instance".to_owned());
    };
    let req = timed(wire::ProposeRequest {
        command: command.to_vec(),
    });
    let reply = match cx.links.block_on(client.propose(req)) {
        Ok(reply) => reply.into_inner(),
        Err(status) => return Replied::broken(&status),
    };
    match reply.result {
        Some(propose_reply::Result::Outcome(bytes)) => match Outcome::decode(&bytes) {
            Ok(outcome) => Replied::Answer(outcome),
            Err(error) => Replied::Lost(error.to_string()),
        },
        Some(propose_reply::Result::LeaderHint(hint)) => Replied::hint(hint),
        Some(propose_reply::Result::Refused(refused)) => Replied::Refused(refusal_of(refused)),
        Some(propose_reply::Result::Unknown(why)) => Replied::Lost(why),
        None => Replied::Lost("an empty reply".to_owned()),
    }
}

pub(crate) fn query(cx: &Context, name: &InstanceName, query: &[u8]) -> Replied<QueryResult> {
    let Some(mut client) = client(cx, name) else {
        return Replied::NotSent("unknown instance".to_owned());
    };
    let req = timed(wire::QueryRequest {
        query: query.to_vec(),
    });
    let reply = match cx.links.block_on(client.query(req)) {
        Ok(reply) => reply.into_inner(),
        Err(status) => return Replied::failed(&status),
    };
    match reply.result {
        Some(query_reply::Result::Answer(bytes)) => match QueryResult::decode(&bytes) {
            Ok(answer) => Replied::Answer(answer),
            Err(error) => Replied::NotSent(error.to_string()),
        },
        Some(query_reply::Result::LeaderHint(hint)) => Replied::hint(hint),
        Some(query_reply::Result::Refused(refused)) => Replied::Refused(refusal_of(refused)),
        None => Replied::NotSent("an empty reply".to_owned()),
    }
}

/// Stores blobs on each of these replicas at once and returns a result for each.
pub(crate) fn put_blobs<'a, I>(
    cx: &Context,
    names: I,
    blobs: &[Vec<u8>],
) -> Vec<Result<(), Refusal>>
where
    I: Iterator<Item = &'a InstanceName>,
{
    let message = wire::PutBlobsRequest {
        blobs: blobs
            .iter()
            .map(|data| wire::Blob {
                id: BlobId::of(data).0.to_vec(),
                data: data.clone(),
            })
            .collect(),
    };
    let calls: Vec<_> = names
        .filter_map(|name| client(cx, name))
        .map(|mut client| {
            let req = timed(message.clone());
            cx.links
                .spawn_with_handle(async move { client.put_blobs(req).await })
        })
        .collect();
    calls
        .into_iter()
        .map(|call| match cx.links.block_on(call) {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(status)) => Err(unreachable_replica(&status.to_string())),
            Err(error) => Err(unreachable_replica(&error.to_string())),
        })
        .collect()
}

/// Reads a blob from one replica.
///
/// # Errors
///
/// Fails if the replica does not answer.
pub(crate) fn get_blob(
    cx: &Context,
    name: &InstanceName,
    id: &BlobId,
) -> Result<Option<Vec<u8>>, Refusal> {
    let Some(mut client) = client(cx, name) else {
        return Ok(None);
    };
    let req = timed(wire::GetBlobRequest { id: id.0.to_vec() });
    match cx.links.block_on(client.get_blob(req)) {
        Ok(reply) => Ok(reply.into_inner().data),
        Err(status) => Err(unreachable_replica(&status.to_string())),
    }
}

/// Asks one replica for the configuration, unless this instance runs it already.
///
/// # Errors
///
/// Fails if the replica does not answer or cannot confirm its state.
pub(crate) fn sync(
    cx: &Context,
    name: &InstanceName,
    revision: u64,
) -> Result<wire::SyncReply, Refusal> {
    let Some(mut client) = client(cx, name) else {
        return Err(unreachable_replica("unknown instance"));
    };
    let req = timed(wire::SyncRequest {
        instance: cx.settings.instance.to_string(),
        revision,
    });
    match cx.links.block_on(client.sync(req)) {
        Ok(reply) => Ok(reply.into_inner()),
        Err(status) => Err(unreachable_replica(&status.to_string())),
    }
}

/// Reads a blob from one replica, if it answers and holds it.
pub(crate) fn fetch_blob(links: &Links, name: &InstanceName, id: &BlobId) -> Option<Vec<u8>> {
    let mut client = client_of(links, name)?;
    let req = timed(wire::GetBlobRequest { id: id.0.to_vec() });
    match links.block_on(client.get_blob(req)) {
        Ok(reply) => reply.into_inner().data,
        Err(status) => {
            log::debug!("no blob from {name}: {}", status.message());
            None
        }
    }
}

pub(super) fn client(cx: &Context, name: &InstanceName) -> Option<StoreClient<Channel>> {
    client_of(&cx.links, name)
}

fn client_of(links: &Links, name: &InstanceName) -> Option<StoreClient<Channel>> {
    let channel = links.channel(name)?;
    let client = StoreClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    Some(client)
}

pub(super) fn timed<T>(message: T) -> tonic::Request<T> {
    let mut req = tonic::Request::new(message);
    req.set_timeout(TIMEOUT.duration());
    req
}

fn unreachable_replica(why: &str) -> Refusal {
    Refusal::not_run(
        Reason::NoQuorum,
        format!("a replica does not answer: {why}"),
    )
}

/// A replica's refusal, which it gives before it appends anything.
pub(super) fn refusal_of(refused: wire::Refused) -> Refusal {
    let reason = Reason::ALL
        .iter()
        .find(|reason| reason.code() == refused.reason);
    Refusal::not_run(*reason.unwrap_or(&Reason::Internal), refused.detail)
}
