//! Those who wait for an answer.

use yuccaseam_base::InstanceName;
use yuccaseam_state::{
    Outcome,
    Query,
    QueryResult, //
};

use crate::store::Replied;

use super::super::Reply;

/// Who waits for a token.
pub(super) enum Waiter {
    Propose(Reply<Outcome>),
    Query(Query, Reply<QueryResult>),
    Change(Reply<()>),
}

impl Waiter {
    /// Says that another replica leads, and that nothing was done here.
    pub(super) fn redirect(self, hint: Option<InstanceName>) {
        match self {
            Self::Propose(reply) => reply(Replied::NotLeader(hint)),
            Self::Query(_, reply) => reply(Replied::NotLeader(hint)),
            Self::Change(reply) => reply(Replied::NotLeader(hint)),
        }
    }

    /// Says that what was asked for may still take effect.
    pub(super) fn lose(self, why: &str) {
        match self {
            Self::Propose(reply) => reply(Replied::Lost(why.to_owned())),
            Self::Query(_, reply) => reply(Replied::NotLeader(None)),
            Self::Change(reply) => reply(Replied::Lost(why.to_owned())),
        }
    }
}
