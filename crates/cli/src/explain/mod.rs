//! The history of one request, from the logs of the processes that handled it.
//!
//! The only input is log lines, from files or standard input. Truncated lines and those of other
//! programs are skipped and counted.

mod cause;
mod line;

use std::{
    collections::BTreeSet,
    fs,
    io::{
        self,
        Read as _, //
    },
};

use crate::exit::Failure;

use cause::cause;
use line::{
    Line,
    read_lines, //
};

/// Time before and after a request from which related events are shown, in ms. A stopping entry may
/// have received its signal up to the 8 s grace period earlier.
const SURROUNDINGS_MS: u64 = 8_000;
/// Maximum number of related events shown.
const MAX_SURROUNDING_LINES: usize = 40;

/// Prints the history of a request or a batch job.
///
/// # Errors
///
/// Fails if a file cannot be read or no line has the ID.
pub(crate) fn run(id: &str, files: &[String]) -> Result<(), Failure> {
    let mut lines = Vec::new();
    let mut skipped = 0;
    for (name, text) in read(files)? {
        skipped += read_lines(&name, &text, &mut lines);
    }
    lines.sort_by_key(|line| line.time_ms);
    let own: Vec<_> = lines.iter().filter(|line| line.is_about(id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(Failure::Local(format!(
            "no line mentions {id}; {} lines were read and {skipped} skipped",
            lines.len()
        )));
    };
    let began_at = own.iter().map(|line| line.began_at()).min();
    let began_at = began_at.unwrap_or(first.time_ms);
    println!("{id}");
    for line in &own {
        println!("{}", line.render(began_at));
    }
    let until = last.time_ms + SURROUNDINGS_MS;
    let from = began_at.saturating_sub(SURROUNDINGS_MS);
    let surrounding: Vec<_> = lines
        .iter()
        .filter(|line| (from..=until).contains(&line.time_ms))
        .collect();
    print_surroundings(&own, &surrounding, began_at);
    println!("cause: {}", cause(&own, &surrounding));
    if skipped > 0 {
        println!("({skipped} lines were skipped: truncated, or from other programs)");
    }
    Ok(())
}

fn read(files: &[String]) -> Result<Vec<(String, String)>, Failure> {
    if files.is_empty() {
        let mut text = Vec::new();
        let read = io::stdin().read_to_end(&mut text);
        read.map_err(|error| Failure::Local(format!("standard input: {error}")))?;
        return Ok(vec![("-".to_owned(), lossy(&text))]);
    }
    let read = files.iter().map(|file| {
        let text = fs::read(file).map_err(|error| Failure::Local(format!("{file}: {error}")))?;
        Ok((file.clone(), lossy(&text)))
    });
    read.collect()
}

fn lossy(text: &[u8]) -> String {
    String::from_utf8_lossy(text).into_owned()
}

/// Prints events of the request's targets and processes that occurred around it.
fn print_surroundings(own: &[&Line], surrounding: &[&Line], began_at: u64) {
    let targets: BTreeSet<_> = own
        .iter()
        .filter_map(|line| line.text("target_name"))
        .collect();
    let sources: BTreeSet<_> = own.iter().map(|line| line.source.as_str()).collect();
    let related = surrounding.iter().filter(|line| {
        let of_target = line
            .text("target_name")
            .is_some_and(|name| targets.contains(name));
        let is_request = line.text("request").is_some() || line.text("job").is_some();
        let of_process = line.is_process_event() && sources.contains(line.source.as_str());
        (of_target || of_process) && !is_request
    });
    let related: Vec<_> = related.take(MAX_SURROUNDING_LINES).collect();
    if !related.is_empty() {
        println!("meanwhile");
    }
    for line in related {
        println!("{}", line.render(began_at));
    }
}
