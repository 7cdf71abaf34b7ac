//! Periodic maintenance, most of it done by the leader for the whole system.

use std::sync::Arc;

use yuccaseam_base::{
    Millis,
    Refusal, //
};
use yuccaseam_fleet::OwnerWatch;
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
    let mut watch = OwnerWatch::default();
    for pass in 1_u64.. {
        std::thread::sleep(PASS_INTERVAL.duration());
        cx.links.drop_idle();
        cx.unacknowledged_claims.settle(cx);
        let status = cx.store.replica_status();
        let is_leader = status.is_some_and(|status| status.holds_lease(cx.clock.now()));
        if !is_leader {
            continue;
        }
        let result = end_dead_owners(cx, &mut watch).and_then(|()| {
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

/// Ends the leases of daemons that are dead or were restarted, and abandons their claims once they have
/// not answered for some time.
fn end_dead_owners(cx: &Context, watch: &mut OwnerWatch) -> Result<(), Refusal> {
    let owners = match cx.store.query(cx, &Query::Owners)? {
        QueryResult::Owners(owners) => owners,
        other => return Err(admin::unexpected_result(&other)),
    };
    watch.retain(|instance| owners.iter().any(|owner| owner.instance == *instance));
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
        }
        if claims_have_ended(cx, watch, &owner, reply.as_ref()) {
            cx.store.propose(cx, AbandonClaims { owner })?;
        }
    }
    Ok(())
}

/// Whether the claims of a daemon process can be abandoned.
fn claims_have_ended(
    cx: &Context,
    watch: &mut OwnerWatch,
    owner: &OwnerId,
    reply: Option<&IdentifyReply>,
) -> bool {
    if owner.instance == cx.settings.instance {
        return owner != cx.store.owner();
    }
    let is_dead = cx.fleet.is_dead(&owner.instance);
    let running = reply.map(|reply| reply.incarnation);
    let now = cx.clock.now();
    watch.has_ended(&owner.instance, owner.incarnation, running, is_dead, now)
}

/// Whether the daemon process that owns leases has ended. Membership knows dead daemons;
/// a daemon that replies reports the incarnation that runs now.
fn has_ended(cx: &Context, owner: &OwnerId, reply: Option<&IdentifyReply>) -> bool {
    if owner.instance == cx.settings.instance {
        return owner != cx.store.owner();
    }
    let is_restarted = reply.is_some_and(|reply| reply.incarnation != owner.incarnation);
    is_restarted || cx.fleet.is_dead(&owner.instance)
}
