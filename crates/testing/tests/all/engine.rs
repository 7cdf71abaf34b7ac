//! The emulated engine: deterministic answers, resume, cancel, orders.

use std::{
    io::{
        BufRead,
        BufReader, //
    },
    time::Duration,
};

use serde_json::{
    Value,
    json, //
};
use yuccaseam_base::{
    Millis,
    cases, //
};
use yuccaseam_testing::{
    Engine,
    EngineConfig,
    answer,
    chat_prompt,
    wait_until, //
};

pub(crate) fn engine(check_orders: bool) -> Engine {
    let cfg = EngineConfig {
        name: "w1".to_owned(),
        listen: "127.0.0.1:0".to_owned(),
        model: "lagging-llm".to_owned(),
        region: "morava".to_owned(),
        failure_domain: "brno-a".to_owned(),
        slots: 2,
        step: Duration::from_millis(1),
        step_per_call: Duration::ZERO,
        prefill_per_token: Duration::ZERO,
        cache_blocks: 8,
        kv_tokens: 1_000,
        load_lag: Duration::ZERO,
        event_lag: Millis::ZERO,
        lose_every: 0,
        order_time: Duration::ZERO,
        check_orders,
        announce: Vec::new(),
        record: None,
    };
    Engine::start(cfg).unwrap()
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    config.build().into()
}

fn post(engine: &Engine, path: &str, body: &Value) -> (u16, Value) {
    let url = format!("http://{}{path}", engine.address());
    let mut res = agent().post(&url).send_json(body).unwrap();
    (res.status().as_u16(), res.body_mut().read_json().unwrap())
}

fn get(engine: &Engine, path: &str) -> Value {
    let url = format!("http://{}{path}", engine.address());
    let mut res = agent().get(&url).call().unwrap();
    res.body_mut().read_json().unwrap()
}

#[test]
fn a_resumed_answer_ends_as_the_whole_one() {
    let engine = engine(true);
    let ask = json!({"model": "lagging-llm", "prompt": "pipe DN 80", "max_tokens": 20});
    let (_, whole) = post(&engine, "/v1/completions", &ask);
    let mut rest = ask.clone();
    rest["yuccaseam"] = json!({"resume_from": 7});
    let (_, rest) = post(&engine, "/v1/completions", &rest);
    assert_eq!(whole["choices"][0]["text"], answer("pipe DN 80", 0, 20));
    assert_eq!(rest["choices"][0]["text"], answer("pipe DN 80", 7, 20));
}

#[test]
fn a_chat_stream_has_each_token_and_the_end_mark() {
    let engine = engine(true);
    let messages = json!([{"role": "user", "content": "which grade?"}]);
    let ask = json!({"model": "lagging-llm", "messages": messages, "max_tokens": 5,
                     "stream": true});
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let res = agent().post(&url).send_json(&ask).unwrap();
    let mut text = String::new();
    let mut last = String::new();
    for line in BufReader::new(res.into_body().into_reader()).lines() {
        let line = line.unwrap();
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if let Ok(event) = serde_json::from_str::<Value>(data) {
            let delta = &event["choices"][0]["delta"]["content"];
            text.push_str(delta.as_str().unwrap());
        }
        last = data.to_owned();
    }
    let prompt = chat_prompt(messages.as_array().unwrap());
    assert_eq!(text, answer(&prompt, 0, 5));
    assert_eq!(last, "[DONE]");
}

#[test]
fn a_caller_that_closes_its_connection_cancels_its_call() {
    let engine = engine(true);
    let ask = json!({"model": "lagging-llm", "prompt": "p", "max_tokens": 1_000_000,
                     "stream": true});
    let url = format!("http://{}/v1/completions", engine.address());
    let res = agent().post(&url).send_json(&ask).unwrap();
    let mut reader = BufReader::new(res.into_body().into_reader());
    reader.read_line(&mut String::new()).unwrap();
    assert_eq!(engine.open_calls(), 1);
    drop(reader);
    wait_until("the call ends", || engine.open_calls() == 0);
    wait_until("the call is recorded as cancelled", || {
        let record = get(&engine, "/record");
        record.as_array().unwrap().last().unwrap()["phase"] == "cancel"
    });
}

#[test]
fn calls_beyond_the_slots_wait() {
    let engine = engine(true);
    let ask = json!({"model": "lagging-llm", "prompt": "p", "max_tokens": 1_000_000});
    std::thread::scope(|scope| {
        for index in 0..3 {
            let (engine, ask) = (&engine, &ask);
            scope.spawn(move || {
                let url = format!("http://{}/v1/completions", engine.address());
                let id = format!("call-{index}");
                let req = agent().post(&url).header("X-Request-Id", &id);
                req.send_json(ask).unwrap();
            });
        }
        wait_until("two run and one waits", || {
            let load = get(&engine, "/load");
            load["running"] == 2 && load["waiting"] == 1
        });
        for index in 0..3 {
            let id = format!("call-{index}");
            post(&engine, "/cancel", &json!({ "id": id }));
        }
    });
    // A caller has its answer before the engine's thread has ended the call.
    wait_until("no call is open", || engine.open_calls() == 0);
}

fn old_order(check_orders: bool, status: u16) {
    let engine = engine(check_orders);
    let newer = json!({"number": 2, "action": "load", "model": "b"});
    let older = json!({"number": 1, "action": "unload", "model": "b"});
    assert_eq!(post(&engine, "/orders", &newer).0, 200);
    assert_eq!(post(&engine, "/orders", &older).0, status);
}

cases! { old_order:
    an_old_order_is_refused_where_numbers_are_checked(true, 409);
    an_old_order_is_carried_out_where_they_are_not(false, 200);
}

#[test]
fn cache_events_tell_of_blocks() {
    let engine = engine(true);
    let prompt = "word ".repeat(40);
    let ask = json!({"model": "lagging-llm", "prompt": prompt, "max_tokens": 1});
    post(&engine, "/v1/completions", &ask);
    let events = get(&engine, "/events?since=2");
    assert_eq!(events.as_array().unwrap().len(), 1);
    assert_eq!(events[0]["kind"], "stored");
}
