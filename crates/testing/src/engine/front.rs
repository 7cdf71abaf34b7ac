//! The HTTP side of the emulated engine.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicU64,
            Ordering, //
        },
        mpsc::{
            self,
            Sender, //
        }, //
    },
    thread,
    time::Instant,
};

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Value,
    json, //
};
use tiny_http::{
    Method,
    Request,
    Server, //
};
use yuccaseam_base::Millis;

use super::{
    answers::{
        Shape,
        stream,
        whole, //
    },
    batching::{
        Batching,
        Call,
        Input,
        Load,
        Progress, //
    },
    cache::PrefixCache,
    config::EngineConfig,
};
use crate::{
    announce::{
        Announcement,
        Announcer,
        Kind, //
    },
    http,
    record::{
        Entry,
        Record, //
    },
    text::chat_prompt,
};

/// How many tokens an answer has where the request doesn't say.
const DEFAULT_TOKENS: u32 = 16;

/// How much of a prompt is recorded, in characters.
const SUBJECT_CHARS: usize = 160;

/// The models that are loaded, and the last order that was carried out.
#[derive(Clone, Debug, Default, Serialize)]
struct Placement {
    models: Vec<String>,
    role: Option<String>,
    number: u64,
}

#[derive(Debug, Deserialize)]
struct Order {
    number: u64,
    action: String,
    model: String,
}

#[derive(Debug, Deserialize)]
struct Cancel {
    id: String,
}

#[derive(Debug, Deserialize)]
struct Ask {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<Value>>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    yuccaseam: Option<Extension>,
}

#[derive(Debug, Deserialize)]
struct Extension {
    #[serde(default)]
    resume_from: u32,
}

/// A running emulated engine.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    address: String,
}

#[derive(Debug)]
struct Shared {
    cfg: EngineConfig,
    record: Arc<Record>,
    announcer: Announcer,
    cache: Arc<Mutex<PrefixCache>>,
    load: Arc<Mutex<Load>>,
    placement: Mutex<Placement>,
    open: AtomicU64,
    calls: AtomicU64,
    tx: Mutex<Sender<Input>>,
}

impl Engine {
    /// Starts the step loop, the HTTP server and the announcements.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken or the record can't be opened.
    pub fn start(cfg: EngineConfig) -> anyhow::Result<Self> {
        let server = Server::http(&cfg.listen).map_err(|err| anyhow::anyhow!("listen: {err}"))?;
        let address = server.server_addr().to_string();
        let record = Arc::new(Record::open(cfg.record.as_deref())?);
        let announcer = Announcer::start(announcement(&cfg, &address), cfg.announce.clone());
        let cache = PrefixCache::new(cfg.cache_blocks, cfg.event_lag, cfg.lose_every);
        let (tx, rx) = mpsc::channel();
        let placement = Placement {
            models: vec![cfg.model.clone()],
            ..Placement::default()
        };
        let shared = Arc::new(Shared {
            record,
            announcer,
            cache: Arc::new(Mutex::new(cache)),
            load: Arc::default(),
            placement: Mutex::new(placement),
            open: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            tx: Mutex::new(tx),
            cfg,
        });
        let batching = batching(&shared);
        thread::spawn(move || batching.run(&rx));
        let handler = Arc::clone(&shared);
        http::serve(server, move |req| handler.handle(req));
        Ok(Self { shared, address })
    }

    /// The address that the engine listens on.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Announces that the engine is leaving.
    pub fn leave(&self) {
        self.shared.announcer.leave();
    }

    /// How long ago the engine began to leave.
    pub fn leaving_for(&self) -> Option<Millis> {
        self.shared.announcer.leaving_for()
    }

    /// How many calls are open: waiting, running or being answered.
    pub fn open_calls(&self) -> u64 {
        self.shared.open.load(Ordering::SeqCst)
    }
}

fn announcement(cfg: &EngineConfig, address: &str) -> Announcement {
    Announcement {
        name: cfg.name.clone(),
        address: address.to_owned(),
        kind: Kind::Engine {
            model: cfg.model.clone(),
        },
        region: cfg.region.clone(),
        failure_domain: cfg.failure_domain.clone(),
        slots: cfg.slots,
        state: "live",
        incarnation: Millis::unix_now().0,
    }
}

