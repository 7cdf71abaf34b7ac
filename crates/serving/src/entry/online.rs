//! One request of a caller, from its route to its answer.
//!
//! # Invariants
//!
//! - A request that may not be repeated reaches no second target once a first may have run it.
//! - A refusal with a status that promises "not run" is sent only if no target may have run it.
//! - No target is given more time than the caller has left.

use std::{
    pin::pin,
    sync::Arc, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderValue,
    Request,
    Response,
    StatusCode,
    header,
    request::Parts, //
};
use http_body_util::{
    BodyExt as _,
    Full,
    Limited, //
};
use tokio::time::timeout;
use yuccaseam_base::{
    Millis,
    Verdict, //
};
use yuccaseam_platform::{
    Route,
    headers, //
};

use crate::{
    admission::{
        Asking,
        Decision,
        come_back_after,
        decide, //
    },
    balance::{
        Choice,
        Room, //
    },
    cx::Cx,
    routes::choose_destination,
    targets::TargetKey,
    upstream::{
        Call,
        CallError,
        Failure, //
    },
};

use super::{
    answer::{
        Answer,
        given_up,
        refused,
        whole, //
    },
    front::Received,
    stream,
};

/// How old a connection may be for a request that must not be repeated. A target that closes an
/// idle connection at the moment of the request leaves its caller without an answer.
const FRESH_ONCE: Millis = Millis(500);
/// How old a connection may be for a request that can be repeated.
const FRESH: Millis = Millis(4_000);
/// The least time that a target gets before another one is tried.
const TRY: Millis = Millis(600);
/// The least time after which a silent target is suspected: an engine with free slots sends a first event
/// within some 100 ms.
const SUSPECTED: Millis = Millis(800);
/// The largest answer that is not a stream, in bytes.
const ANSWER_BYTES: usize = 16 << 20;
/// Targets that may turn a request away before its caller is refused.
const MAX_REJECTIONS: usize = 4;

/// Why a request has no answer of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct GiveUp {
    verdict: Verdict,
    timed_out: bool,
    why: &'static str,
}

impl GiveUp {
    /// A stable name of the reason.
    pub(super) fn why(self) -> &'static str {
        self.why
    }

    fn answer(self) -> Answer {
        if self.verdict == Verdict::NotRun && !self.timed_out {
            return refused(self.why, come_back_after(rand::random()));
        }
        given_up(self.verdict, self.timed_out, self.why)
    }
}

/// One request at one target, counted while it lives.
pub(super) struct Slot {
    cx: Arc<Cx>,
    pub(super) choice: Choice,
}

impl Slot {
    fn new(cx: &Arc<Cx>, choice: Choice) -> Self {
        cx.balancer().begin(choice.key);
        cx.neighbours.tell(cx, choice.key);
        let cx = Arc::clone(cx);
        Self { cx, choice }
    }

    /// Notes that the target failed the request, here and at the neighbours.
    pub(super) fn note_failed(&self) {
        let now = self.cx.clock.now();
        self.cx.balancer().failed(self.choice.key, now);
        self.cx.neighbours.tell_failed(self.choice.key);
    }

    /// Notes that the target has been silent for so long that others should not be sent there.
    pub(super) fn note_silent(&self, request: &str) {
        if self.choice.room == Room::Full {
            return;
        }
        log::info!(
            request, target_name:% = self.choice.name, believed_online = self.choice.load.online,
            believed_batch = self.choice.load.batch; "the target is silent and avoided for now");
        self.note_failed();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.cx.balancer().end(self.choice.key);
        self.cx.neighbours.tell(&self.cx, self.choice.key);
        self.cx.room.notify_waiters();
    }
}

/// A request that is being served.
pub(super) struct Serving {
    pub(super) cx: Arc<Cx>,
    pub(super) route: Route,
    pub(super) id: String,
    /// The version of the manifest that chose its route.
    manifest: u64,
    head: Parts,
    body: Bytes,
    service: String,
    pub(super) arrived_at: Millis,
    pub(super) deadline: Millis,
    patience: Millis,
    tried: Vec<TargetKey>,
    rejections: usize,
    /// Targets that may have run it.
    runs: u32,
    /// When it was sent to a target last.
    sent_at: Millis,
    /// When the first events of a stream were passed on.
    pub(super) first_event_at: Option<Millis>,
}

/// Serves a request of a caller.
pub(super) async fn serve(cx: Arc<Cx>, route: Route, req: Received) -> Answer {
    let Some(mut serving) = Serving::new(cx, route, req) else {
        return refused("the route has no service", Millis::from_secs(1));
    };
    let answer = if serving.route.repeatability.is_stream() {
        stream::serve(serving).await
    } else {
        serving.whole_answer().await
    };
    answer.unwrap_or_else(GiveUp::answer)
}

