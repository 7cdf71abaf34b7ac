//! Orders to targets: the model that each should serve.
//!
//! An order's number is its log index, which engines that check it use for fencing. Only one order
//! at a time loads from a weight store; the others wait. The last target of a model in use keeps
//! serving it.

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

/// Orders a target to serve a model.
#[record]
pub struct IssueOrder {
    /// Target to load the model.
    pub target: TargetName,
    /// Model to serve.
    pub model: String,
    /// Weight store to load the model from.
    pub store: String,
}

/// Records the model that a target reports.
#[record]
pub struct ObserveTarget {
    /// Reporting target.
    pub target: TargetName,
    /// Model that the target serves, if any.
    pub model: Option<String>,
}

/// Removes a target that has left, and its order.
#[record]
pub struct RemoveTarget {
    /// Target to remove.
    pub target: TargetName,
}

/// Outcome of an order at its target.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The target serves the model.
    Loaded,
    /// The target failed to load the model.
    Failed,
}

/// Completes an order.
#[record]
pub struct CompleteOrder {
    /// Target of the order.
    pub target: TargetName,
    /// Number of the order.
    pub number: LogIndex,
    /// Outcome of the order.
    pub end: OrderOutcome,
}

/// State of an order.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// Another order loads from the same store, or the target is the last one of a model in use.
    Waiting,
    /// The order is sent to the target until the target reports the model.
    Loading,
    /// The target reported the model.
    Loaded,
    /// The target failed to load the model or exceeded the time limit.
    Failed,
}

/// The order of a target, in force until another order replaces it.
#[record]
pub struct Order {
    /// Target of the order.
    pub target: TargetName,
    /// Fencing number: the log index of the order.
    pub number: LogIndex,
    /// Model to serve.
    pub model: String,
    /// Weight store to load the model from.
    pub store: String,
    /// State of the order.
    pub state: OrderState,
    /// Unix time at which the order entered its state.
    pub since: Millis,
}

/// Orders and reported models, by target.
#[record]
#[derive(Default)]
pub(crate) struct Orders {
    orders: BTreeMap<TargetName, Order>,
    observed: BTreeMap<TargetName, String>,
}

impl Orders {
    /// Returns all orders, sorted by target.
    pub(crate) fn list(&self) -> Vec<Order> {
        self.orders.values().cloned().collect()
    }

    /// Issues an order, which replaces the target's previous one. A repeated order is returned
    /// unchanged.
    ///
    /// # Errors
    ///
    /// Returns an error if the target is loading another model: that order has to end first.
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
        self.start_ready_orders(configuration, now);
        Ok(self.orders[&issue.target].clone())
    }

    /// Records the model that a target serves. It completes an order for that model, and restarts a
    /// loaded order if the target no longer serves its model.
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
            let pending = matches!(order.state, OrderState::Waiting | OrderState::Loading);
            let serves = observe.model.as_ref() == Some(&order.model);
            if pending && serves {
                order.set_state(OrderState::Loaded, now);
            }
            if order.state == OrderState::Loaded && !serves {
                order.set_state(OrderState::Waiting, now);
            }
        }
        self.start_ready_orders(configuration, now);
    }

    /// Completes an order that is loading. Returns whether the number is that of such an order.
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
            OrderOutcome::Loaded => {
                order.set_state(OrderState::Loaded, now);
                self.observed
                    .insert(order.target.clone(), order.model.clone());
            }
            OrderOutcome::Failed => order.set_state(OrderState::Failed, now),
        }
        self.start_ready_orders(configuration, now);
        true
    }

    pub(crate) fn remove(
        &mut self,
        target: &TargetName,
        configuration: &Configuration,
        now: Millis,
    ) {
        self.orders.remove(target);
        self.observed.remove(target);
        self.start_ready_orders(configuration, now);
    }

    /// Fails orders that have been loading for `timeout` or longer, and returns their number.
    pub(crate) fn expire(
        &mut self,
        timeout: Millis,
        configuration: &Configuration,
        now: Millis,
    ) -> u32 {
        let mut expired = 0;
        for order in self.orders.values_mut() {
            if order.state == OrderState::Loading && order.since + timeout <= now {
                order.set_state(OrderState::Failed, now);
                expired += 1;
            }
        }
        self.start_ready_orders(configuration, now);
        expired
    }

    /// Starts the waiting orders that may load now, oldest first.
    fn start_ready_orders(&mut self, configuration: &Configuration, now: Millis) {
        let mut waiting: Vec<(LogIndex, TargetName)> = self
            .orders
            .values()
            .filter(|order| order.state == OrderState::Waiting)
            .map(|order| (order.number, order.target.clone()))
            .collect();
        waiting.sort();
        for (_, target) in waiting {
            let order = &self.orders[&target];
            if self.is_store_free(&order.store) && self.can_unload(&target, configuration) {
                self.orders
                    .entry(target)
                    .and_modify(|order| order.set_state(OrderState::Loading, now));
            }
        }
    }

    fn is_store_free(&self, store: &str) -> bool {
        let loading = |order: &Order| order.state == OrderState::Loading && order.store == store;
        !self.orders.values().any(loading)
    }

    /// Returns whether the target may stop serving its model: another target serves it, or the
    /// configuration requires no replica of it.
    fn can_unload(&self, target: &TargetName, configuration: &Configuration) -> bool {
        let Some(model) = self.observed.get(target) else {
            return true;
        };
        let in_use = configuration
            .models
            .get(model)
            .is_some_and(|model| model.replicas > 0);
        !in_use
            || self
                .targets_serving(model)
                .iter()
                .any(|&other| other != target)
    }

    /// Returns the targets that serve a model and are not loading another one.
    fn targets_serving(&self, model: &str) -> BTreeSet<&TargetName> {
        let keeps_model = |target: &TargetName| {
            let order = self.orders.get(target);
            order.is_none_or(|order| order.state != OrderState::Loading || order.model == model)
        };
        let reporting = self.observed.iter().filter(|(_, served)| *served == model);
        reporting
            .map(|(target, _)| target)
            .filter(|target| keeps_model(target))
            .collect()
    }
}

impl Order {
    const fn set_state(&mut self, state: OrderState, now: Millis) {
        self.state = state;
        self.since = now;
    }
}
