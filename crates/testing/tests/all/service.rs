//! The plain service: what it records and how it loses answers.

use std::time::Duration;

use serde_json::json;
use tempfile::TempDir;
use yuccaseam_base::cases;
use yuccaseam_testing::{
    Phase,
    Record,
    Service,
    ServiceConfig, //
};

fn fault(fault: &str, status: Option<u16>) {
    let dir = TempDir::new().unwrap();
    let file = dir.path().join("record");
    let service = Service::start(ServiceConfig {
        name: "desk-1".to_owned(),
        listen: "127.0.0.1:0".to_owned(),
        service: "order-desk".to_owned(),
        region: "morava".to_owned(),
        failure_domain: "brno-a".to_owned(),
        slots: 4,
        delay: Duration::ZERO,
        announce: Vec::new(),
        record: Some(file.clone()),
    })
    .unwrap();
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    let agent: ureq::Agent = config.build().into();
    let url = format!("http://{}/orders", service.address());
    let sent = agent
        .post(&url)
        .send_json(json!({"order": "o-1", "fault": fault}));
    assert_eq!(sent.ok().map(|res| res.status().as_u16()), status);
    let entries = Record::read(&file).unwrap();
    let runs = entries.iter().filter(|entry| entry.phase == Phase::Start);
    assert_eq!(runs.count(), 1);
}

cases! { fault:
    an_order_is_answered("none", Some(200));
    an_error_is_answered("error", Some(500));
    a_lost_answer_ran("lost", None);
}
