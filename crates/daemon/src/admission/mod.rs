//! Which target runs a call, and when.
//!
//! Each target has an owner among the daemons, which runs its [`yuccaseam_admit::Gate`]. The entry
//! that got a call from a caller chooses targets, asks their owners for a permit, one after the
//! other, and then calls the target itself. A daemon is both: [`EntrySide`] asks, [`OwnerSide`]
//! answers.
//!
//! An owner that does not answer within a short bound is passed over and counts as down until a
//! probe reaches it. Two daemons that own one target for a while cost accuracy only: each counts
//! what the target reports.

mod ask;
mod entry;
mod names;
mod owner;
mod peers;
mod permit;
mod prefix;
mod remote;
mod report;
mod service;
mod target;
mod view;

use std::{
    io,
    sync::Arc,
    thread, //
};

use yuccaseam_base::{
    Clock,
    InstanceName,
    Refusal,
    TargetName, //
};

use crate::context::Context;

pub(crate) use ask::{
    Ask,
    Needs, //
};
pub(crate) use owner::OwnerSide;
pub(crate) use permit::Permit;
pub(crate) use prefix::prefix_of;
pub(crate) use service::AdmissionService;

use entry::EntrySide;

/// Both sides of admission.
pub(crate) struct Admission {
    entry: Arc<EntrySide>,
    owner: Arc<OwnerSide>,
}

impl Admission {
    pub(crate) fn new(instance: InstanceName, clock: Clock) -> Self {
        let owner = Arc::new(OwnerSide::new(clock));
        let entry = EntrySide::new(instance, clock, Arc::clone(&owner));
        Self {
            entry: Arc::new(entry),
            owner,
        }
    }

    /// Waits for a permit at one of the suitable targets.
    ///
    /// # Errors
    ///
    /// The refusal is always "not run".
    pub(crate) fn acquire(&self, cx: &Context, ask: &Ask) -> Result<Permit, Refusal> {
        self.entry.acquire(cx, ask)
    }

    /// The gates of the targets that this daemon owns.
    pub(crate) fn owner(&self) -> &Arc<OwnerSide> {
        &self.owner
    }

    /// Whether this daemon owns a target, as far as it knows.
    pub(crate) fn owns(&self, cx: &Context, target: &TargetName) -> bool {
        self.entry.owner_of(cx, target) == cx.settings.instance
    }

    /// Starts the threads that renew permits, watch targets and pass time to the gates.
    ///
    /// # Errors
    ///
    /// Returns the error of a thread that does not start.
    pub(crate) fn start(cx: &Arc<Context>) -> io::Result<()> {
        type Task = fn(&Arc<Context>);
        let tasks: [(&str, Task); 3] = [
            ("permit-reports", report::run),
            ("gates", owner::run_ticks),
            ("target-loads", owner::run_loads),
        ];
        for (name, task) in tasks {
            let cx = Arc::clone(cx);
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || task(&cx))?;
        }
        Ok(())
    }
}
