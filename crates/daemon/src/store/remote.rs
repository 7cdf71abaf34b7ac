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

/// Time-out of a call to one replica.
const RPC_TIMEOUT: Millis = Millis(2_500);

/// Outcome of a call to one replica.
pub(crate) enum CallOutcome<T> {
    /// The reply of the replica.
    Reply(T),
    /// The replica is not the leader. Holds the leader's name if it is known.
    NotLeader(Option<InstanceName>),
    /// Refused for a reason that holds on every replica.
    Refused(Refusal),
    /// The call had no effect, with the error.
    NotRun(String),
    /// No valid reply arrived and the call may have taken effect, with the error.
    Unknown(String),
}

impl<T> CallOutcome<T> {
    fn from_read_error(status: &Status) -> Self {
        match status.code() {
            Code::Unavailable => Self::NotRun(status.message().to_owned()),
            _ => Self::Unknown(status.to_string()),
        }
    }

    /// Outcome of a failed call that changes state. Only a failure to connect proves that the call
    /// did not reach the replica.
    pub(super) fn from_write_error(status: &Status) -> Self {
        let mut source = status.source();
        while let Some(error) = source {
            if error.is::<ConnectError>() {
                return Self::NotRun(status.message().to_owned());
            }
            source = error.source();
        }
        Self::Unknown(status.to_string())
    }

    pub(super) fn not_leader(name: String) -> Self {
        Self::NotLeader((!name.is_empty()).then_some(InstanceName(name)))
    }
}

pub(crate) fn propose(cx: &Context, name: &InstanceName, command: &[u8]) -> CallOutcome<Outcome> {
    let Some(mut client) = client(cx, name) else {
        return CallOutcome::NotRun("unknown instance".to_owned());
    };
    let req = with_timeout(wire::ProposeRequest {
        command: command.to_vec(),
    });
    let reply = match cx.links.block_on(client.propose(req)) {
        Ok(reply) => reply.into_inner(),
        Err(status) => return CallOutcome::from_write_error(&status),
    };
    match reply.result {
        Some(propose_reply::Result::Outcome(bytes)) => match Outcome::decode(&bytes) {
            Ok(outcome) => CallOutcome::Reply(outcome),
            Err(error) => CallOutcome::Unknown(error.to_string()),
        },
        Some(propose_reply::Result::LeaderHint(hint)) => CallOutcome::not_leader(hint),
        Some(propose_reply::Result::Refused(refused)) => CallOutcome::Refused(refusal_of(refused)),
        Some(propose_reply::Result::Unknown(why)) => CallOutcome::Unknown(why),
        None => CallOutcome::Unknown("empty reply".to_owned()),
    }
}

pub(crate) fn query(cx: &Context, name: &InstanceName, query: &[u8]) -> CallOutcome<QueryResult> {
    let Some(mut client) = client(cx, name) else {
        return CallOutcome::NotRun("unknown instance".to_owned());
    };
    let req = with_timeout(wire::QueryRequest {
        query: query.to_vec(),
    });
    let reply = match cx.links.block_on(client.query(req)) {
        Ok(reply) => reply.into_inner(),
        Err(status) => return CallOutcome::from_read_error(&status),
    };
    match reply.result {
        Some(query_reply::Result::Answer(bytes)) => match QueryResult::decode(&bytes) {
            Ok(result) => CallOutcome::Reply(result),
            Err(error) => CallOutcome::NotRun(error.to_string()),
        },
        Some(query_reply::Result::LeaderHint(hint)) => CallOutcome::not_leader(hint),
        Some(query_reply::Result::Refused(refused)) => CallOutcome::Refused(refusal_of(refused)),
        None => CallOutcome::NotRun("empty reply".to_owned()),
    }
}

/// Stores blobs on these replicas in parallel and returns one result per known replica.
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
            let req = with_timeout(message.clone());
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
/// Fails if the replica does not reply.
pub(crate) fn get_blob(
    cx: &Context,
    name: &InstanceName,
    id: &BlobId,
) -> Result<Option<Vec<u8>>, Refusal> {
    let Some(mut client) = client(cx, name) else {
        return Ok(None);
    };
    let req = with_timeout(wire::GetBlobRequest { id: id.0.to_vec() });
    match cx.links.block_on(client.get_blob(req)) {
        Ok(reply) => Ok(reply.into_inner().data),
        Err(status) => Err(unreachable_replica(&status.to_string())),
    }
}

/// Polls one replica for the configuration. The reply omits a configuration that has the given
/// `revision`.
///
/// # Errors
///
/// Fails if the replica does not reply or cannot confirm its state.
pub(crate) fn sync(
    cx: &Context,
    name: &InstanceName,
    revision: u64,
) -> Result<wire::SyncReply, Refusal> {
    let Some(mut client) = client(cx, name) else {
        return Err(unreachable_replica("unknown instance"));
    };
    let req = with_timeout(wire::SyncRequest {
        instance: cx.settings.instance.to_string(),
        revision,
    });
    match cx.links.block_on(client.sync(req)) {
        Ok(reply) => Ok(reply.into_inner()),
        Err(status) => Err(unreachable_replica(&status.to_string())),
    }
}

/// Reads a blob from one replica, or returns `None` if the replica fails or lacks it.
pub(crate) fn fetch_blob(links: &Links, name: &InstanceName, id: &BlobId) -> Option<Vec<u8>> {
    let mut client = client_of(links, name)?;
    let req = with_timeout(wire::GetBlobRequest { id: id.0.to_vec() });
    match links.block_on(client.get_blob(req)) {
        Ok(reply) => reply.into_inner().data,
        Err(status) => {
            log::debug!("cannot read a blob from {name}: {}", status.message());
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

pub(super) fn with_timeout<T>(message: T) -> tonic::Request<T> {
    let mut req = tonic::Request::new(message);
    req.set_timeout(RPC_TIMEOUT.duration());
    req
}

fn unreachable_replica(why: &str) -> Refusal {
    Refusal::not_run(Reason::NoQuorum, format!("call to a replica failed: {why}"))
}

/// Converts a replica's refusal. Replicas refuse only before they append to the log.
pub(super) fn refusal_of(refused: wire::Refused) -> Refusal {
    let reason = Reason::ALL
        .iter()
        .find(|reason| reason.code() == refused.reason);
    Refusal::not_run(*reason.unwrap_or(&Reason::Internal), refused.detail)
}
