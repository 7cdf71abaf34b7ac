//! Membership of instances and what is known of targets, kept by `yuccaseam_fleet`.
//!
//! One thread passes time to the core; packets of other daemons reach it as they come. The core
//! answers with packets to send and with changes, which are put where the rest of the daemon reads
//! them without waiting: [`Targets`] and [`Near`].
//!
//! # Invariants
//!
//! - The view of targets changes only while the core is locked, so that it never goes back.
//! - No packet is sent while the core is locked.

mod announcement;
mod near;
mod targets;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread,
};

use yuccaseam_base::{
    Clock,
    InstanceName,
    Millis,
    TargetName, //
};
use yuccaseam_fleet::{
    Action,
    Event,
    Fleet,
    FleetConfig,
    InstanceRecord,
    Status, //
};
use yuccaseam_wire::fleet::{
    Packet,
    fleet_client::FleetClient, //
};

use crate::{
    context::Context,
    settings::Settings, //
};

use near::Near;

pub(crate) use announcement::{
    Announcement,
    Kind,
    State, //
};
pub(crate) use targets::Targets;

/// How often time is passed to the core.
const TICK: Millis = Millis(100);

/// This daemon's part in the membership.
pub(crate) struct Membership {
    core: Mutex<Fleet>,
    near: Near,
    /// Names of the daemons at the addresses of the settings.
    seeds: BTreeMap<String, InstanceName>,
    clock: Clock,
}

/// A packet and where it goes.
struct Outgoing {
    to: String,
    packet: Vec<u8>,
}

impl Membership {
    /// A daemon that knows itself and the daemons of its settings.
    pub(crate) fn new(settings: &Settings, clock: Clock) -> Self {
        let me = InstanceRecord {
            name: settings.instance.clone(),
            address: settings.peer.to_string(),
            domain: settings.failure_domain.clone(),
            region: settings.region.clone(),
            incarnation: Millis::unix_now().0,
            status: Status::Alive,
        };
        let near = Near::new(me.clone());
        let seeds: BTreeMap<_, _> = settings
            .peers
            .iter()
            .map(|(name, address)| (address.to_string(), name.clone()))
            .collect();
        let addresses = seeds.keys().cloned().collect();
        let core = Fleet::new(
            FleetConfig::default(),
            me,
            addresses,
            rand::random(),
            clock.now(),
        );
        Self {
            core: Mutex::new(core),
            near,
            seeds,
            clock,
        }
    }

    /// Takes a target's announcement in.
    pub(crate) fn announce(&self, cx: &Context, announcement: Announcement) {
        let name = announcement.name.clone();
        let is_leaving = announcement.state == State::Leaving;
        self.handle(cx, Event::Announced(announcement.into()));
        if is_leaving {
            self.handle(cx, Event::TargetLeaving(name));
        }
    }

    /// Takes a packet of another daemon in. A malformed one changes nothing.
    pub(crate) fn receive(&self, cx: &Context, packet: &[u8]) {
        let mut core = self.lock();
        match core.receive(packet, self.clock.now()) {
            Ok(actions) => {
                let out = self.apply(cx, &core, actions);
                drop(core);
                self.send(cx, out);
            }
            Err(error) => log::warn!("a malformed packet of membership: {error}"),
        }
    }

    /// A call to another daemon failed: it is probed next.
    pub(crate) fn peer_failed(&self, cx: &Context, name: &InstanceName) {
        self.handle(cx, Event::PeerFailed(name.clone()));
    }

    /// Gives up ownership of targets before a planned stop.
    pub(crate) fn leave(&self, cx: &Context) {
        self.handle(cx, Event::Leave);
    }

    /// The daemons that may own a target, by its place.
    pub(crate) fn owners(&self, cx: &Context, target: &TargetName) -> Arc<Vec<InstanceName>> {
        let announcement = cx.targets.get(target);
        self.near.owners(announcement.as_ref())
    }

    /// Whether an instance is known to be dead or to have left.
    pub(crate) fn is_dead(&self, name: &InstanceName) -> bool {
        let core = self.lock();
        core.instance(name)
            .is_some_and(|record| record.status == Status::Dead)
    }

    fn handle(&self, cx: &Context, event: Event) {
        let mut core = self.lock();
        let actions = core.handle(event, self.clock.now());
        let out = self.apply(cx, &core, actions);
        drop(core);
        self.send(cx, out);
    }

    /// Puts changes where others read them, and returns what is to be sent.
    fn apply(&self, cx: &Context, core: &Fleet, actions: Vec<Action>) -> Vec<Outgoing> {
        let mut out = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, packet } => out.push(Outgoing { to, packet }),
                Action::InstanceChanged(record) => {
                    log::info!(
                        instance = record.name.as_str();
                        "instance is {:?}", record.status
                    );
                    learn_address(cx, &record);
                    self.near.update(core.instances());
                }
                Action::TargetChanged(record) => cx.targets.apply(record),
                Action::OwnerChanged(_) | Action::LoadReported { .. } => {}
            }
        }
        if core.is_joined() {
            cx.health.set_joined();
        }
        out
    }

    fn send(&self, cx: &Context, out: Vec<Outgoing>) {
        for Outgoing { to, packet } in out {
            let Some(channel) = self.name_at(&to).and_then(|name| cx.links.channel(&name)) else {
                continue;
            };
            let packet = Packet {
                from: cx.settings.instance.to_string(),
                message: packet,
            };
            cx.links.spawn(async move {
                // A packet that is lost is missed by the core, which probes and repairs.
                let _ = FleetClient::new(channel).exchange(packet).await;
            });
        }
    }

    /// The daemon at an address: of the settings, or as it says itself.
    fn name_at(&self, address: &str) -> Option<InstanceName> {
        let seed = self.seeds.get(address).cloned();
        seed.or_else(|| self.near.name_at(address))
    }

    fn lock(&self) -> MutexGuard<'_, Fleet> {
        self.core.lock().expect("no thread panics with the lock")
    }
}

/// Learns how to reach a daemon that is not among the settings.
fn learn_address(cx: &Context, record: &InstanceRecord) {
    let is_known = cx.settings.peers.contains_key(&record.name);
    if is_known || record.name == cx.settings.instance {
        return;
    }
    match record.address.parse::<SocketAddr>() {
        Ok(address) => cx.links.add(record.name.clone(), address),
        Err(error) => log::warn!(
            "{} has the address {}: {error}",
            record.name,
            record.address
        ),
    }
}

/// Passes time to the core for the life of the process.
pub(crate) fn run(cx: &Arc<Context>) {
    loop {
        cx.fleet.handle(cx, Event::Tick);
        thread::sleep(TICK.duration());
    }
}
