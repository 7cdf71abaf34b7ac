//! Derives why a request ended from its log lines.

use super::line::Line;

/// Describes why a request ended. `surrounding` holds all lines of the time around it.
pub(super) fn cause(own: &[&Line], surrounding: &[&Line]) -> String {
    let end = own.iter().rev().find(|line| is_end(line));
    let Some(end) = end else {
        return unfinished_cause(own, surrounding);
    };
    match (end.message.as_str(), end.text("why")) {
        ("batch job submitted" | "batch job handed in", _) => job_cause(end, own),
        (_, Some(why)) => refusal_cause(why, end, own),
        (_, None) => response_cause(end),
    }
}

fn is_end(line: &Line) -> bool {
    matches!(
        line.message.as_str(),
        "request ended" | "request refused" | "batch job submitted" | "batch job handed in"
    )
}

fn refusal_cause(why: &str, end: &Line, own: &[&Line]) -> String {
    let targets: Vec<_> = own
        .iter()
        .filter_map(|line| line.text("target_name"))
        .collect();
    let targets = targets.join(", ");
    let loads = match end.number("loads_age_ms") {
        Some(age) => format!(" (load reports were {age} ms old)"),
        None => String::new(),
    };
    let answer = match end.number("answer_age_ms") {
        Some(age) => format!("the leader's last answer was {age} ms old"),
        None => "the leader had never answered".to_owned(),
    };
    match why {
        "no_manifest" => format!(
            "the entry had no manifest yet, {} ms after its start",
            end.number("up_for_ms").unwrap_or(0)
        ),
        "no_route" => format!(
            "manifest {} has no route for it",
            end.number("manifest").unwrap_or(0)
        ),
        "over_quota" => format!(
            "team {} had used up its quota of manifest {} ({answer})",
            end.text("team").unwrap_or("-"),
            end.number("manifest").unwrap_or(0)
        ),
        "quota_unknown" => format!(
            "nobody said whether team {} had room in its quota ({answer})",
            end.text("team").unwrap_or("-")
        ),
        "missing_key" => "it had no API key, and its route is not public".to_owned(),
        "unknown_key" => format!(
            "no team of manifest {} has its API key",
            end.number("manifest").unwrap_or(0)
        ),
        "unconfirmed_key" => format!(
            "no team of manifest {} has its API key, and the entry had not heard of the leader for \
             {} ms, so that a newer manifest may have it",
            end.number("manifest").unwrap_or(0),
            end.number("contact_age_ms").unwrap_or(0)
        ),
        "queue_full" => format!("every target of its service was full{loads}"),
        "team_over_share" => {
            let team = own.iter().find_map(|line| line.text("team"));
            format!(
                "slots were short, and team {} sent more than its share",
                team.unwrap_or("-")
            )
        }
        "no_target" => format!("no target of its service accepted work{loads}"),
        "targets_full" => format!("the targets {targets} rejected it"),
        "request_quarantined" => {
            let feature = own.iter().find_map(|line| line.text("feature"));
            let feature = feature.unwrap_or("-");
            if feature.starts_with("request:") {
                "it is quarantined: targets crashed under this request, with other ids".to_owned()
            } else {
                format!(
                    "part {feature} of its prompt is quarantined: targets crashed under requests with it"
                )
            }
        }
        "deadline_passed" => "its deadline passed".to_owned(),
        "silent" => format!("{targets} sent nothing before the deadline"),
        "broken" => format!("{targets} broke off"),
        "unreachable" => format!("no connection could be opened to {targets}"),
        other => format!("it was abandoned: {other} (targets: {targets})"),
    }
}

fn response_cause(end: &Line) -> String {
    let target = end.text("target_name").unwrap_or("the target");
    let waited = end.number("waited_ms").unwrap_or(0);
    let took = end.number("took_ms").unwrap_or(0);
    let first = end.number("first_event_ms").unwrap_or(took);
    let at_target = first.saturating_sub(waited);
    let load = format!(
        "estimated load {} requests and {} items",
        end.number("believed_online").unwrap_or(0),
        end.number("believed_batch").unwrap_or(0)
    );
    format!(
        "it was served by {target}: {waited} ms until it was sent there, {at_target} ms until the \
         first event ({load}), {took} ms in all"
    )
}

fn job_cause(submission: &Line, own: &[&Line]) -> String {
    let count = |message: &str| own.iter().filter(|line| line.message == message).count();
    format!(
        "the job was {} after {} ms; its items were started {} times, preempted {} times and \
         ended {} times",
        submission.text("outcome").unwrap_or("submitted"),
        submission.number("took_ms").unwrap_or(0),
        count("batch item started"),
        // Older processes log the second text.
        count("batch item preempted") + count("batch item makes way"),
        count("batch run ended"),
    )
}

/// Describes a request whose end was not logged: its entry terminated, or its log was not read.
fn unfinished_cause(own: &[&Line], surrounding: &[&Line]) -> String {
    let Some(last) = own.last() else {
        return "no line mentions it".to_owned();
    };
    let after = |line: &&&Line| line.time_ms >= last.time_ms && line.source == last.source;
    let starts = surrounding.iter().filter(after);
    let mut starts = starts.filter(|line| line.message == "starting");
    match starts.next() {
        Some(start) => format!(
            "{} terminated without logging its end and restarted {} ms after the last line",
            last.source,
            start.time_ms - last.time_ms
        ),
        None => format!(
            "{} has not logged its end; it may be running, or the process has terminated",
            last.source
        ),
    }
}
