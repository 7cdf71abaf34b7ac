//! Membership of instances and records of targets, maintained by `yuccaseam_fleet`.
//!
//! One thread ticks the core; packets of other daemons are passed to it as they arrive. The core
//! returns packets to send and changes. Changes are applied to [`Targets`] and [`Proximity`], which
//! the rest of the daemon reads without waiting for the core.
//!
//! # Invariants
//!
//! - The view of targets changes only while the core is locked, so that it never goes back to an
//!   older state.
//! - No packet is sent while the core is locked.

mod announcement;
mod proximity;
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

use proximity::Proximity;

pub(crate) use announcement::{
    Announcement,
    Kind,
    State, //
};
pub(crate) use targets::Targets;

/// Interval between two ticks of the core.
const TICK_INTERVAL: Millis = Millis(100);

/// This daemon as a member of the fleet.
pub(crate) struct Membership {
    core: Mutex<Fleet>,
    proximity: Proximity,
    /// Names of the daemons at the addresses of the settings.
    seeds: BTreeMap<String, InstanceName>,
    clock: Clock,
}

/// A packet and the address to send it to.
struct OutgoingPacket {
    to: String,
    packet: Vec<u8>,
}

impl Membership {
    /// Creates the membership of a daemon that knows itself and the daemons of its settings.
    pub(crate) fn new(settings: &Settings, clock: Clock) -> Self {
        let own_record = InstanceRecord {
            name: settings.instance.clone(),
            address: settings.peer.to_string(),
            domain: settings.failure_domain.clone(),
            region: settings.region.clone(),
            incarnation: Millis::unix_now().0,
            status: Status::Alive,
        };
        let proximity = Proximity::new(own_record.clone());
        let seeds: BTreeMap<_, _> = settings
            .peers
            .iter()
            .map(|(name, address)| (address.to_string(), name.clone()))
            .collect();
        let addresses = seeds.keys().cloned().collect();
        let core = Fleet::new(
            FleetConfig::default(),
            own_record,
            addresses,
            rand::random(),
            clock.now(),
        );
        Self {
            core: Mutex::new(core),
            proximity,
            seeds,
            clock,
        }
    }

    /// Applies a target's announcement.
    pub(crate) fn announce(&self, cx: &Context, announcement: Announcement) {
        let name = announcement.name.clone();
        let is_leaving = announcement.state == State::Leaving;
        self.handle(cx, Event::Announced(announcement.into()));
        if is_leaving {
            self.handle(cx, Event::TargetLeaving(name));
        }
    }

    /// Handles a packet of another daemon. A malformed one changes nothing.
    pub(crate) fn receive(&self, cx: &Context, packet: &[u8]) {
        let mut core = self.lock();
        match core.receive(packet, self.clock.now()) {
            Ok(actions) => {
                let out = self.apply(cx, &core, actions);
                drop(core);
                self.send(cx, out);
            }
            Err(error) => log::warn!("malformed membership packet: {error}"),
        }
    }

    /// Reports that a call to another daemon failed, which makes the core probe it next.
    pub(crate) fn report_peer_failure(&self, cx: &Context, name: &InstanceName) {
        self.handle(cx, Event::PeerFailed(name.clone()));
    }

    /// Releases the ownership of targets before a planned stop.
    pub(crate) fn leave(&self, cx: &Context) {
        self.handle(cx, Event::Leave);
    }

    /// The daemons that may own a target, by its location.
    pub(crate) fn owners(&self, cx: &Context, target: &TargetName) -> Arc<Vec<InstanceName>> {
        let announcement = cx.targets.get(target);
        self.proximity.owners(announcement.as_ref())
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

    /// Applies changes to the shared views, and returns the packets to send.
    fn apply(&self, cx: &Context, core: &Fleet, actions: Vec<Action>) -> Vec<OutgoingPacket> {
        let mut out = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, packet } => out.push(OutgoingPacket { to, packet }),
                Action::InstanceChanged(record) => {
                    log::info!(
                        instance = record.name.as_str();
                        "instance status changed to {:?}", record.status
                    );
                    add_peer_address(cx, &record);
                    self.proximity.update(core.instances());
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

    fn send(&self, cx: &Context, out: Vec<OutgoingPacket>) {
        for OutgoingPacket { to, packet } in out {
            let Some(channel) = self.name_at(&to).and_then(|name| cx.links.channel(&name)) else {
                continue;
            };
            let packet = Packet {
                from: cx.settings.instance.to_string(),
                message: packet,
            };
            cx.links.spawn(async move {
                // The core detects a lost packet by its probes and repairs the loss.
                let _ = FleetClient::new(channel).exchange(packet).await;
            });
        }
    }

    /// The daemon at an address, by the settings or else by its instance record.
    fn name_at(&self, address: &str) -> Option<InstanceName> {
        let seed = self.seeds.get(address).cloned();
        seed.or_else(|| self.proximity.name_at(address))
    }

    fn lock(&self) -> MutexGuard<'_, Fleet> {
        self.core.lock().expect("no thread panics with the lock")
    }
}

/// Adds the address of a daemon that is not in the settings to the links.
fn add_peer_address(cx: &Context, record: &InstanceRecord) {
    let is_known = cx.settings.peers.contains_key(&record.name);
    if is_known || record.name == cx.settings.instance {
        return;
    }
    match record.address.parse::<SocketAddr>() {
        Ok(address) => cx.links.add(record.name.clone(), address),
        Err(error) => log::warn!(
            "{} has the invalid address {}: {error}",
            record.name,
            record.address
        ),
    }
}

/// Ticks the core for the life of the process.
pub(crate) fn run(cx: &Arc<Context>) {
    loop {
        cx.fleet.handle(cx, Event::Tick);
        thread::sleep(TICK_INTERVAL.duration());
    }
}
