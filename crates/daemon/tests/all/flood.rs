//! A team that floods harms itself only, whichever daemon the others enter by.

use std::{
    sync::atomic::{
        AtomicBool,
        Ordering, //
    },
    thread,
};

use yuccaseam_base::Millis;
use yuccaseam_testing::{
    Cluster,
    Entry,
    Phase,
    answer,
    wait_until, //
};

use crate::support::{
    places,
    question, //
};

/// How many calls the only worker runs at once.
const SLOTS: usize = 4;

/// How many callers of the flooding team wait for an answer at any time.
const FLOODERS: usize = 90;

/// How many calls of the flooding team may start while another team's call waits: one for each
/// slot as it frees, twice over.
const OVERTAKEN_BOUND: usize = 2 * SLOTS;

/// A call of the quiet team.
struct Asked {
    prompt: String,
    at: Millis,
}

#[test]
fn a_flooding_team_leaves_others_their_share() {
    let places = places();
    let mut cluster = Cluster::start(&places, &[]);
    let slots = SLOTS.to_string();
    cluster.start_engine("w0", &places[0], &["--slots", &slots]);
    cluster.wait_until_ready();
    let stop = AtomicBool::new(false);
    let asked = thread::scope(|scope| {
        for index in 0..FLOODERS {
            let caller = cluster.caller(index % 3);
            let caller = caller.with_header("X-Yuccaseam-Team", "flooding");
            let stop = &stop;
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    // Refusals are the flooding team's own harm.
                    let _ = caller.stream("/v1/completions", &question("flood", 10));
                }
            });
        }
        wait_until("the flood runs", || cluster.records().len() > 10 * SLOTS);
        let asked = ask(&cluster);
        stop.store(true, Ordering::Relaxed);
        asked
    });
    let records = cluster.records();
    for asked in &asked {
        let overtaken = flood_starts_before(&records, asked);
        assert!(
            overtaken <= OVERTAKEN_BOUND,
            "{}: {overtaken} calls of the flooding team went first",
            asked.prompt
        );
    }
}

/// Asks as a quiet team, one question after another through each daemon in turn.
fn ask(cluster: &Cluster) -> Vec<Asked> {
    let mut all = Vec::new();
    for index in 0..30 {
        let caller = cluster.caller(index % 3);
        let caller = caller.with_header("X-Yuccaseam-Team", "quiet");
        let prompt = format!("quiet {index}");
        let at = Millis::unix_now();
        let got = caller.stream("/v1/completions", &question(&prompt, 5));
        let got = got.expect("the daemon answers");
        assert_eq!(got.text, answer(&prompt, 0, 5), "{:?}", got.error);
        all.push(Asked { prompt, at });
    }
    all
}

/// How many calls of the flooding team started from when a question was asked to when it started.
fn flood_starts_before(records: &[Entry], asked: &Asked) -> usize {
    let starts = records.iter().filter(|entry| entry.phase == Phase::Start);
    let waiting = starts.skip_while(|entry| entry.at < asked.at);
    waiting
        .take_while(|entry| entry.subject != asked.prompt)
        .count()
}
