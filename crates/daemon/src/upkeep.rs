//! Work that is done from time to time, most of it by the leader for the whole system.

use std::sync::Arc;

use yuccaseam_base::{
    Millis,
    Refusal, //
};
use yuccaseam_state::{
    Answer,
    ExpireOwner,
    Operation,
    OwnerId,
    OwnerLost,
    Query, //
};
use yuccaseam_wire::store::IdentifyReply;

use crate::{
    admin,
    context::Context,
    instances, //
};

/// The pause between two passes.
const PERIOD: Millis = Millis(1_000);
/// Passes after which the state machine forgets what is older than the settings say.
const PASSES_PER_EXPIRY: u64 = 5;

/// Ends claims that this daemon left behind and, on the leader, keeps the replicated state within
/// its bounds, for the life of the process. An operation that two leaders propose changes nothing
/// more than one of them does.
pub(crate) fn run(cx: &Arc<Context>) {
    for pass in 1_u64.. {
        std::thread::sleep(PERIOD.duration());
        cx.links.drop_idle();
        cx.unanswered.settle(cx);
        let status = cx.store.replica_status();
        let is_leader = status.is_some_and(|status| status.holds_lease(cx.clock.now()));
        if !is_leader {
            continue;
        }
        let result = end_dead_owners(cx).and_then(|()| {
            if pass.is_multiple_of(PASSES_PER_EXPIRY) {
                cx.store.propose(cx, Operation::ExpireOld)?;
            }
            Ok(())
        });
        if let Err(refusal) = result {
            log::warn!("upkeep of the state waits: {refusal}");
        }
    }
}

/// Ends the leases and gives up the claims of daemons that are dead or were started again.
fn end_dead_owners(cx: &Context) -> Result<(), Refusal> {
    let owners = match cx.store.query(cx, &Query::Owners)? {
        Answer::Owners(owners) => owners,
        other => return Err(admin::unexpected(&other)),
    };
    let names: Vec<_> = owners.iter().map(|owner| owner.instance.clone()).collect();
    // All are asked at once: one that is silent must not hold the others up.
    let replies = instances::ask_all(cx, &names);
    for (owner, reply) in owners.into_iter().zip(replies) {
        if is_over(cx, &owner, reply.as_ref()) {
            log::info!(instance = owner.instance.as_str(); "the leases of a dead daemon end");
            let expire = ExpireOwner {
                owner: owner.clone(),
            };
            cx.store.propose(cx, expire)?;
            cx.store.propose(cx, OwnerLost { owner })?;
        }
    }
    Ok(())
}

/// Whether a run of a daemon is over. Membership says who is dead; a daemon that answers says
/// which run it is.
fn is_over(cx: &Context, owner: &OwnerId, reply: Option<&IdentifyReply>) -> bool {
    if owner.instance == cx.settings.instance {
        return owner != cx.store.owner();
    }
    let is_other_run = reply.is_some_and(|reply| reply.incarnation != owner.incarnation);
    is_other_run || cx.fleet.is_dead(&owner.instance)
}
