//! Target orders: fencing numbers, one load at a time from a weight store, and at least one target
//! for each model in use.

use assert_matches::assert_matches;
use yuccaseam_base::{
    Millis,
    Reason, //
};
use yuccaseam_state::{
    CompleteOrder,
    ConfigurationChange,
    IssueOrder,
    LogIndex,
    Model,
    ObserveTarget,
    Order,
    OrderOutcome,
    OrderState,
    Outcome,
    Query,
    QueryResult,
    RemoveTarget, //
};

use crate::common::{
    Machine,
    refusal, //
};

fn fleet() -> Machine {
    let mut machine = Machine::new();
    let model = |name: &str| {
        ConfigurationChange::PutModel(Model {
            name: name.to_owned(),
            replicas: 2,
        })
    };
    machine.set("models", 0, vec![model("old"), model("new")]);
    for target in ["w1", "w2"] {
        machine.apply(observe(target, "old"));
    }
    machine
}

fn observe(target: &str, model: &str) -> ObserveTarget {
    ObserveTarget {
        target: target.into(),
        model: Some(model.to_owned()),
    }
}

fn order(machine: &mut Machine, target: &str, store: &str) -> Order {
    let issue = IssueOrder {
        target: target.into(),
        model: "new".to_owned(),
        store: store.to_owned(),
    };
    match machine.apply(issue) {
        Outcome::Ordered(order) => order,
        other => panic!("not ordered: {other:?}"),
    }
}

fn complete(machine: &mut Machine, target: &str, number: LogIndex, end: OrderOutcome) -> Outcome {
    machine.apply(CompleteOrder {
        target: target.into(),
        number,
        end,
    })
}

fn state_of(machine: &Machine, target: &str) -> OrderState {
    let QueryResult::Orders(orders) = machine.state.query(&Query::Orders) else {
        panic!("no orders");
    };
    let order = orders.iter().find(|order| order.target.as_str() == target);
    order.expect("the target has an order").state
}

#[test]
fn store_serves_one_load_at_a_time() {
    let mut machine = fleet();
    machine.apply(observe("w3", "old"));
    let first = order(&mut machine, "w1", "store");
    let second = order(&mut machine, "w2", "store");
    assert_eq!(
        (first.state, second.state),
        (OrderState::Loading, OrderState::Waiting)
    );
    assert!(second.number > first.number);
    machine.apply(observe("w1", "new"));
    assert_eq!(state_of(&machine, "w1"), OrderState::Loaded);
    assert_eq!(state_of(&machine, "w2"), OrderState::Loading);
}

#[test]
fn last_target_of_a_model_in_use_waits_for_another() {
    let mut machine = fleet();
    let first = order(&mut machine, "w1", "store-1");
    let second = order(&mut machine, "w2", "store-2");
    assert_eq!(
        (first.state, second.state),
        (OrderState::Loading, OrderState::Waiting)
    );
    complete(&mut machine, "w1", first.number, OrderOutcome::Loaded);
    assert_eq!(state_of(&machine, "w2"), OrderState::Waiting);
    machine.apply(observe("w3", "old"));
    assert_eq!(state_of(&machine, "w2"), OrderState::Loading);
}

#[test]
fn removed_model_does_not_hold_its_last_target() {
    let mut machine = fleet();
    machine.apply(RemoveTarget {
        target: "w2".into(),
    });
    assert_eq!(
        order(&mut machine, "w1", "store").state,
        OrderState::Waiting
    );
    let remove = ConfigurationChange::RemoveModel("old".to_owned());
    machine.set("remove", 1, vec![remove]);
    machine.apply(observe("w1", "old"));
    assert_eq!(state_of(&machine, "w1"), OrderState::Loading);
}

#[test]
fn stale_order_number_is_ignored() {
    let mut machine = fleet();
    let first = order(&mut machine, "w1", "store");
    let outcome = complete(&mut machine, "w1", first.number, OrderOutcome::Failed);
    assert_eq!(outcome, Outcome::OrderCompleted { stood: true });
    let second = order(&mut machine, "w1", "store");
    assert!(second.number > first.number);
    let outcome = complete(&mut machine, "w1", first.number, OrderOutcome::Loaded);
    assert_eq!(outcome, Outcome::OrderCompleted { stood: false });
    assert_eq!(state_of(&machine, "w1"), OrderState::Loading);
}

#[test]
fn repeated_order_is_idempotent_and_another_is_refused_while_loading() {
    let mut machine = fleet();
    let first = order(&mut machine, "w1", "store");
    assert_eq!(order(&mut machine, "w1", "store"), first);
    let other = IssueOrder {
        target: "w1".into(),
        model: "other".to_owned(),
        store: "store".to_owned(),
    };
    assert_eq!(refusal(machine.apply(other)), Reason::UnsafeChange);
}

#[test]
fn timed_out_order_frees_its_store() {
    let mut machine = fleet();
    machine.apply(observe("w3", "old"));
    order(&mut machine, "w1", "store");
    order(&mut machine, "w2", "store");
    let bound = Millis(machine.state.configuration().defaults.order_ms);
    machine.wait(bound - Millis(1));
    assert_eq!(state_of(&machine, "w1"), OrderState::Loading);
    machine.wait(Millis(1));
    assert_eq!(state_of(&machine, "w1"), OrderState::Failed);
    assert_eq!(state_of(&machine, "w2"), OrderState::Loading);
    assert_matches!(machine.state.query(&Query::Orders), QueryResult::Orders(list) if list.len() == 2);
}

#[test]
fn target_that_lost_its_model_reloads_it() {
    let mut machine = fleet();
    let order = order(&mut machine, "w1", "store");
    machine.apply(observe("w1", "new"));
    machine.apply(observe("w1", "old"));
    let QueryResult::Orders(orders) = machine.state.query(&Query::Orders) else {
        panic!("no orders");
    };
    assert_eq!(orders[0].number, order.number);
    assert_eq!(orders[0].state, OrderState::Loading);
}
