//! Measures what membership costs a daemon: bytes and processor time a second, and memory.
//!
//! Run `cargo run --release -p yuccaseam-fleet --example fleet_slopes [LEAST_DAEMONS]`. All
//! daemons' cores run in one loop on a simulated clock, without loss. Each figure is one JSON line. Bytes are those of
//! packets sent, without what the transport adds.

#[expect(dead_code, reason = "another example uses the rest")]
mod net;

use std::{
    env,
    time::Instant, //
};

use net::{
    Net,
    RENEWAL,
    report, //
};
use yuccaseam_base::Millis;
use yuccaseam_fleet::{
    Action,
    Event,
    TargetState, //
};

/// Daemons and targets of each point.
const POINTS: [(usize, usize); 7] = [
    (9, 30),
    (50, 30),
    (50, 340),
    (150, 340),
    (150, 1_030),
    (320, 1_030),
    (320, 2_200),
];

const SETTLE: Millis = Millis::from_secs(120);
const QUIET: Millis = Millis::from_secs(40);

/// Changes of targets a second in the busy part: all targets restart within about 20 minutes.
const CHANGES_PER_SEC: u64 = 2;

fn main() {
    let least = env::args()
        .nth(1)
        .map_or(0, |n| n.parse().expect("a number of daemons"));
    for (daemons, targets) in POINTS.into_iter().filter(|(daemons, _)| *daemons >= least) {
        measure(daemons, targets);
    }
}

fn measure(daemons: usize, targets: usize) {
    let before = counting::allocated();
    let mut net = Net::new(daemons, targets);
    net.run(SETTLE);
    let held = counting::allocated() - before;
    report(
        "memory",
        daemons,
        targets,
        held as f64 / daemons as f64,
        "bytes",
    );
    net.part("quiet", QUIET, 0);
    net.part("busy", QUIET, CHANGES_PER_SEC);
    net.leaving();
    net.owners_after_a_loss();
}

impl Net {
    /// Measures some time in which some targets restart.
    fn part(&mut self, name: &str, time: Millis, changes_per_sec: u64) {
        self.reset();
        let end = self.now + time;
        let mut changed = 0;
        while self.now < end {
            self.run(RENEWAL);
            for _ in 0..changes_per_sec {
                let number = changed % self.targets.len();
                self.targets[number].incarnation += 1;
                changed += 1;
            }
        }
        self.say_sent(name, time);
    }

    /// Measures how long it takes until all know that a tenth of the targets leave.
    fn leaving(&mut self) {
        let leaving: Vec<_> = (0..self.targets.len()).step_by(10).collect();
        for &number in &leaving {
            let name = self.targets[number].name.clone();
            let daemon = (number + 1) % self.nodes.len();
            self.handle(daemon, Event::TargetLeaving(name));
        }
        let known = |net: &Self| {
            net.nodes.iter().all(|node| {
                let is_leaving = |&number: &usize| {
                    let record = node.target(&net.targets[number].name);
                    record.is_some_and(|record| record.state == TargetState::Leaving)
                };
                leaving.iter().all(is_leaving)
            })
        };
        let time = self.run_until(Millis::from_secs(120), known);
        let count = leaving.len();
        self.say(
            &format!("leaving_known_by_all_of_{count}"),
            time.0 as f64,
            "ms",
        );
    }

    /// Measures the choice of all owners after one daemon left.
    fn owners_after_a_loss(&mut self) {
        self.nodes[1].handle(Event::Leave, self.now);
        let actions = self.nodes[1].handle(Event::Tick, self.now);
        let packet = actions.iter().find_map(|action| match action {
            Action::Send { packet, .. } => Some(packet.clone()),
            _ => None,
        });
        let packet = packet.expect("a daemon that leaves says so");
        let begin = Instant::now();
        self.nodes[0]
            .receive(&packet, self.now)
            .expect("a good packet");
        self.say("owners_chosen", begin.elapsed().as_micros() as f64, "us");
    }
}

/// Counts the bytes that are allocated.
mod counting {
    use std::{
        alloc::{
            GlobalAlloc,
            Layout,
            System, //
        },
        sync::atomic::{
            AtomicI64,
            Ordering::Relaxed, //
        }, //
    };

    static ALLOCATED: AtomicI64 = AtomicI64::new(0);

    struct Counting;

    #[global_allocator]
    static ALLOCATOR: Counting = Counting;

    /// How many bytes are allocated now.
    pub(super) fn allocated() -> i64 {
        ALLOCATED.load(Relaxed)
    }

    // SAFETY: All calls go to the system's allocator unchanged.
    unsafe impl GlobalAlloc for Counting {
        unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
            ALLOCATED.fetch_add(layout.size() as i64, Relaxed);
            // SAFETY: The caller keeps the contract of `GlobalAlloc::alloc`.
            unsafe { System.alloc(layout) }
        }

        unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
            ALLOCATED.fetch_sub(layout.size() as i64, Relaxed);
            // SAFETY: The caller keeps the contract of `GlobalAlloc::dealloc`.
            unsafe { System.dealloc(ptr, layout) }
        }
    }
}
