//! Announcements of targets.

use serde_json::json;

use crate::{
    context::Context,
    http::{
        Call,
        Responder, //
    },
    peers,
    targets::Announcement, //
};

/// Takes a target's announcement in and passes it to the other daemons.
pub(crate) fn announce(cx: &Context, call: &Call, out: Responder) {
    let announcement: Announcement = match call.json() {
        Ok(announcement) => announcement,
        Err(refusal) => return out.refuse(&refusal),
    };
    cx.targets.announce(announcement.clone(), cx.clock.now());
    peers::spread(cx, &announcement);
    out.json(200, &json!({ "instance": cx.settings.instance.as_str() }));
}
