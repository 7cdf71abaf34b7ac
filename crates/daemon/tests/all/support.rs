//! Small systems that several topics start.

use serde_json::{
    Value,
    json, //
};
use yuccaseam_testing::{
    Cluster,
    Entry,
    Phase,
    Place, //
};

/// The places of the brief, one daemon with a disk at each.
pub(crate) fn places() -> Vec<Place> {
    vec![
        Place::new("morava", "brno-a").with_disk(),
        Place::new("morava", "jihlava-b").with_disk(),
        Place::new("cechy", "praha-a").with_disk(),
    ]
}

/// Three daemons and some engines, all ready.
pub(crate) fn with_engines(engines: usize, flags: &[&str]) -> Cluster {
    let places = places();
    let mut cluster = Cluster::start(&places, flags);
    for index in 0..engines {
        let place = &places[index % places.len()];
        cluster.start_engine(&format!("w{index}"), place, &[]);
    }
    cluster.wait_until_ready();
    cluster
}

/// Three daemons and some copies of `order-desk`, all ready.
pub(crate) fn with_services(services: usize, flags: &[&str]) -> Cluster {
    let places = places();
    let mut cluster = Cluster::start(&places, &[]);
    for index in 0..services {
        let place = &places[index % places.len()];
        cluster.start_service(&format!("desk{index}"), place, flags);
    }
    cluster.wait_until_ready();
    cluster
}

/// A streamed question.
pub(crate) fn question(prompt: &str, tokens: u32) -> Value {
    json!({"model": "lagging-llm", "prompt": prompt, "max_tokens": tokens, "stream": true})
}

/// How often the targets began to run a call, by their own records.
pub(crate) fn runs(records: &[Entry], subject: &str) -> usize {
    let started = |entry: &&Entry| entry.phase == Phase::Start && entry.subject == subject;
    records.iter().filter(started).count()
}
