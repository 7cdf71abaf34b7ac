//! Orders to targets are carried out once the target reports it, whoever leads.

use serde_json::{
    Value,
    json, //
};
use yuccaseam_testing::{
    Cluster,
    wait_until, //
};

use crate::support::with_engines;

/// Orders a target to load a model through the daemons that run, until one accepts.
fn order(cluster: &Cluster, through: usize, target: &str, model: &str) {
    let body = json!({"target": target, "model": model});
    wait_until("an order is accepted", || {
        let answer = cluster.caller(through).post("/admin/v1/orders", &body);
        answer.is_ok_and(|answer| answer.status == 200)
    });
}

fn state_of(cluster: &Cluster, through: usize, target: &str) -> Option<Value> {
    let orders = cluster.caller(through).get("/admin/v1/orders")?;
    let mut list = orders["orders"].as_array()?.iter();
    list.find(|order| order["target"] == target).cloned()
}

fn wait_for_loaded(cluster: &Cluster, through: usize, target: &str) {
    wait_until(&format!("{target} has loaded"), || {
        state_of(cluster, through, target).is_some_and(|order| order["state"] == "loaded")
    });
}

/// What a target itself reports.
fn placement(cluster: &Cluster, target: &str) -> Value {
    let address = cluster.targets[target].address;
    let caller = yuccaseam_testing::Caller::new(address);
    caller.get("/placement").expect("the target answers")
}

#[test]
fn an_order_is_carried_out_also_after_its_leader_is_killed() {
    let mut cluster = with_engines(2, &[]);
    order(&cluster, 0, "w0", "adapter-a");
    wait_for_loaded(&cluster, 0, "w0");
    let first = placement(&cluster, "w0");
    assert!(
        first["models"]
            .as_array()
            .unwrap()
            .contains(&json!("adapter-a"))
    );

    order(&cluster, 0, "w1", "adapter-b");
    let leader = (0..3).find(|&index| {
        let status = cluster.caller(index).get("/admin/v1/status");
        status.is_some_and(|status| status["replica"]["leads"] == true)
    });
    let leader = leader.expect("an order was accepted by a leader");
    cluster.daemons[leader].kill();
    let other = (leader + 1) % 3;
    wait_for_loaded(&cluster, other, "w1");
    let second = placement(&cluster, "w1");
    assert!(
        second["models"]
            .as_array()
            .unwrap()
            .contains(&json!("adapter-b"))
    );
    let number = state_of(&cluster, other, "w1").unwrap()["number"].as_u64();
    assert_eq!(
        second["number"].as_u64(),
        number,
        "the fencing number reached the target"
    );
}
