//! The link between regions, made of a relay on each way between two daemons.

use crate::relay::{
    Relay,
    Shape,
    Shapes, //
};

use super::layout::Daemon;

/// Every way between daemons of different regions.
#[derive(Debug)]
pub struct Link {
    ways: Vec<Way>,
}

/// What of a region is cut.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// What the region sends reaches no other.
    pub sends: bool,
    /// What others send doesn't reach the region.
    pub receives: bool,
}

/// The connections that one daemon opens to another.
#[derive(Debug)]
struct Way {
    from: String,
    to: String,
    relay: Relay,
}

impl Link {
    pub(crate) fn between_regions(daemons: &mut [Daemon]) -> Self {
        let ends: Vec<_> = daemons
            .iter()
            .map(|daemon| {
                (
                    daemon.name.clone(),
                    daemon.place.region.clone(),
                    daemon.peer,
                )
            })
            .collect();
        let mut ways = Vec::new();
        for daemon in daemons {
            let from = &daemon.place.region;
            for (name, to, peer) in ends.iter().filter(|(_, region, _)| region != from) {
                let relay = Relay::start("127.0.0.1:0", *peer).expect("a relay can be started");
                daemon.detours.push((name.clone(), relay.address()));
                ways.push(Way {
                    from: from.clone(),
                    to: to.clone(),
                    relay,
                });
            }
        }
        Self { ways }
    }

    /// Cuts one region off in some directions. Nothing closes.
    pub fn cut(&self, region: &str, cut: Cut) {
        for way in self.ways_of(region) {
            let sends = Shape {
                cut: cut.sends,
                ..Shape::default()
            };
            let receives = Shape {
                cut: cut.receives,
                ..Shape::default()
            };
            let (forward, backward) = if way.from == region {
                (sends, receives)
            } else {
                (receives, sends)
            };
            way.relay.set(Shapes { forward, backward });
        }
    }

    /// Lets everything pass again.
    pub fn heal(&self) {
        for way in &self.ways {
            way.relay.set(Shapes::default());
        }
    }

    fn ways_of(&self, region: &str) -> impl Iterator<Item = &Way> {
        let is_end = move |way: &&Way| way.from == region || way.to == region;
        self.ways.iter().filter(is_end)
    }
}
