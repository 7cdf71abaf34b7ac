//! What the lines of a request say of its cause.

use super::line::Line;

/// Says why a request ended as it did. `near` are all lines of the time around it.
pub(super) fn cause(own: &[&Line], near: &[&Line]) -> String {
    let end = own.iter().rev().find(|line| is_end(line));
    let Some(end) = end else {
        return without_end(own, near);
    };
    match (end.message.as_str(), end.text("why")) {
        ("batch job submitted" | "batch job handed in", _) => of_job(end, own),
        (_, Some(why)) => of_refusal(why, end, own),
        (_, None) => of_answer(end),
    }
}

fn is_end(line: &Line) -> bool {
    matches!(
        line.message.as_str(),
        "request ended" | "request refused" | "batch job submitted" | "batch job handed in"
    )
}

fn of_refusal(why: &str, end: &Line, own: &[&Line]) -> String {
    let targets: Vec<_> = own
        .iter()
        .filter_map(|line| line.text("target_name"))
        .collect();
    let targets = targets.join(", ");
    let loads = match end.number("loads_age_ms") {
        Some(age) => format!(" (loads were told {age} ms before)"),
        None => String::new(),
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
        "queue_full" => format!("every target of its service was full{loads}"),
        "no_target" => format!("no target of its service took work{loads}"),
        "targets_full" => format!("the targets {targets} turned it away"),
        "deadline_passed" => "its caller's time was up".to_owned(),
        "silent" => format!("{targets} sent nothing until the caller's time was up"),
        "broken" => format!("{targets} broke off"),
        "unreachable" => format!("no connection could be opened to {targets}"),
        other => format!("it was given up: {other} (targets: {targets})"),
    }
}

fn of_answer(end: &Line) -> String {
    let target = end.text("target_name").unwrap_or("the target");
    let waited = end.number("waited_ms").unwrap_or(0);
    let took = end.number("took_ms").unwrap_or(0);
    let first = end.number("first_event_ms").unwrap_or(took);
    let at_target = first.saturating_sub(waited);
    let load = format!(
        "believed to run {} requests and {} items",
        end.number("believed_online").unwrap_or(0),
        end.number("believed_batch").unwrap_or(0)
    );
    format!(
        "it was answered by {target}: {waited} ms until it was sent there, {at_target} ms until the \
         first event ({load}), {took} ms in all"
    )
}

fn of_job(handed_in: &Line, own: &[&Line]) -> String {
    let count = |message: &str| own.iter().filter(|line| line.message == message).count();
    format!(
        "the job was {} after {} ms; its items were started {} times, made way {} times and ended {} \
         times",
        handed_in.text("outcome").unwrap_or("handed in"),
        handed_in.number("took_ms").unwrap_or(0),
        count("batch item started"),
        // The second text is that of older processes.
        count("batch item preempted") + count("batch item makes way"),
        count("batch run ended"),
    )
}

/// A request whose end was never logged: its entry ended, or is not among the files.
fn without_end(own: &[&Line], near: &[&Line]) -> String {
    let Some(last) = own.last() else {
        return "no line is about it".to_owned();
    };
    let after = |line: &&&Line| line.time_ms >= last.time_ms && line.source == last.source;
    let starts = near.iter().filter(after);
    let mut starts = starts.filter(|line| line.message == "starting");
    match starts.next() {
        Some(start) => format!(
            "{} ended without a word and started again {} ms after the last line",
            last.source,
            start.time_ms - last.time_ms
        ),
        None => format!(
            "{} has not logged its end; it may be under way, or the process has ended",
            last.source
        ),
    }
}
