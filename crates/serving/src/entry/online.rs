//! Serving of an online request, from its route to its response.
//!
//! # Invariants
//!
//! - A non-repeatable request is sent to no second target once a first one may have run it.
//! - A status that promises "not run" is sent to the caller only if no target may have run the
//!   request.
//! - No target gets more time than is left until the caller's deadline.
//! - A target that is only silent keeps its request until another one has a slot for it.
//! - A response that has begun is given up only if no target may run the request again, or at the
//!   caller's deadline.

mod failure;
mod quarantine;
mod slot;

pub(super) use failure::RequestFailure;
pub(super) use slot::Slot;

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
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;
use yuccaseam_base::{
    Millis,
    Verdict, //
};
use yuccaseam_platform::{
    Route,
    Team,
    headers, //
};

use crate::{
    balance::{
        Availability,
        Choice, //
    },
    cx::{
        Answer,
        Cx, //
    },
    intake::{
        ReadError,
        ReadLimits, //
    },
    link::pause,
    quarantine::Feature,
    routes::choose_destination,
    silence::{
        Silence,
        SilenceLimits,
        SilenceStep, //
    },
    targets::TargetKey,
    teams::set_team,
    upstream::{
        CallLimits,
        Failure,
        UpstreamError,
        UpstreamResponse, //
    },
};

use super::{
    front::ReceivedRequest,
    response::{
        HttpResponse,
        full_body,
        refusal, //
    },
    shares::ShareRank,
    stream,
};

/// Longest idle time of a connection that is reused for a non-repeatable request. If the target
/// closes an idle connection just as the request is sent, the caller gets no response.
const MAX_IDLE_NON_REPEATABLE: Millis = Millis(500);
/// Longest idle time of a connection that is reused for a repeatable request.
const MAX_IDLE_REPEATABLE: Millis = Millis(4_000);
/// Shortest time without a response after which a target is suspected: an engine with free slots
/// sends a first event within about 100 ms.
const MIN_SUSPICION_TIMEOUT: Millis = Millis(800);
/// Largest buffered (not streamed) response, in bytes. Some forty responses of this size fit into the
/// memory of a small instance.
pub(super) const MAX_BUFFERED_BYTES: usize = 2 << 20;
/// Rejections by targets after which the caller is refused.
const MAX_REJECTIONS: usize = 4;
/// Delay until a persistent request that was rejected is sent to another target.
const REJECTION_DELAY: Millis = Millis(50);

/// What came of waiting for the head of a response.
enum HeadOutcome {
    Arrived(UpstreamResponse),
    Failed(UpstreamError),
    /// The target was silent, and another one has a slot.
    Moved(Slot),
}

/// Request in progress.
pub(super) struct ActiveRequest {
    pub(super) cx: Arc<Cx>,
    pub(super) route: Route,
    /// Team of the caller, if any.
    pub(super) team: Option<Arc<Team>>,
    pub(super) id: String,
    /// Version of the manifest that the route was taken from.
    manifest: u64,
    pub(super) head: Parts,
    body: Bytes,
    service: String,
    pub(super) arrived_at: Millis,
    pub(super) deadline: Millis,
    caller_timeout: Millis,
    /// The same for each repeat of the request.
    whole_request: Feature,
    /// What it may have in common with other requests that crash targets.
    features: Vec<Feature>,
    /// Feature that the leader has granted this request as a trial of.
    trial: Option<Feature>,
    tried: Vec<TargetKey>,
    /// Targets that sent an invalid response, and are not tried again.
    faulty: Vec<TargetKey>,
    /// Standing among the teams, once the request has asked for a slot. `None` without a team.
    share_rank: Option<ShareRank>,
    rejections: usize,
    /// Number of targets that may have run the request.
    runs: u32,
    /// When the request was last sent to a target.
    sent_at: Millis,
    /// When the first events of a stream were forwarded.
    pub(super) first_event_at: Option<Millis>,
    /// Pace that the target of the last response reported, in percent of the usual time.
    pace: Option<u32>,
    /// Whether targets are tried until the deadline: the caller has the head of a response, or a target was
    /// left that might still have responded.
    pub(super) is_persistent: bool,
}

