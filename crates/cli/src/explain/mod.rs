//! The story of one request, from the logs of the processes that it met.
//!
//! Nothing but log lines is read: of files, or of standard input. Lines that are cut off or come from
//! other programs are passed over and counted.

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

/// How long before and after a request its surroundings are shown, in ms: an entry that stops may have
/// been told so a grace of 8 s before.
const SURROUNDINGS_MS: u64 = 8_000;
/// Lines about surroundings that are shown at most.
const MAX_SURROUNDINGS: usize = 40;

/// Prints the story of a request or a batch job.
///
/// # Errors
///
/// Fails if a file cannot be read, or no line has the id.
pub(crate) fn run(id: &str, files: &[String]) -> Result<(), Failure> {
    let mut lines = Vec::new();
    let mut foreign = 0;
    for (name, text) in read(files)? {
        foreign += read_lines(&name, &text, &mut lines);
    }
    lines.sort_by_key(|line| line.time_ms);
    let own: Vec<_> = lines.iter().filter(|line| line.is_about(id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(Failure::Local(format!(
            "no line is about {id}; {} lines were read and {foreign} passed over",
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
    let near: Vec<_> = lines
        .iter()
        .filter(|line| (from..=until).contains(&line.time_ms))
        .collect();
    print_surroundings(&own, &near, began_at);
    println!("cause: {}", cause(&own, &near));
    if foreign > 0 {
        println!("({foreign} lines were passed over: cut off, or of other programs)");
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

/// Prints what happened to the targets and processes of a request meanwhile.
fn print_surroundings(own: &[&Line], near: &[&Line], began_at: u64) {
    let targets: BTreeSet<_> = own
        .iter()
        .filter_map(|line| line.text("target_name"))
        .collect();
    let sources: BTreeSet<_> = own.iter().map(|line| line.source.as_str()).collect();
    let around = near.iter().filter(|line| {
        let of_target = line
            .text("target_name")
            .is_some_and(|name| targets.contains(name));
        let is_request = line.text("request").is_some() || line.text("job").is_some();
        let of_process = line.is_process_event() && sources.contains(line.source.as_str());
        (of_target || of_process) && !is_request
    });
    let around: Vec<_> = around.take(MAX_SURROUNDINGS).collect();
    if !around.is_empty() {
        println!("meanwhile");
    }
    for line in around {
        println!("{}", line.render(began_at));
    }
}
