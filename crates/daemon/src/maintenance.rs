//! Periodic maintenance, most of it done by the leader for the whole system.

use std::sync::Arc;

use yuccaseam_base::{
    Millis,
    Refusal, //
};
use yuccaseam_state::{
    AbandonClaims,
    ExpireOwner,
    Operation,
    OwnerId,
    Query,
    QueryResult, //
};
use yuccaseam_wire::store::IdentifyReply;

use crate::{
    admin,
    context::Context,
    instances, //
};

/// Pause between two passes.
const PASS_INTERVAL: Millis = Millis(1_000);
/// Number of passes between two expirations of state that is past its configured retention.
const PASSES_PER_EXPIRATION: u64 = 5;

/// Ends unacknowledged claims of this daemon and, on the leader, keeps the replicated state within
/// its bounds, for the life of the process. The operations are idempotent, so two leaders may
/// propose the same one.
pub(crate) fn run(cx: &Arc<Context>) {
    for pass in 1_u64.. {
        std::thread::sleep(PASS_INTERVAL.duration());
        cx.links.drop_idle();
        cx.unacknowledged_claims.settle(cx);
        let status = cx.store.replica_status();
        let is_leader = status.is_some_and(|status| status.holds_lease(cx.clock.now()));
        if !is_leader {
            continue;
        }
        let result = end_dead_owners(cx).and_then(|()| {
            if pass.is_multiple_of(PASSES_PER_EXPIRATION) {
                cx.store.propose(cx, Operation::ExpireOld)?;
            }
            Ok(())
        });
        if let Err(refusal) = result {
            log::warn!("cannot maintain the replicated state: {refusal}");
        }
    }
}

/// Ends the leases and abandons the claims of daemons that are dead or were restarted.
fn end_dead_owners(cx: &Context) -> Result<(), Refusal> {
    let owners = match cx.store.query(cx, &Query::Owners)? {
        QueryResult::Owners(owners) => owners,
        other => return Err(admin::unexpected_result(&other)),
    };
    let names: Vec<_> = owners.iter().map(|owner| owner.instance.clone()).collect();
    // All are queried at once, so that an unresponsive one does not delay the others.
    let replies = instances::query_all(cx, &names);
    for (owner, reply) in owners.into_iter().zip(replies) {
        if has_ended(cx, &owner, reply.as_ref()) {
            log::info!(
                instance = owner.instance.as_str();
                "expiring the leases of a dead or restarted daemon"
            );
            let expire = ExpireOwner {
                owner: owner.clone(),
            };
            cx.store.propose(cx, expire)?;
            cx.store.propose(cx, AbandonClaims { owner })?;
        }
    }
    Ok(())
}

/// Whether the daemon process that owns leases or claims has ended. Membership knows dead daemons;
/// a daemon that replies reports the incarnation that runs now.
fn has_ended(cx: &Context, owner: &OwnerId, reply: Option<&IdentifyReply>) -> bool {
    if owner.instance == cx.settings.instance {
        return owner != cx.store.owner();
    }
    let is_restarted = reply.is_some_and(|reply| reply.incarnation != owner.incarnation);
    is_restarted || cx.fleet.is_dead(&owner.instance)
}
