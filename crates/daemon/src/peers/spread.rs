//! Passing a target's announcement to the other daemons.

use yuccaseam_wire::fleet::{
    Packet,
    fleet_client::FleetClient, //
};

use crate::{
    context::Context,
    targets::Announcement, //
};

/// Passes an announcement to every other daemon. A daemon that misses one gets the next renewal.
pub(crate) fn spread(cx: &Context, announcement: &Announcement) {
    let packet = Packet {
        from: cx.settings.instance.to_string(),
        message: serde_json::to_vec(announcement).expect("an announcement is valid JSON"),
    };
    for name in cx.links.names() {
        let Some(channel) = cx.links.channel(&name) else {
            continue;
        };
        let packet = packet.clone();
        cx.links.spawn(async move {
            if let Err(error) = FleetClient::new(channel).exchange(packet).await {
                log::debug!("no announcement to {name}: {error}");
            }
        });
    }
}
