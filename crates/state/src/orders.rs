//! Orders to targets: which model each should serve.
//!
//! An order's number is its position in the log, which engines that check it use for fencing. One
//! order at a time loads from one weight store; the others wait. A model in use keeps one target.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use yuccaseam_base::{
    Millis,
    Reason,
    Refusal,
    TargetName,
    key,
    record, //
};

use crate::{
    Configuration,
    LogIndex, //
};

/// Wants a target to serve a model.
#[record]
pub struct IssueOrder {
    /// The target.
    pub target: TargetName,
    /// The model.
    pub model: String,
    /// The weight store that it loads from.
    pub store: String,
}

/// Records what a target reports that it serves.
#[record]
pub struct ObserveTarget {
    /// The target.
    pub target: TargetName,
    /// The model that it serves, if any.
    pub model: Option<String>,
}

/// Forgets a target that has left, with its order.
#[record]
pub struct RemoveTarget {
    /// The target.
    pub target: TargetName,
}

/// How an order ended at its target.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderEnd {
    /// The target serves the model.
    Loaded,
    /// The target could not load the model.
    Failed,
}

/// Ends an order.
#[record]
pub struct CompleteOrder {
    /// The target.
    pub target: TargetName,
    /// The order's number.
    pub number: LogIndex,
    /// How it ended.
    pub end: OrderEnd,
}

/// How far an order has come.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// Another order loads from the same store, or the target's model would be served nowhere.
    Waiting,
    /// The order is given to the target until it reports the model.
    Loading,
    /// The target served the model.
    Loaded,
    /// The target could not load the model, or took too long.
    Failed,
}

/// An order to one target: what it should serve, until another order replaces it.
#[record]
pub struct Order {
    /// The target.
    pub target: TargetName,
    /// The fencing number.
    pub number: LogIndex,
    /// The model.
    pub model: String,
    /// The weight store that it loads from.
    pub store: String,
    /// How far it has come.
    pub state: OrderState,
    /// When it came to that state, in Unix time.
    pub since: Millis,
}

/// Orders and what targets report.
#[record]
#[derive(Default)]
pub(crate) struct Orders {
    orders: BTreeMap<TargetName, Order>,
    observed: BTreeMap<TargetName, String>,
}

impl Orders {
    /// Every order, by target.
    pub(crate) fn list(&self) -> Vec<Order> {
        self.orders.values().cloned().collect()
    }

    /// Issues an order, which replaces the target's earlier one.
    ///
    /// # Errors
    ///
    /// If the target is loading: its order has to end first.
    pub(crate) fn issue(
        &mut self,
        issue: &IssueOrder,
        number: LogIndex,
        configuration: &Configuration,
        now: Millis,
    ) -> Result<Order, Refusal> {
        if let Some(order) = self.orders.get(&issue.target) {
            if order.model == issue.model && order.state != OrderState::Failed {
                return Ok(order.clone());
            }
            if order.state == OrderState::Loading {
                let detail = "the target is loading another model";
                return Err(Refusal::not_run(Reason::UnsafeChange, detail));
            }
        }
        let loaded = self.observed.get(&issue.target) == Some(&issue.model);
        let order = Order {
            target: issue.target.clone(),
            number,
            model: issue.model.clone(),
            store: issue.store.clone(),
            state: if loaded {
                OrderState::Loaded
            } else {
                OrderState::Waiting
            },
            since: now,
        };
        self.orders.insert(issue.target.clone(), order);
        self.start_waiting(configuration, now);
        Ok(self.orders[&issue.target].clone())
    }

