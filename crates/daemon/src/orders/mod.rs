//! Reconciliation of orders: the leader makes each target load the model that its order names.
//!
//! Reconciliation is level-triggered. Each pass queries the targets that have an order, records
//! what they report in the replicated state, and sends the orders that are loading to targets that
//! do not report their model yet. Sending an order twice has no second effect, so a pass needs no
//! state from the one before.
//!
//! # Invariants
//!
//! - An order is sent only while this replica leads and holds its lease. The number of an order is
//!   its position in the log, so that engines that check it reject the order of an older leader.
//! - Not every engine checks the number. A new leader therefore waits until every order that its
//!   predecessor may have been sending has ended.

mod target;

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex, //
    },
    thread,
};

use yuccaseam_base::{
    Millis,
    Refusal,
    TargetName, //
};
use yuccaseam_state::{
    CompleteOrder,
    LogIndex,
    ObserveTarget,
    Order,
    OrderOutcome,
    OrderState,
    Query,
    QueryResult, //
};

use crate::{
    admin,
    context::Context, //
};

use target::Placement;

/// Pause between two passes.
const PASS_INTERVAL: Millis = Millis(1_000);
/// How long a new leader sends no orders: longer than its predecessor's lease and one call to a
/// target together.
const NEW_LEADER_QUARANTINE: Millis = Millis(7_000);
/// How long after sending it an order is sent again to a target that does not report its model.
const RESEND_INTERVAL: Millis = Millis(15_000);

/// Reconciles orders for the life of the process.
pub(crate) fn run(cx: &Arc<Context>) {
    let mut leader_since = None;
    let sent = Arc::new(SentOrders::default());
    loop {
        thread::sleep(PASS_INTERVAL.duration());
        if !is_leader(cx) {
            leader_since = None;
            continue;
        }
        let since = *leader_since.get_or_insert(cx.clock.now());
        if cx.clock.now() - since < NEW_LEADER_QUARANTINE {
            continue;
        }
        if let Err(refusal) = reconcile_all(cx, &sent) {
            log::warn!("cannot reconcile orders: {refusal}");
        }
    }
}

fn is_leader(cx: &Context) -> bool {
    cx.store
        .replica_status()
        .is_some_and(|status| status.holds_lease(cx.clock.now()))
}

/// The order last sent to each target, and when.
#[derive(Default)]
struct SentOrders(Mutex<BTreeMap<TargetName, (LogIndex, Millis)>>);

impl SentOrders {
    /// Whether an order is due to be sent. If so, records it as sent now.
    fn is_due(&self, order: &Order, now: Millis) -> bool {
        let mut sent = self.0.lock().expect("no thread panics with the lock");
        let last = sent.get(&order.target);
        let is_recent =
            last.is_some_and(|(number, at)| *number == order.number && now < *at + RESEND_INTERVAL);
        if !is_recent {
            sent.insert(order.target.clone(), (order.number, now));
        }
        !is_recent
    }
}

fn reconcile_all(cx: &Arc<Context>, sent: &Arc<SentOrders>) -> Result<(), Refusal> {
    let orders = match cx.store.query(cx, &Query::Orders)? {
        QueryResult::Orders(orders) => orders,
        other => return Err(admin::unexpected_result(&other)),
    };
    for order in orders {
        reconcile(cx, sent, &order)?;
    }
    Ok(())
}

fn reconcile(cx: &Arc<Context>, sent: &Arc<SentOrders>, order: &Order) -> Result<(), Refusal> {
    let Some(announcement) = cx.targets.get(&order.target) else {
        return Ok(());
    };
    let Some(placement) = target::query_placement(cx, announcement.address) else {
        return Ok(());
    };
    let serves = placement.serves(order);
    match order.state {
        OrderState::Loading if serves => complete_order(cx, order),
        OrderState::Loading => {
            if sent.is_due(order, cx.clock.now()) {
                send_order(cx, order.clone(), announcement.address);
            }
            Ok(())
        }
        OrderState::Loaded if !serves => record_mismatch(cx, order, &placement),
        _ => Ok(()),
    }
}

fn complete_order(cx: &Context, order: &Order) -> Result<(), Refusal> {
    log::info!(
        target_name = order.target.as_str(), model = order.model.as_str(), number = order.number.0;
        "order completed"
    );
    let operation = CompleteOrder {
        target: order.target.clone(),
        number: order.number,
        end: OrderOutcome::Loaded,
    };
    cx.store.propose(cx, operation).map(drop)
}

/// Records that a target no longer serves the model of its order, so that the order is sent again.
fn record_mismatch(cx: &Context, order: &Order, placement: &Placement) -> Result<(), Refusal> {
    let operation = ObserveTarget {
        target: order.target.clone(),
        model: placement.models.first().cloned(),
    };
    cx.store.propose(cx, operation).map(drop)
}

/// Sends an order on a thread of its own, because a target may respond slowly.
fn send_order(cx: &Arc<Context>, order: Order, address: std::net::SocketAddr) {
    let cx = Arc::clone(cx);
    let spawned = thread::Builder::new()
        .name("order".to_owned())
        .spawn(move || {
            // The lease is checked again right before the call, because the thread may have been
            // delayed.
            if !is_leader(&cx) {
                return;
            }
            if let Err(refusal) = target::send_load_order(&cx, address, &order) {
                log::warn!(target_name = order.target.as_str(); "order not acknowledged: {refusal}");
            }
        });
    if let Err(error) = spawned {
        log::error!("cannot start a thread to send an order: {error}");
    }
}