/// Serves an online request.
pub(super) async fn serve(cx: Arc<Cx>, route: Route, req: ReceivedRequest) -> HttpResponse {
    let Some(mut request) = ActiveRequest::new(cx, route, req) else {
        return refusal("route has no destination service", Millis::from_secs(1));
    };
    let response = if request.route.repeatability.is_stream() {
        stream::serve(request).await
    } else {
        request.buffered_response().await
    };
    response.unwrap_or_else(RequestFailure::into_response)
}

impl ActiveRequest {
    fn new(cx: Arc<Cx>, route: Route, req: ReceivedRequest) -> Option<Self> {
        let service = choose_destination(&route, rand::random())?.to_owned();
        let id = req.id().to_owned();
        let time_left = headers::millis(&req.head.headers, &headers::TIME_LEFT);
        let caller_timeout = time_left.unwrap_or(route.timeout);
        let mut head = req.head;
        // Before the team is set: a caller may list any header as hop-by-hop.
        headers::strip_hop_by_hop(&mut head.headers);
        if let Some(team) = &req.team {
            set_team(&mut head.headers, &team.name);
        }
        let whole_request = Feature::whole_request(&head, &req.body);
        Some(Self {
            whole_request,
            features: Feature::of_request(&head.headers, whole_request),
            cx,
            id,
            manifest: req.manifest,
            head,
            body: req.body,
            service,
            arrived_at: req.arrived_at,
            deadline: req.arrived_at + caller_timeout.min(route.timeout),
            caller_timeout,
            trial: None,
            tried: Vec::new(),
            faulty: Vec::new(),
            share_rank: None,
            rejections: 0,
            runs: 0,
            sent_at: Millis::ZERO,
            first_event_at: None,
            pace: None,
            is_persistent: false,
            team: req.team,
            route,
        })
    }

    fn now(&self) -> Millis {
        self.cx.clock.now()
    }

    /// Name of the caller's team, for log lines.
    fn team_name(&self) -> Option<&str> {
        self.team.as_ref().map(|team| team.name.as_str())
    }

    fn verdict(&self) -> Verdict {
        if self.runs == 0 {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        }
    }

    /// Fails the request after a target may have run it.
    pub(super) fn fail_after_run(&mut self, reason: &'static str) -> RequestFailure {
        self.runs += 1;
        self.fail(reason)
    }

    /// Fails the request and logs its end.
    pub(super) fn fail(&self, reason: &'static str) -> RequestFailure {
        let failure = RequestFailure {
            verdict: self.verdict(),
            timed_out: self.now() >= self.deadline,
            reason,
            retry_after: None,
        };
        metrics::counter!("yuccaseam_given_up_total", "reason" => reason).increment(1);
        log::info!(
            request:% = self.id, route:% = self.route.name, team = self.team_name(),
            outcome = "given_up", why = reason,
            verdict = failure.verdict.code(), runs = self.runs, rejections = self.rejections,
            manifest = self.manifest, loads_age_ms = self.cx.balancer().loads_age(self.now()).0,
            took_ms = (self.now() - self.arrived_at).0; "request ended");
        failure
    }

    /// Whether another target may be tried if the current attempt fails.
    pub(super) fn can_resume(&self) -> bool {
        self.route.repeatability.can_repeat() && self.runs + 1 < self.route.max_attempts
    }

    /// Whether another target may be tried after one that may have run the request.
    fn can_repeat(&self) -> bool {
        self.route.repeatability.can_repeat() && self.runs < self.route.max_attempts
    }