impl Serving {
    fn new(cx: Arc<Cx>, route: Route, req: Received) -> Option<Self> {
        let service = choose_destination(&route, rand::random())?.to_owned();
        let id = req.id().to_owned();
        let said = headers::millis(&req.head.headers, &headers::TIME_LEFT);
        let patience = said.unwrap_or(route.timeout);
        let mut head = req.head;
        headers::strip_hop_by_hop(&mut head.headers);
        Some(Self {
            cx,
            id,
            manifest: req.manifest,
            head,
            body: req.body,
            service,
            arrived_at: req.arrived_at,
            deadline: req.arrived_at + patience.min(route.timeout),
            patience,
            tried: Vec::new(),
            rejections: 0,
            runs: 0,
            sent_at: Millis::ZERO,
            first_event_at: None,
            route,
        })
    }

    fn now(&self) -> Millis {
        self.cx.clock.now()
    }

    fn verdict(&self) -> Verdict {
        if self.runs == 0 {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        }
    }

    /// Gives a request up that a target has run.
    pub(super) fn give_up_after_run(&mut self, why: &'static str) -> GiveUp {
        self.runs += 1;
        self.give_up(why)
    }

    pub(super) fn give_up(&self, why: &'static str) -> GiveUp {
        let give_up = GiveUp {
            verdict: self.verdict(),
            timed_out: self.now() >= self.deadline,
            why,
        };
        metrics::counter!("yuccaseam_given_up_total", "reason" => why).increment(1);
        log::info!(
            request:% = self.id, route:% = self.route.name, outcome = "given_up", why,
            verdict = give_up.verdict.code(), runs = self.runs, rejections = self.rejections,
            manifest = self.manifest, loads_age_ms = self.cx.balancer().loads_age(self.now()).0,
            took_ms = (self.now() - self.arrived_at).0; "request ended");
        give_up
    }

    /// Whether another target may be tried if the present one fails.
    pub(super) fn may_resume(&self) -> bool {
        self.route.repeatability.may_repeat() && self.runs + 1 < self.route.max_attempts
    }

    /// Whether another target may be tried after one that may have run the request.
    fn may_repeat(&self) -> bool {
        self.route.repeatability.may_repeat() && self.runs < self.route.max_attempts
    }

    /// A target that the request may go to, once there is room.
    async fn slot(&self) -> Result<Slot, GiveUp> {
        let asked_at = self.now();
        loop {
            let room = self.cx.room.notified();
            let now = self.now();
            if now >= self.deadline {
                return Err(self.give_up("deadline_passed"));
            }
            let asking = Asking {
                waited: now - asked_at,
                objective: self.route.objective,
                timeout: self.route.timeout,
                patience: self.patience,
            };
            let best = {
                let balancer = self.cx.balancer();
                balancer.choose(&self.service, &self.tried, rand::random(), now)
            };
            match decide(&asking, best.as_ref()) {
                Decision::Send => {
                    if let Some(choice) = best {
                        return Ok(Slot::new(&self.cx, choice));
                    }
                }
                Decision::Wait => {}
                Decision::Refuse if best.is_none() => return Err(self.give_up("no_target")),
                Decision::Refuse => return Err(self.give_up("queue_full")),
            }
            let left = asking.max_wait() - asking.waited;
            // Either way the loop looks again.
            let _ = timeout(left.duration(), room).await;
        }
    }