fn batching(shared: &Arc<Shared>) -> Batching {
    let record = Arc::clone(&shared.record);
    let announcer = shared.announcer.clone();
    let target = shared.cfg.name.clone();
    let recorder = move |call: &Call, phase| {
        record.push(Entry {
            at: Millis::unix_now(),
            target: target.clone(),
            phase,
            id: call.id.clone(),
            subject: call.prompt.chars().take(SUBJECT_CHARS).collect(),
            from: call.from,
            next: call.next,
            leaving_for: announcer.leaving_for(),
        });
    };
    Batching {
        cfg: shared.cfg.clone(),
        cache: Arc::clone(&shared.cache),
        load: Arc::clone(&shared.load),
        recorder: Box::new(recorder),
        waiting: VecDeque::new(),
        running: Vec::new(),
        reported: Instant::now(),
    }
}

impl Shared {
    fn handle(&self, req: Request) {
        let path = http::path(&req);
        match (req.method(), path.as_str()) {
            (Method::Post, "/v1/completions" | "/v1/chat/completions") => self.complete(req),
            (Method::Post, "/cancel") => self.cancel(req),
            (Method::Post, "/orders") => self.order(req),
            (Method::Post, "/leave") => {
                self.announcer.leave();
                http::respond_json(req, 200, &json!({}));
            }
            (Method::Get, "/load") => {
                let load = self.load.lock().expect("no panic in the load report");
                let load = load.clone();
                http::respond_json(req, 200, &load);
            }
            (Method::Get, "/events") => {
                let since = http::query_number(&req, "since").unwrap_or(0);
                let cache = self.cache.lock().expect("no panic in the cache");
                let events = cache.events_since(since);
                drop(cache);
                http::respond_json(req, 200, &events);
            }
            (Method::Get, "/placement") => {
                let placement = self.placement.lock().expect("no panic in orders");
                let placement = placement.clone();
                http::respond_json(req, 200, &placement);
            }
            (Method::Get, "/record") => http::respond_json(req, 200, &self.record.entries()),
            _ => http::respond_error(req, 404, "nothing is served here"),
        }
    }

    fn cancel(&self, mut req: Request) {
        match http::read_json::<Cancel>(&mut req) {
            Ok(cancel) => {
                self.send(Input::Cancel(cancel.id));
                http::respond_json(req, 200, &json!({}));
            }
            Err(err) => http::respond_error(req, 400, &err.to_string()),
        }
    }

    fn order(&self, mut req: Request) {
        let order = match http::read_json::<Order>(&mut req) {
            Ok(order) => order,
            Err(err) => return http::respond_error(req, 400, &err.to_string()),
        };
        thread::sleep(self.cfg.order_time);
        let mut placement = self.placement.lock().expect("no panic in orders");
        if self.cfg.check_orders && order.number < placement.number {
            drop(placement);
            return http::respond_error(req, 409, "the number of the order is old");
        }
        placement.number = order.number;
        match order.action.as_str() {
            "load" if !placement.models.contains(&order.model) => {
                placement.models.push(order.model);
            }
            "unload" => placement.models.retain(|model| *model != order.model),
            "role" => placement.role = Some(order.model),
            _ => {}
        }
        let placement = placement.clone();
        http::respond_json(req, 200, &placement);
    }

    fn complete(&self, mut req: Request) {
        let ask = match http::read_json::<Ask>(&mut req) {
            Ok(ask) => ask,
            Err(err) => return http::respond_error(req, 400, &err.to_string()),
        };
        let placement = self.placement.lock().expect("no panic in orders");
        let loaded = placement.models.contains(&ask.model);
        drop(placement);
        if !loaded {
            return http::respond_error(req, 404, "the model is not loaded");
        }
        let id = http::header(&req, "X-Request-Id").unwrap_or_else(|| self.next_id());
        let (tx, rx) = mpsc::channel();
        let call = call(&id, &ask, tx);
        let shape = Shape {
            id,
            model: ask.model,
            chat: ask.messages.is_some(),
        };
        self.open.fetch_add(1, Ordering::SeqCst);
        self.send(Input::Call(call));
        if ask.stream {
            // A caller that is gone cancels its call by dropping `rx`.
            let _ = stream(req, &shape, &rx);
        } else {
            whole(req, &shape, &rx);
        }
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    fn next_id(&self) -> String {
        let number = self.calls.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.cfg.name)
    }

    fn send(&self, input: Input) {
        let tx = self.tx.lock().expect("no panic while sending");
        tx.send(input).expect("the step loop runs");
    }
}

fn call(id: &str, ask: &Ask, tx: Sender<Progress>) -> Call {
    let prompt = match &ask.messages {
        Some(messages) => chat_prompt(messages),
        None => ask.prompt.clone().unwrap_or_default(),
    };
    let from = ask.yuccaseam.as_ref().map_or(0, |ext| ext.resume_from);
    Call {
        id: id.to_owned(),
        prompt,
        from,
        next: from,
        end: ask.max_tokens.unwrap_or(DEFAULT_TOKENS),
        tx,
        prefill: 0,
    }
}
