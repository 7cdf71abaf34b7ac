//! The life of a process: start, serve, planned stop.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::Ordering, //
    },
};

use anyhow::Context as _;
use tokio::signal::unix::{
    SignalKind,
    signal, //
};
use yuccaseam_base::Millis;
use yuccaseam_platform::{
    NodeSettings,
    SettingsFile, //
};

use crate::{
    cx::Cx,
    entry::{
        self,
        Connections, //
    },
    follow::{
        self,
        Notices, //
    },
    link::{
        self,
        pause, //
    },
    neighbours,
    relay::Bystander,
    store::Store,
};

/// How long after a stop signal connections are still taken: the balancer asks once a second and
/// needs two answers in a row.
const BALANCER: Millis = Millis(2_800);
/// How much of the grace is kept for the end of the process.
const MARGIN: Millis = Millis(400);
/// How often the settings file is looked at, which may change without a signal.
const LOOK_AT_SETTINGS: Millis = Millis(2_000);
/// Which of the ports for instances serves metrics, counted from the first.
const METRICS_PORT: u16 = 1;
/// How often a planned stop looks for open connections.
const POLL: Millis = Millis(20);
/// How long a store that stops waits for another one to lead.
const HAND_OVER: Millis = Millis(300);

/// Runs a process with the settings of the platform until it is stopped. `metrics` renders the
/// metrics of the process as text.
///
/// # Errors
///
/// Fails if the settings cannot be read, or an address or the data folder cannot be used.
pub fn run<M>(file: &SettingsFile, metrics: M) -> anyhow::Result<()>
where
    M: Fn() -> String + Send + Sync + 'static,
{
    let settings = file.read()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    runtime.block_on(serve(file, settings, metrics))
}

async fn serve<M>(file: &SettingsFile, settings: NodeSettings, metrics: M) -> anyhow::Result<()>
where
    M: Fn() -> String + Send + Sync + 'static,
{
    log::info!(
        instance:% = settings.instance, domain:% = settings.domain, store = settings.is_store,
        first_start = settings.is_first_start; "starting");
    let cx = Arc::new(Cx::new(settings));
    let connections = Arc::new(Connections::new());
    let notices = Arc::new(Notices::default());
    let internal = SocketAddr::new(cx.settings.ip, cx.settings.first_port);
    let store = if cx.settings.is_store {
        let store = Store::start(&cx)?;
        link::serve(internal, Arc::clone(&store)).await?;
        Some(store)
    } else {
        let bystander = Bystander {
            cx: Arc::clone(&cx),
            notices: Arc::clone(&notices),
        };
        link::serve(internal, Arc::new(bystander)).await?;
        None
    };
    tokio::spawn(follow::gossip(Arc::clone(&cx)));
    if cx.settings.callers.is_some() {
        neighbours::start(&cx, internal)?;
    }
    let leader = store.clone();
    let leads = move || leader.as_ref().is_some_and(|store| store.leads());
    tokio::spawn(follow::run(Arc::clone(&cx), Arc::clone(&notices), leads));
    let address = SocketAddr::new(cx.settings.ip, cx.settings.first_port + METRICS_PORT);
    entry::serve_metrics(address, &connections, metrics).await?;
    if let Some(address) = cx.settings.readiness {
        entry::serve_readiness(&cx, address, &connections).await?;
    }
    if let Some(address) = cx.settings.control {
        entry::serve_control(&cx, &notices, address, &connections).await?;
    }
    if let Some(address) = cx.settings.callers {
        entry::serve_callers(&cx, address, &connections).await?;
    }
    log::info!(instance:% = cx.settings.instance; "started");
    let mut term = signal(SignalKind::terminate()).context("cannot catch signals")?;
    let mut hup = signal(SignalKind::hangup()).context("cannot catch signals")?;
    let mut read_at = file.modified();
    loop {
        let signalled = tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => true,
            () = pause(LOOK_AT_SETTINGS) => false,
        };
        let modified = file.modified();
        if signalled || modified != read_at {
            read_at = modified;
            reload(&cx, file);
        }
    }
    stop(&cx, &connections, store.as_deref()).await;
    Ok(())
}

/// Reads settings that have changed. Those that cannot be read leave the old ones in force.
fn reload(cx: &Cx, file: &SettingsFile) {
    match file.read() {
        Ok(settings) => cx.reload(&settings),
        Err(error) => {
            log::warn!(error:% = error; "the settings cannot be read and stay as they were")
        }
    }
}

/// Carries a planned stop out: readiness off, the balancer's delay, running calls end.
async fn stop(cx: &Cx, connections: &Connections, store: Option<&Store>) {
    log::info!("stopping");
    let stopped_at = cx.clock.now();
    cx.stopping.store(true, Ordering::Relaxed);
    if let Some(store) = store {
        store.hand_over();
        pause(HAND_OVER).await;
    }
    if cx.settings.callers.is_some() {
        pause(BALANCER).await;
    }
    connections.close();
    let until = stopped_at + cx.settings.bounds.grace - MARGIN;
    while connections.open() > 0 && cx.clock.now() < until {
        pause(POLL).await;
    }
    log::info!(cut = connections.open(), took_ms = (cx.clock.now() - stopped_at).0; "stopped");
}