    fn request(&self, choice: &Choice, last_event: Option<&str>) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        let mut fields = self.head.headers.clone();
        let left = self.deadline - self.now();
        fields.insert(headers::TIME_LEFT, headers::millis_value(left));
        insert_text(&mut fields, headers::EXPECTED_TARGET, choice.name.as_str());
        if let Some(id) = last_event {
            insert_text(&mut fields, headers::LAST_EVENT_ID, id);
        }
        *req.headers_mut() = fields;
        req
    }

    /// How long a target may take until the head of its answer.
    fn try_wait(&self) -> Millis {
        let left = self.deadline - self.now();
        if self.may_resume() {
            left.min(TRY.max(self.route.objective * 2))
        } else {
            left
        }
    }

    /// Sends the request to one target after another until one answers.
    pub(super) async fn call(&mut self, last_event: Option<&str>) -> Result<(Slot, Call), GiveUp> {
        loop {
            let slot = self.slot().await?;
            let req = self.request(&slot.choice, last_event);
            self.sent_at = self.now();
            let fresh = if self.route.repeatability.may_repeat() {
                FRESH
            } else {
                FRESH_ONCE
            };
            let address = slot.choice.address;
            let upstream = Arc::clone(&self.cx.upstream);
            let call = upstream.call(address, req, fresh, self.try_wait());
            match self.watched(&slot, call).await {
                Ok(call) if is_not_run(&call) => self.rejected(&slot, call)?,
                Ok(call) if is_sound(&call) => return Ok((slot, call)),
                Ok(_) => {
                    let error = CallError::may_have_run(Failure::WrongAnswer);
                    self.failed(&slot, &error)?;
                }
                Err(error) => self.failed(&slot, &error)?,
            }
        }
    }

    /// How long a target with free slots may be silent until others are not sent there.
    pub(super) fn suspected_after(&self) -> Millis {
        SUSPECTED.max(self.route.objective * 3)
    }

    /// Waits for a call, and tells others if the target is silent meanwhile.
    async fn watched<F>(&self, slot: &Slot, call: F) -> F::Output
    where
        F: Future,
    {
        let mut call = pin!(call);
        match timeout(self.suspected_after().duration(), &mut call).await {
            Ok(called) => called,
            Err(_) => {
                slot.note_silent(&self.id);
                call.await
            }
        }
    }

    fn rejected(&mut self, slot: &Slot, call: Call) -> Result<(), GiveUp> {
        let status = call.head.status;
        metrics::counter!("yuccaseam_retries_total", "reason" => "rejected").increment(1);
        log::info!(
            request:% = self.id, target_name:% = slot.choice.name, status = status.as_u16(),
            believed_online = slot.choice.load.online, believed_batch = slot.choice.load.batch,
            reported_load = headers::text(&call.head.headers, &headers::LOAD);
            "the target turned the request away");
        if status == StatusCode::MISDIRECTED_REQUEST {
            slot.note_failed();
        }
        self.tried.push(slot.choice.key);
        self.rejections += 1;
        if self.rejections >= MAX_REJECTIONS {
            return Err(self.give_up("targets_full"));
        }
        Ok(())
    }

    /// Notes that a target failed. Fails if no other one may be tried.
    pub(super) fn failed(&mut self, slot: &Slot, error: &CallError) -> Result<(), GiveUp> {
        let code = error.failure.code();
        metrics::counter!("yuccaseam_retries_total", "reason" => code).increment(1);
        log::warn!(
            request:% = self.id, target_name:% = slot.choice.name, failure = code,
            verdict = error.verdict.code(); "the target failed");
        slot.note_failed();
        self.tried.push(slot.choice.key);
        if error.verdict != Verdict::NotRun {
            self.runs += 1;
            if !self.may_repeat() {
                return Err(self.give_up(code));
            }
        }
        Ok(())
    }

    /// Serves a request whose answer is not a stream.
    async fn whole_answer(&mut self) -> Result<Answer, GiveUp> {
        loop {
            let (slot, call) = self.call(None).await?;
            let status = call.head.status;
            let left = self.deadline - self.now();
            let body = Limited::new(call.body, ANSWER_BYTES).collect();
            let body = match timeout(left.duration(), body).await {
                Ok(Ok(body)) => body.to_bytes(),
                Ok(Err(_)) => {
                    self.failed(&slot, &CallError::may_have_run(Failure::Broken))?;
                    continue;
                }
                Err(_) => {
                    self.failed(&slot, &CallError::may_have_run(Failure::Silent))?;
                    continue;
                }
            };
            if status.is_server_error() {
                slot.note_failed();
                self.runs += 1;
                if self.may_repeat() {
                    self.tried.push(slot.choice.key);
                    continue;
                }
            } else {
                self.cx.balancer().succeeded(slot.choice.key);
            }
            call.conn.keep();
            self.log_answer(&slot, status, "answered");
            if is_promise(status) {
                return Err(self.give_up_after_run("promise_by_target"));
            }
            return Ok(answer(&call.head, whole(body)));
        }
    }

    pub(super) fn log_answer(&self, slot: &Slot, status: StatusCode, outcome: &'static str) {
        let took = self.now() - self.arrived_at;
        metrics::counter!("yuccaseam_answers_total", "outcome" => outcome).increment(1);
        metrics::histogram!("yuccaseam_answer_seconds").record(took.duration().as_secs_f64());
        log::info!(
            request:% = self.id, route:% = self.route.name, target_name:% = slot.choice.name,
            status = status.as_u16(), believed_online = slot.choice.load.online,
            believed_batch = slot.choice.load.batch, loads_age_ms = slot.choice.loads_age.0,
            manifest = self.manifest, runs = self.runs, outcome,
            waited_ms = (self.sent_at - self.arrived_at).0,
            first_event_ms = self.first_event_at.map(|at| (at - self.arrived_at).0),
            took_ms = took.0; "request ended");
    }
}

fn insert_text(fields: &mut HeaderMap, name: header::HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => drop(fields.insert(name, value)),
        Err(error) => log::warn!(header:% = name, error:% = error; "a header cannot be sent"),
    }
}

/// Whether the target says that it has not run the request.
fn is_not_run(call: &Call) -> bool {
    call.head.headers.contains_key(headers::NOT_RUN)
        || call.head.status == StatusCode::MISDIRECTED_REQUEST
}

/// Whether the target answered as targets do: every success bears its signature.
fn is_sound(call: &Call) -> bool {
    !call.head.status.is_success() || call.head.headers.contains_key(headers::SIGNATURE)
}

/// Whether a status promises that a request has not run. A target that has run it may still answer
/// so, and its caller must not be told.
pub(super) fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// The answer of a target with another body.
pub(super) fn answer(head: &http::response::Parts, body: super::answer::Body) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = head.headers.clone();
    headers::strip_hop_by_hop(answer.headers_mut());
    answer
}
