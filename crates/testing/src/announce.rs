//! How a target tells the daemons that it is there.

use std::{
    sync::{
        Arc,
        Condvar,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use serde::Serialize;
use yuccaseam_base::Millis;

/// How often a target renews its announcement.
const RENEWAL: Duration = Duration::from_secs(1);

/// How long one daemon may take to answer.
const ANSWER_BOUND: Duration = Duration::from_millis(700);

/// What a target announces itself as.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Kind {
    /// One worker of a model engine.
    Engine {
        /// The model that it serves.
        model: String,
    },
    /// One copy of a plain service.
    Service {
        /// The name of the service.
        service: String,
    },
}

/// The body of an announcement.
#[derive(Clone, Debug, Serialize)]
pub struct Announcement {
    /// The target's name.
    pub name: String,
    /// Its IP address and port.
    pub address: String,
    /// What it is.
    #[serde(flatten)]
    pub kind: Kind,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// How many calls it runs at once.
    pub slots: u32,
    /// `live` or `leaving`.
    pub state: &'static str,
    /// Grows with each start of the process.
    pub incarnation: u64,
}

/// Announces a target every second to the first daemon that answers.
#[derive(Clone, Debug)]
pub struct Announcer {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    leaving: Mutex<Option<Instant>>,
    wake: Condvar,
}

impl Announcer {
    /// Starts the announcing thread. `entries` are the addresses of daemons, tried in order from
    /// the one that answered last.
    pub fn start(mut announcement: Announcement, entries: Vec<String>) -> Self {
        let shared = Arc::new(Shared {
            leaving: Mutex::new(None),
            wake: Condvar::new(),
        });
        let announcer = Self {
            shared: Arc::clone(&shared),
        };
        thread::spawn(move || {
            let agent = agent();
            let mut current = 0;
            loop {
                let leaving = announcer.leaving_for().is_some();
                announcement.state = if leaving { "leaving" } else { "live" };
                for attempt in 0..entries.len() {
                    let index = (current + attempt) % entries.len();
                    if send(&agent, &entries[index], &announcement) {
                        current = index;
                        break;
                    }
                }
                announcer.wait(leaving);
            }
        });
        Self { shared }
    }

    /// Announces from now on, and at once, that the target is leaving.
    pub fn leave(&self) {
        let mut leaving = self.shared.leaving.lock().expect("no panic in announcing");
        leaving.get_or_insert_with(Instant::now);
        self.shared.wake.notify_all();
    }

    /// How long ago the target began to leave.
    pub fn leaving_for(&self) -> Option<Millis> {
        let leaving = self.shared.leaving.lock().expect("no panic in announcing");
        leaving.map(|since| since.elapsed().into())
    }

    /// Waits for the next renewal, or for a state other than the one just announced.
    fn wait(&self, announced: bool) {
        let leaving = self.shared.leaving.lock().expect("no panic in announcing");
        let unchanged = |leaving: &mut Option<Instant>| leaving.is_some() == announced;
        let _guard = self
            .shared
            .wake
            .wait_timeout_while(leaving, RENEWAL, unchanged);
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(ANSWER_BOUND))
        .build()
        .into()
}

fn send(agent: &ureq::Agent, entry: &str, announcement: &Announcement) -> bool {
    let url = format!("http://{entry}/targets/v1/announce");
    agent.post(&url).send_json(announcement).is_ok()
}
