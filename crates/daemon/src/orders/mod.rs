//! Orders to targets: the leader brings each target to the model that its order names.
//!
//! The work is level-triggered. Each pass reads what the targets with an order report, records it
//! in the replicated state, and gives the orders that are loading to targets that do not report
//! their model yet. Giving an order twice has no second effect, so a pass needs no memory of the
//! one before.
//!
//! # Invariants
//!
//! - An order is given only while this replica leads and its lease lasts. The number of an order
//!   is its position in the log, so that engines that check it refuse an older leader's order.
//! - Not every engine checks the number. A new leader therefore waits until every order that the
//!   leader before it may have been giving has ended.

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
    Answer,
    CompleteOrder,
    LogIndex,
    ObserveTarget,
    Order,
    OrderEnd,
    OrderState,
    Query, //
};

use crate::{
    admin,
    context::Context, //
};

use target::Placement;

/// The pause between two passes.
const PERIOD: Millis = Millis(1_000);
/// How long after its election a leader gives no order: longer than the lease of the leader
/// before it and one call to a target together.
const QUARANTINE: Millis = Millis(7_000);
/// How long after it was given an order is given again to a target that does not report it.
const REPEAT: Millis = Millis(15_000);

/// Carries out orders for the life of the process.
pub(crate) fn run(cx: &Arc<Context>) {
    let mut led_since = None;
    let given = Arc::new(Given::default());
    loop {
        thread::sleep(PERIOD.duration());
        if !leads(cx) {
            led_since = None;
            continue;
        }
        let since = *led_since.get_or_insert(cx.clock.now());
        if cx.clock.now() - since < QUARANTINE {
            continue;
        }
        if let Err(refusal) = pass(cx, &given) {
            log::warn!("orders are not carried out: {refusal}");
        }
    }
}

fn leads(cx: &Context) -> bool {
    cx.store
        .replica_status()
        .is_some_and(|status| status.holds_lease(cx.clock.now()))
}

/// When each order was given last.
#[derive(Default)]
struct Given(Mutex<BTreeMap<TargetName, (LogIndex, Millis)>>);

impl Given {
    /// Whether an order is due, and if so notes that it is given now.
    fn is_due(&self, order: &Order, now: Millis) -> bool {
        let mut given = self.0.lock().expect("no thread panics with the lock");
        let last = given.get(&order.target);
        let waits = last.is_some_and(|(number, at)| *number == order.number && now < *at + REPEAT);
        if !waits {
            given.insert(order.target.clone(), (order.number, now));
        }
        !waits
    }
}

fn pass(cx: &Arc<Context>, given: &Arc<Given>) -> Result<(), Refusal> {
    let orders = match cx.store.query(cx, &Query::Orders)? {
        Answer::Orders(orders) => orders,
        other => return Err(admin::unexpected(&other)),
    };
    for order in orders {
        reconcile(cx, given, &order)?;
    }
    Ok(())
}

fn reconcile(cx: &Arc<Context>, given: &Arc<Given>, order: &Order) -> Result<(), Refusal> {
    let Some(announcement) = cx.targets.get(&order.target) else {
        return Ok(());
    };
    let Some(placement) = target::placement(cx, announcement.address) else {
        return Ok(());
    };
    let serves = placement.serves(order);
    match order.state {
        OrderState::Loading if serves => complete(cx, order),
        OrderState::Loading => {
            if given.is_due(order, cx.clock.now()) {
                give(cx, order.clone(), announcement.address);
            }
            Ok(())
        }
        OrderState::Loaded if !serves => observe(cx, order, &placement),
        _ => Ok(()),
    }
}

fn complete(cx: &Context, order: &Order) -> Result<(), Refusal> {
    log::info!(
        target_name = order.target.as_str(), model = order.model.as_str(), number = order.number.0;
        "an order is carried out"
    );
    let complete = CompleteOrder {
        target: order.target.clone(),
        number: order.number,
        end: OrderEnd::Loaded,
    };
    cx.store.propose(cx, complete).map(drop)
}

/// Records that a target no longer serves what it was ordered to, so that the order is given anew.
fn observe(cx: &Context, order: &Order, placement: &Placement) -> Result<(), Refusal> {
    let observe = ObserveTarget {
        target: order.target.clone(),
        model: placement.models.first().cloned(),
    };
    cx.store.propose(cx, observe).map(drop)
}

/// Gives an order on a thread of its own, because a target may take long to answer.
fn give(cx: &Arc<Context>, order: Order, address: std::net::SocketAddr) {
    let cx = Arc::clone(cx);
    let spawned = thread::Builder::new()
        .name("order".to_owned())
        .spawn(move || {
            // The thread may have been delayed: the lease is checked right before the call.
            if !leads(&cx) {
                return;
            }
            if let Err(refusal) = target::load(&cx, address, &order) {
                log::warn!(target_name = order.target.as_str(); "an order has no answer: {refusal}");
            }
        });
    if let Err(error) = spawned {
        log::error!("no thread for an order: {error}");
    }
}
