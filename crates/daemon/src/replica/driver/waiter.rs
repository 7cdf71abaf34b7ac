//! Requests that wait for their outcome.

use yuccaseam_base::InstanceName;
use yuccaseam_state::{
    Outcome,
    Query,
    QueryResult, //
};

use crate::store::CallOutcome;

use super::super::ReplyCallback;

/// Request that waits for the core to complete its token.
pub(super) enum Waiter {
    Propose(ReplyCallback<Outcome>),
    Query(Query, ReplyCallback<QueryResult>),
    Change(ReplyCallback<()>),
}

impl Waiter {
    /// Reports that this replica is not the leader and did not execute the request.
    pub(super) fn redirect(self, hint: Option<InstanceName>) {
        match self {
            Self::Propose(reply) => reply(CallOutcome::NotLeader(hint)),
            Self::Query(_, reply) => reply(CallOutcome::NotLeader(hint)),
            Self::Change(reply) => reply(CallOutcome::NotLeader(hint)),
        }
    }

    /// Reports that the request may still take effect.
    pub(super) fn fail_unknown(self, why: &str) {
        match self {
            Self::Propose(reply) => reply(CallOutcome::Unknown(why.to_owned())),
            Self::Query(_, reply) => reply(CallOutcome::NotLeader(None)),
            Self::Change(reply) => reply(CallOutcome::Unknown(why.to_owned())),
        }
    }
}