    fn build_request(&self, choice: &Choice, last_event: Option<&str>) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        let mut fields = self.head.headers.clone();
        let remaining = self.deadline - self.now();
        fields.insert(headers::TIME_LEFT, headers::millis_value(remaining));
        insert_header(&mut fields, headers::EXPECTED_TARGET, choice.name.as_str());
        if let Some(id) = last_event {
            insert_header(&mut fields, headers::LAST_EVENT_ID, id);
        }
        *req.headers_mut() = fields;
        req
    }

    /// Sends the request to one target after another until one responds. `slot` is at the first of them, if
    /// one has been chosen.
    pub(super) async fn call(
        &mut self,
        last_event: Option<&str>,
        mut slot: Option<Slot>,
    ) -> Result<(Slot, UpstreamResponse), RequestFailure> {
        loop {
            let current = match slot.take() {
                Some(slot) => slot,
                None => self.acquire_slot().await?,
            };
            self.take_admission().await?;
            // The target may have begun to drain while the leader was asked for a trial.
            if !self.cx.balancer().takes_work(current.choice.key) {
                continue;
            }
            let req = self.build_request(&current.choice, last_event);
            self.sent_at = self.now();
            let limits = CallLimits {
                max_idle: if self.route.repeatability.can_repeat() {
                    MAX_IDLE_REPEATABLE
                } else {
                    MAX_IDLE_NON_REPEATABLE
                },
                max_wait: self.deadline - self.sent_at,
                same_region: current.choice.same_region,
            };
            let address = current.choice.address;
            let upstream = Arc::clone(&self.cx.upstream);
            let call = upstream.call(address, req, limits);
            let outcome = self.wait_for_head(&current, call).await;
            if let HeadOutcome::Arrived(response) = &outcome {
                self.read_target_state(&current, &response.head.headers);
            }
            match outcome {
                HeadOutcome::Arrived(response) if response.is_rejection() => {
                    self.handle_rejection(&current, response)?;
                    if self.is_persistent {
                        pause(REJECTION_DELAY).await;
                    }
                }
                HeadOutcome::Arrived(response) if response.is_valid() => {
                    return Ok((current, response));
                }
                HeadOutcome::Arrived(_) => {
                    let error = UpstreamError::may_have_run(Failure::InvalidResponse);
                    self.handle_failure(&current, &error)?;
                }
                HeadOutcome::Failed(error) => {
                    self.record_if_crash(&current, &error);
                    self.handle_failure(&current, &error)?;
                }
                HeadOutcome::Moved(other) => {
                    let error = UpstreamError::may_have_run(Failure::TimedOut);
                    self.handle_failure(&current, &error)?;
                    self.is_persistent = true;
                    slot = Some(other);
                }
            }
        }
    }

    /// Records what a target says of itself in the head of a response.
    fn read_target_state(&mut self, slot: &Slot, fields: &HeaderMap) {
        if headers::is_leaving(fields) {
            self.cx.report_draining(slot.choice.key);
        }
        let load = headers::reported_load(fields);
        self.pace = load.and_then(|load| {
            let cost = self.pace_cost();
            self.cx.record_reported_load(slot.choice.key, load, &cost)
        });
    }

    /// Time without a response after which a target with free slots is reported as failed.
    fn suspicion_timeout(&self) -> Millis {
        MIN_SUSPICION_TIMEOUT.max(self.route.objective * 3)
    }

    /// Starts to track the silence of the target that the request was sent to.
    pub(super) fn silence(&self) -> Silence {
        let limits = SilenceLimits {
            suspicion: self.suspicion_timeout(),
            can_move: self.can_resume(),
            deadline: self.deadline,
        };
        Silence::new(limits, self.now())
    }

    /// Waits for the head of a response. The call is dropped, and so the target told to stop, once a slot
    /// at another target is taken.
    async fn wait_for_head<F>(&self, slot: &Slot, call: F) -> HeadOutcome
    where
        F: Future<Output = Result<UpstreamResponse, UpstreamError>>,
    {
        let mut call = pin!(call);
        let mut silence = self.silence();
        loop {
            let wait = silence.next_step_at() - self.now();
            match timeout(wait.duration(), &mut call).await {
                Ok(Ok(response)) => return HeadOutcome::Arrived(response),
                Ok(Err(error)) => return HeadOutcome::Failed(error),
                Err(_) => {}
            }
            match silence.step(self.now()) {
                SilenceStep::Wait => {}
                SilenceStep::Suspect => slot.record_unresponsive(&self.id),
                SilenceStep::Move => {
                    if let Some(other) = self.take_other_slot(slot) {
                        return HeadOutcome::Moved(other);
                    }
                }
                SilenceStep::End => {
                    return HeadOutcome::Failed(UpstreamError::may_have_run(Failure::TimedOut));
                }
            }
        }
    }

    fn handle_rejection(
        &mut self,
        slot: &Slot,
        response: UpstreamResponse,
    ) -> Result<(), RequestFailure> {
        let status = response.head.status;
        metrics::counter!("yuccaseam_retries_total", "reason" => "rejected").increment(1);
        log::info!(
            request:% = self.id, target_name:% = slot.choice.name, status = status.as_u16(),
            believed_online = slot.choice.load.online, believed_batch = slot.choice.load.batch,
            reported_load = headers::text(&response.head.headers, &headers::LOAD);
            "target rejected the request");
        if status == StatusCode::MISDIRECTED_REQUEST {
            slot.record_failure();
        }
        self.tried.push(slot.choice.key);
        self.rejections += 1;
        if self.rejections >= MAX_REJECTIONS && !self.is_persistent {
            return Err(self.fail("targets_full"));
        }
        Ok(())
    }

    /// Records a response that does not continue the one which has begun. Fails if no other target may be
    /// tried.
    pub(super) fn handle_refused_resume(
        &mut self,
        slot: &Slot,
        status: StatusCode,
    ) -> Result<(), RequestFailure> {
        log::warn!(
            request:% = self.id, target_name:% = slot.choice.name, status = status.as_u16();
            "stream not resumed by the target");
        if status.is_server_error() {
            slot.record_failure();
        }
        self.tried.push(slot.choice.key);
        self.runs += 1;
        if self.can_repeat() {
            Ok(())
        } else {
            Err(self.fail("resume_refused"))
        }
    }

    /// Records a failed attempt. Fails if no other target may be tried.
    pub(super) fn handle_failure(
        &mut self,
        slot: &Slot,
        error: &UpstreamError,
    ) -> Result<(), RequestFailure> {
        let code = error.failure.code();
        metrics::counter!("yuccaseam_retries_total", "reason" => code).increment(1);
        log::warn!(
            request:% = self.id, target_name:% = slot.choice.name, failure = code,
            verdict = error.verdict.code(), running_ms = (self.now() - self.sent_at).0,
            first_event_ms = self.first_event_at.map(|at| (at - self.sent_at).0),
            whole_request:% = self.whole_request,
            prompt_parts = headers::text(&self.head.headers, &headers::PROMPT_PARTS);
            "request failed at the target");
        // A target does well to cut off what is not read.
        if error.failure != Failure::Unread {
            slot.record_failure();
        }
        self.tried.push(slot.choice.key);
        if error.failure == Failure::InvalidResponse {
            self.faulty.push(slot.choice.key);
        }
        if error.verdict != Verdict::NotRun {
            self.runs += 1;
            if !self.can_repeat() {
                return Err(self.fail(code));
            }
        }
        Ok(())
    }

    /// Reads an answer that is passed on whole.
    pub(super) fn read_answer(
        &self,
        body: Incoming,
    ) -> impl Future<Output = Result<Bytes, ReadError>> + use<> {
        let limits = ReadLimits {
            max_bytes: MAX_BUFFERED_BYTES,
            bytes_per_byte: 1,
            max_wait: self.deadline - self.now(),
        };
        let answers = Arc::clone(&self.cx.intake.answers);
        async move { answers.read(body, limits).await }
    }

    /// Serves a request whose response is buffered, not streamed.
    async fn buffered_response(&mut self) -> Result<HttpResponse, RequestFailure> {
        loop {
            let (slot, response) = self.call(None, None).await?;
            let status = response.head.status;
            let remaining = self.deadline - self.now();
            let body = self.read_answer(response.body);
            let body = match timeout(remaining.duration(), body).await {
                Ok(Ok(body)) => body,
                Ok(Err(error)) => {
                    let failure = match error {
                        ReadError::NoRoom | ReadError::TooSlow => Failure::Unread,
                        ReadError::TooLarge | ReadError::Broken => Failure::Broken,
                    };
                    let error = UpstreamError::may_have_run(failure);
                    self.record_if_crash(&slot, &error);
                    self.handle_failure(&slot, &error)?;
                    continue;
                }
                Err(_) => {
                    self.handle_failure(&slot, &UpstreamError::may_have_run(Failure::TimedOut))?;
                    continue;
                }
            };
            if status.is_server_error() {
                slot.record_failure();
                self.runs += 1;
                if self.can_repeat() {
                    self.tried.push(slot.choice.key);
                    continue;
                }
            } else {
                self.cx.balancer().record_success(slot.choice.key);
                self.record_service_times(&slot);
                self.prove_features();
            }
            response.conn.release();
            self.log_response(&slot, status, "answered");
            if promises_not_run(status) {
                return Err(self.fail_after_run("promise_by_target"));
            }
            return Ok(response_with_body(&response.head, full_body(body)));
        }
    }

    /// Records how long the service took, if the target had a free slot when the request was sent.
    pub(super) fn record_service_times(&self, slot: &Slot) {
        if self.runs > 0 || slot.choice.availability == Availability::Full {
            return;
        }
        let now = self.now();
        let response_at = self.first_event_at.unwrap_or(now);
        let answer = Answer {
            target: slot.choice.key,
            pace: self.pace,
            response: response_at - self.sent_at,
            occupancy: now - self.sent_at,
        };
        if slot.choice.pace.is_some() {
            let times = self.service_times().at_pace(slot.choice.pace);
            let error = times.response().0.abs_diff(answer.response.0);
            metrics::histogram!("yuccaseam_expected_response_error_seconds")
                .record(Millis(error).duration().as_secs_f64());
        }
        self.cx
            .record_service_times(&self.service, self.route.objective, &answer);
    }

    pub(super) fn log_response(&self, slot: &Slot, status: StatusCode, outcome: &'static str) {
        let took = self.now() - self.arrived_at;
        metrics::counter!("yuccaseam_answers_total", "outcome" => outcome).increment(1);
        metrics::histogram!("yuccaseam_answer_seconds").record(took.duration().as_secs_f64());
        log::info!(
            request:% = self.id, route:% = self.route.name, team = self.team_name(),
            target_name:% = slot.choice.name, status = status.as_u16(), believed_online = slot.choice.load.online,
            believed_batch = slot.choice.load.batch, loads_age_ms = slot.choice.loads_age.0,
            manifest = self.manifest, runs = self.runs, outcome,
            expected_pace_percent = slot.choice.pace, pace_percent = self.pace,
            waited_ms = (self.sent_at - self.arrived_at).0,
            first_event_ms = self.first_event_at.map(|at| (at - self.arrived_at).0),
            took_ms = took.0; "request ended");
    }
}

fn insert_header(fields: &mut HeaderMap, name: header::HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => drop(fields.insert(name, value)),
        Err(error) => {
            log::warn!(header:% = name, error:% = error; "header value is invalid; header not sent")
        }
    }
}

/// Whether a status promises that the request has not run. A target that has run the request may
/// still respond with such a status, which must not be forwarded to the caller.
pub(super) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Builds the caller's response from the head of a target's response and a body.
pub(super) fn response_with_body(
    head: &http::response::Parts,
    body: super::response::Body,
) -> HttpResponse {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers.clone();
    headers::strip_hop_by_hop(response.headers_mut());
    response
}
