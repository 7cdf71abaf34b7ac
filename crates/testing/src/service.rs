//! A plain service whose calls may not be repeated.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    thread,
    time::Duration,
};

use serde::Deserialize;
use serde_json::json;
use tiny_http::{
    Method,
    Request,
    Server, //
};
use yuccaseam_base::Millis;

use crate::{
    announce::{
        Announcement,
        Announcer,
        Kind, //
    },
    http,
    record::{
        Entry,
        Phase,
        Record, //
    },
    relay::Relay,
};

/// The settings of one copy of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// The target's name.
    pub name: String,
    /// The address to listen on; port 0 takes a free one.
    pub listen: String,
    /// The name of the service.
    pub service: String,
    /// The region that it announces.
    pub region: String,
    /// The failure domain that it announces.
    pub failure_domain: String,
    /// How many calls it announces to run at once.
    pub slots: u32,
    /// How long each call takes.
    pub delay: Duration,
    /// The daemons to announce to.
    pub announce: Vec<String>,
    /// The file of the record.
    pub record: Option<PathBuf>,
}

/// What goes wrong with a call, as its body asks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The call runs, then the connection closes without an answer.
    Lost,
    /// The call runs, then the process ends.
    Crash,
    /// The call answers that the service failed.
    Error,
}

#[derive(Debug, Deserialize)]
struct Order {
    order: String,
    #[serde(default)]
    fault: Fault,
    /// Added to the time of the call.
    #[serde(default)]
    slow: Millis,
}

/// A running copy of a plain service.
#[derive(Debug)]
pub struct Service {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    cfg: ServiceConfig,
    record: Record,
    announcer: Announcer,
    relay: Relay,
    open: AtomicU64,
    calls: AtomicU64,
}

impl Service {
    /// Starts the HTTP server and the announcements. Calls pass a relay in this process, by which
    /// a connection can be closed without an answer.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken or the record can't be opened.
    pub fn start(cfg: ServiceConfig) -> anyhow::Result<Self> {
        let server = Server::http("127.0.0.1:0").map_err(|err| anyhow::anyhow!("{err}"))?;
        let upstream: SocketAddr = server.server_addr().to_string().parse()?;
        let relay = Relay::start(&cfg.listen, upstream)?;
        let announcement = announcement(&cfg, relay.address());
        let shared = Arc::new(Shared {
            record: Record::open(cfg.record.as_deref())?,
            announcer: Announcer::start(announcement, cfg.announce.clone()),
            relay,
            open: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            cfg,
        });
        let handler = Arc::clone(&shared);
        http::serve(server, move |req| handler.handle(req));
        Ok(Self { shared })
    }

    /// The address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.shared.relay.address()
    }

    /// Announces that the copy is leaving.
    pub fn leave(&self) {
        self.shared.announcer.leave();
    }

    /// How long ago the copy began to leave.
    pub fn leaving_for(&self) -> Option<Millis> {
        self.shared.announcer.leaving_for()
    }

    /// How many calls are running.
    pub fn open_calls(&self) -> u64 {
        self.shared.open.load(Ordering::SeqCst)
    }
}

fn announcement(cfg: &ServiceConfig, address: SocketAddr) -> Announcement {
    Announcement {
        name: cfg.name.clone(),
        address: address.to_string(),
        kind: Kind::Service {
            service: cfg.service.clone(),
        },
        region: cfg.region.clone(),
        failure_domain: cfg.failure_domain.clone(),
        slots: cfg.slots,
        state: "live",
        incarnation: Millis::unix_now().0,
    }
}

impl Shared {
    fn handle(&self, mut req: Request) {
        let path = http::path(&req);
        match (req.method(), path.as_str()) {
            (Method::Post, "/orders") => match http::read_json(&mut req) {
                Ok(order) => self.run(req, &order),
                Err(err) => http::respond_error(req, 400, &err.to_string()),
            },
            (Method::Post, "/leave") => {
                self.announcer.leave();
                http::respond_json(req, 200, &json!({}));
            }
            (Method::Get, "/load") => {
                let running = self.open.load(Ordering::SeqCst);
                let load = json!({"running": running, "waiting": 0, "slots": self.cfg.slots});
                http::respond_json(req, 200, &load);
            }
            (Method::Get, "/record") => http::respond_json(req, 200, &self.record.entries()),
            _ => http::respond_error(req, 404, "nothing is served here"),
        }
    }

    fn run(&self, req: Request, order: &Order) {
        let number = self.calls.fetch_add(1, Ordering::SeqCst) + 1;
        let id = format!("{}-{number}", self.cfg.name);
        self.open.fetch_add(1, Ordering::SeqCst);
        self.push(&id, order, Phase::Start);
        thread::sleep(self.cfg.delay + order.slow.duration());
        self.push(&id, order, Phase::Finish);
        match order.fault {
            Fault::None => {
                let receipt = json!({"order": order.order, "receipt": id});
                http::respond_json(req, 200, &receipt);
            }
            Fault::Error => http::respond_error(req, 500, "the service failed"),
            Fault::Crash => process::exit(1),
            Fault::Lost => {
                let port = req.remote_addr().map_or(0, SocketAddr::port);
                self.relay.close(port);
            }
        }
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    fn push(&self, id: &str, order: &Order, phase: Phase) {
        self.record.push(Entry {
            at: Millis::unix_now(),
            target: self.cfg.name.clone(),
            phase,
            id: id.to_owned(),
            subject: order.order.clone(),
            from: 0,
            next: 0,
            leaving_for: self.announcer.leaving_for(),
        });
    }
}
