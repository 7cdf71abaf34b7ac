//! Measures the cost of membership for a daemon: bytes and processor time per second, and memory.
//!
//! Run `cargo run --release -p yuccaseam-fleet --example fleet_slopes [MIN_DAEMONS]`. All daemons
//! run in one loop on a simulated clock, without packet loss. Each figure is one line of JSON.
//! Bytes are those of the packets sent, without transport overhead.

#[expect(dead_code, reason = "another example uses the rest")]
mod net;

use std::{
    env,
    time::Instant, //
};

use net::{
    Net,
    RENEWAL_INTERVAL,
    report, //
};
use yuccaseam_base::Millis;
use yuccaseam_fleet::{
    Action,
    Event,
    TargetState, //
};

/// Numbers of daemons and targets of each point.
const POINTS: [(usize, usize); 7] = [
    (9, 30),
    (50, 30),
    (50, 340),
    (150, 340),
    (150, 1_030),
    (320, 1_030),
    (320, 2_200),
];

const SETTLE_TIME: Millis = Millis::from_secs(120);
const PHASE_TIME: Millis = Millis::from_secs(40);

/// Target restarts per second in the busy phase: all targets restart within about 20 minutes.
const CHANGES_PER_SEC: u64 = 2;

fn main() {
    let min_daemons = env::args()
        .nth(1)
        .map_or(0, |n| n.parse().expect("MIN_DAEMONS is a number"));
    for (daemons, targets) in POINTS
        .into_iter()
        .filter(|(daemons, _)| *daemons >= min_daemons)
    {
        measure(daemons, targets);
    }
}

fn measure(daemons: usize, targets: usize) {
    let before = counting::allocated();
    let mut net = Net::new(daemons, targets);
    net.run(SETTLE_TIME);
    let allocated = counting::allocated() - before;
    report(
        "memory",
        daemons,
        targets,
        allocated as f64 / daemons as f64,
        "bytes",
    );
    net.measure_phase("quiet", PHASE_TIME, 0);
    net.measure_phase("busy", PHASE_TIME, CHANGES_PER_SEC);
    net.measure_leaving();
    net.measure_owner_selection();
}

impl Net {
    /// Measures the traffic of a phase in which some targets restart.
    fn measure_phase(&mut self, name: &str, time: Millis, changes_per_sec: u64) {
        self.reset();
        let end = self.now + time;
        let mut changed = 0;
        while self.now < end {
            self.run(RENEWAL_INTERVAL);
            for _ in 0..changes_per_sec {
                let number = changed % self.targets.len();
                self.targets[number].incarnation += 1;
                changed += 1;
            }
        }
        self.report_traffic(name, time);
    }

    /// Measures the time until all daemons know that a tenth of the targets are leaving.
    fn measure_leaving(&mut self) {
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
        self.report_figure(
            &format!("leaving_known_by_all_of_{count}"),
            time.0 as f64,
            "ms",
        );
    }

    /// Measures the selection of all owners after one daemon left.
    fn measure_owner_selection(&mut self) {
        self.nodes[1].handle(Event::Leave, self.now);
        let actions = self.nodes[1].handle(Event::Tick, self.now);
        let packet = actions.iter().find_map(|action| match action {
            Action::Send { packet, .. } => Some(packet.clone()),
            _ => None,
        });
        let packet = packet.expect("leaving daemon gossips its status");
        let begin = Instant::now();
        self.nodes[0]
            .receive(&packet, self.now)
            .expect("packet is valid");
        self.report_figure("owners_chosen", begin.elapsed().as_micros() as f64, "us");
    }
}

/// Allocator that counts the allocated bytes.
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

    /// Number of bytes currently allocated.
    pub(super) fn allocated() -> i64 {
        ALLOCATED.load(Relaxed)
    }

    // SAFETY: All calls are forwarded to the system allocator unchanged.
    unsafe impl GlobalAlloc for Counting {
        unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
            ALLOCATED.fetch_add(layout.size() as i64, Relaxed);
            // SAFETY: The caller upholds the contract of `GlobalAlloc::alloc`.
            unsafe { System.alloc(layout) }
        }

        unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
            ALLOCATED.fetch_sub(layout.size() as i64, Relaxed);
            // SAFETY: The caller upholds the contract of `GlobalAlloc::dealloc`.
            unsafe { System.dealloc(ptr, layout) }
        }
    }
}
