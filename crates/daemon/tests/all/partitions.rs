//! A silent cut between regions: nothing closes, nothing arrives.

use serde_json::{
    Value,
    json, //
};
use yuccaseam_base::cases;
use yuccaseam_testing::{
    Caller,
    Cluster,
    Cut,
    Link,
    answer,
    wait_until, //
};

use crate::support::{
    places,
    question,
    runs, //
};

/// The daemon in the region that is cut off.
const CUT_OFF: usize = 2;

fn start() -> (Cluster, Link) {
    let places = places();
    let mut cluster = Cluster::new(&places, &[]);
    let link = cluster.join_regions_by_link();
    cluster.start_daemons();
    for (index, place) in places.iter().enumerate() {
        cluster.start_engine(&format!("w{index}"), place, &[]);
        cluster.start_service(&format!("desk{index}"), place, &[]);
    }
    cluster.wait_until_ready();
    (cluster, link)
}

fn is_ready(caller: &Caller) -> bool {
    let ready = caller.call("GET", "/readyz", "");
    ready.is_ok_and(|ready| ready.status == 200)
}

fn order(caller: &Caller, name: &str) -> Value {
    let keyed = caller.clone().with_header("Idempotency-Key", name);
    let sent = keyed.post("/services/order-desk/orders", &json!({ "order": name }));
    sent.expect("the daemon answers").json()
}

fn configuration(caller: &Caller) -> Option<Value> {
    caller.get("/admin/v1/configuration")
}

fn change(caller: &Caller, value: u64) -> bool {
    let Some(current) = configuration(caller) else {
        return false;
    };
    let body = json!({
        "request": format!("r{value}"),
        "author": "jana",
        "expected": current["revision"],
        "changes": [{"set_default": {"setting": "balance", "value": value}}],
    });
    let sent = caller.post("/admin/v1/configuration", &body);
    sent.is_ok_and(|answer| answer.status == 200)
}

/// What holds while the region is cut off and after: its daemon leaves the balancer and runs no
/// order that it can't claim, the others go on, online questions are answered on both sides, and
/// once the link is healed the region follows.
fn cut_off(cut: Cut) {
    let (cluster, link) = start();
    let inside = cluster.caller(CUT_OFF);
    let outside = cluster.caller(0);
    wait_until("a change is accepted", || change(&outside, 11));
    link.cut("cechy", cut);

    wait_until("the region leaves the balancer", || !is_ready(&inside));
    wait_until("the others accept changes", || change(&outside, 12));
    assert!(is_ready(&outside), "the cut made the majority leave");
    for (caller, prompt) in [(&inside, "inside"), (&outside, "outside")] {
        let got = caller.stream("/v1/completions", &question(prompt, 20));
        let got = got.expect("the daemon answers");
        assert_eq!(got.text, answer(prompt, 0, 20), "{:?}", got.error);
    }
    let refused = order(&inside, "o-inside");
    assert_eq!(refused["error"]["verdict"], "not_run", "{refused}");
    assert_eq!(runs(&cluster.records(), "o-inside"), 0);
    let receipt = order(&outside, "o-outside");
    assert_eq!(receipt["order"], "o-outside", "{receipt}");

    link.heal();
    wait_until("the region is back at the balancer", || is_ready(&inside));
    assert_eq!(configuration(&inside), configuration(&outside));
    assert_eq!(order(&inside, "o-outside"), receipt);
    let records = cluster.records();
    assert_eq!(runs(&records, "o-outside"), 1);
    assert_eq!(runs(&records, "o-inside"), 0);
}

cases! { cut_off:
    a_region_is_cut_off_both_ways(Cut { sends: true, receives: true });
    a_region_hears_and_is_not_heard(Cut { sends: true, receives: false });
    a_region_is_heard_and_hears_nothing(Cut { sends: false, receives: true });
}

/// The claim of an order that was refused may be on its way while the link is cut, and arrives
/// when it is healed. It must not keep the order from being sent again.
#[test]
fn an_order_refused_during_a_cut_runs_when_sent_again() {
    let (cluster, link) = start();
    let inside = cluster.caller(CUT_OFF);
    let cut = Cut {
        sends: true,
        receives: true,
    };
    link.cut("cechy", cut);
    wait_until("the region leaves the balancer", || !is_ready(&inside));
    let refused = order(&inside, "o-1");
    assert_eq!(refused["error"]["verdict"], "not_run", "{refused}");
    link.heal();
    wait_until("the region is back at the balancer", || is_ready(&inside));
    let resent = order(&cluster.caller(0), "o-1");
    assert_eq!(resent["order"], "o-1", "{resent}");
    assert_eq!(runs(&cluster.records(), "o-1"), 1);
}