    /// Records what a target serves. It ends an order for that model, and begins the last order
    /// anew if the target lost the model.
    pub(crate) fn observe(
        &mut self,
        observe: &ObserveTarget,
        configuration: &Configuration,
        now: Millis,
    ) {
        match &observe.model {
            Some(model) => self.observed.insert(observe.target.clone(), model.clone()),
            None => self.observed.remove(&observe.target),
        };
        if let Some(order) = self.orders.get_mut(&observe.target) {
            let open = matches!(order.state, OrderState::Waiting | OrderState::Loading);
            let serves = observe.model.as_ref() == Some(&order.model);
            if open && serves {
                order.enter(OrderState::Loaded, now);
            }
            if order.state == OrderState::Loaded && !serves {
                order.enter(OrderState::Waiting, now);
            }
        }
        self.start_waiting(configuration, now);
    }

    /// Ends an order that is loading; tells whether the number was that of such an order.
    pub(crate) fn complete(
        &mut self,
        complete: &CompleteOrder,
        configuration: &Configuration,
        now: Millis,
    ) -> bool {
        let Some(order) = self.orders.get_mut(&complete.target) else {
            return false;
        };
        if order.number != complete.number || order.state != OrderState::Loading {
            return false;
        }
        match complete.end {
            OrderEnd::Loaded => {
                order.enter(OrderState::Loaded, now);
                self.observed
                    .insert(order.target.clone(), order.model.clone());
            }
            OrderEnd::Failed => order.enter(OrderState::Failed, now),
        }
        self.start_waiting(configuration, now);
        true
    }

    /// Forgets a target.
    pub(crate) fn remove(
        &mut self,
        target: &TargetName,
        configuration: &Configuration,
        now: Millis,
    ) {
        self.orders.remove(target);
        self.observed.remove(target);
        self.start_waiting(configuration, now);
    }

    /// Fails orders that have been loading for longer than `bound`; returns how many.
    pub(crate) fn expire(
        &mut self,
        bound: Millis,
        configuration: &Configuration,
        now: Millis,
    ) -> u32 {
        let mut expired = 0;
        for order in self.orders.values_mut() {
            if order.state == OrderState::Loading && order.since + bound <= now {
                order.enter(OrderState::Failed, now);
                expired += 1;
            }
        }
        self.start_waiting(configuration, now);
        expired
    }

    /// Starts the orders that may load now, oldest first.
    fn start_waiting(&mut self, configuration: &Configuration, now: Millis) {
        let mut waiting: Vec<(LogIndex, TargetName)> = self
            .orders
            .values()
            .filter(|order| order.state == OrderState::Waiting)
            .map(|order| (order.number, order.target.clone()))
            .collect();
        waiting.sort();
        for (_, target) in waiting {
            let order = &self.orders[&target];
            if self.is_store_free(&order.store) && self.may_leave(&target, configuration) {
                self.orders
                    .entry(target)
                    .and_modify(|order| order.enter(OrderState::Loading, now));
            }
        }
    }

    fn is_store_free(&self, store: &str) -> bool {
        let loading = |order: &Order| order.state == OrderState::Loading && order.store == store;
        !self.orders.values().any(loading)
    }

    /// Whether the model that a target serves would still be served elsewhere, or need not be.
    fn may_leave(&self, target: &TargetName, configuration: &Configuration) -> bool {
        let Some(model) = self.observed.get(target) else {
            return true;
        };
        let wanted = configuration
            .models
            .get(model)
            .is_some_and(|model| model.replicas > 0);
        !wanted || self.serving(model).iter().any(|&other| other != target)
    }

    /// Targets that serve a model and are not loading another.
    fn serving(&self, model: &str) -> BTreeSet<&TargetName> {
        let stays = |target: &TargetName| {
            let order = self.orders.get(target);
            order.is_none_or(|order| order.state != OrderState::Loading || order.model == model)
        };
        let serves = self.observed.iter().filter(|(_, served)| *served == model);
        serves
            .map(|(target, _)| target)
            .filter(|target| stays(target))
            .collect()
    }
}

impl Order {
    const fn enter(&mut self, state: OrderState, now: Millis) {
        self.state = state;
        self.since = now;
    }
}
