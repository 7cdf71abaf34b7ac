//! Announcements of targets.

use serde_json::json;

use crate::{
    context::Context,
    fleet::Announcement, //
    http::{
        Call,
        Responder, //
    },
};

/// Applies a target's announcement, which membership sends on to the other daemons.
pub(crate) fn announce(cx: &Context, call: &Call, out: Responder) {
    let announcement: Announcement = match call.json() {
        Ok(announcement) => announcement,
        Err(refusal) => return out.refuse(&refusal),
    };
    cx.fleet.announce(cx, announcement);
    out.json(200, &json!({ "instance": cx.settings.instance.as_str() }));
}
