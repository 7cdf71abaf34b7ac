//! Process life cycle: start-up, serving and planned stop.

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
    deputies,
    entry::{
        self,
        Connections, //
    },
    follow::{
        self,
        PendingNotifications, //
    },
    link::{
        self,
        pause, //
    },
    neighbours,
    relay::DisklessInstance,
    store::Store,
};

/// How long connections are still accepted after a stop signal: the platform's balancer probes
/// readiness once a second and needs two results in a row.
const READINESS_DELAY: Millis = Millis(2_800);
/// Part of the stop grace period that is reserved for process exit.
const EXIT_MARGIN: Millis = Millis(400);
/// Interval between checks of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Millis = Millis(2_000);
/// Offset of the metrics port from the first port of the instance.
const METRICS_PORT_OFFSET: u16 = 1;
/// Interval between checks for open connections during a planned stop.
const CONNECTION_POLL_INTERVAL: Millis = Millis(20);
/// Pause after a stopping store starts a leadership transfer, so that another store can take over.
const LEADERSHIP_TRANSFER_PAUSE: Millis = Millis(300);

/// Runs an entry or a store, as the platform's settings say, until it is stopped. `metrics` renders
/// the process's metrics as text.
///
/// # Errors
///
/// Fails if the settings cannot be read, an address cannot be bound, or the data folder cannot be
/// opened.
pub fn run<M>(file: &SettingsFile, metrics: M) -> anyhow::Result<()>
where
    M: Fn() -> String + Send + Sync + 'static,
{
    let settings = file.read()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the tokio runtime")?;
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
    let connections = Arc::new(Connections::new(&cx));
    let notifications = Arc::new(PendingNotifications::default());
    let internal_address = SocketAddr::new(cx.settings.ip, cx.settings.first_port);
    let store = if cx.settings.is_store {
        let store = Store::start(&cx)?;
        link::serve(internal_address, Arc::clone(&store)).await?;
        Some(store)
    } else {
        let diskless = DisklessInstance {
            cx: Arc::clone(&cx),
            notifications: Arc::clone(&notifications),
        };
        link::serve(internal_address, Arc::new(diskless)).await?;
        None
    };
    tokio::spawn(follow::gossip(Arc::clone(&cx)));
    if cx.settings.callers.is_some() {
        neighbours::start(&cx, internal_address)?;
        tokio::spawn(deputies::run(Arc::clone(&cx)));
    }
    let own_store = store.clone();
    let is_leader = move || own_store.as_ref().is_some_and(|store| store.is_leader());
    tokio::spawn(follow::run(
        Arc::clone(&cx),
        Arc::clone(&notifications),
        is_leader,
    ));
    let address = SocketAddr::new(cx.settings.ip, cx.settings.first_port + METRICS_PORT_OFFSET);
    entry::serve_metrics(address, &connections, metrics).await?;
    if let Some(address) = cx.settings.readiness {
        entry::serve_readiness(&cx, address, &connections).await?;
    }
    if let Some(address) = cx.settings.control {
        entry::serve_control(&cx, &notifications, address, &connections).await?;
    }
    if let Some(address) = cx.settings.callers {
        entry::serve_callers(&cx, address, &connections).await?;
    }
    log::info!(instance:% = cx.settings.instance; "started");
    let mut term = signal(SignalKind::terminate()).context("cannot install the SIGTERM handler")?;
    let mut hup = signal(SignalKind::hangup()).context("cannot install the SIGHUP handler")?;
    let mut last_modified = file.modified();
    loop {
        let signalled = tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => true,
            () = pause(SETTINGS_POLL_INTERVAL) => false,
        };
        let modified = file.modified();
        if signalled || modified != last_modified {
            last_modified = modified;
            reload(&cx, file);
        }
    }
    stop(&cx, &connections, store.as_deref()).await;
    Ok(())
}

/// Reloads the settings. The old ones stay in force if the file cannot be read.
fn reload(cx: &Cx, file: &SettingsFile) {
    match file.read() {
        Ok(settings) => cx.reload(&settings),
        Err(error) => {
            log::warn!(error:% = error; "cannot reload settings; the previous ones stay in force")
        }
    }
}

/// Executes a planned stop: reports not ready, transfers leadership, waits until the platform's
/// balancer has noticed, then closes connections as their requests end.
async fn stop(cx: &Cx, connections: &Connections, store: Option<&Store>) {
    log::info!("stopping");
    let stopped_at = cx.clock.now();
    cx.stopping.store(true, Ordering::Relaxed);
    if let Some(store) = store {
        store.transfer_leadership();
        pause(LEADERSHIP_TRANSFER_PAUSE).await;
    }
    if cx.settings.callers.is_some() {
        pause(READINESS_DELAY).await;
    }
    cx.closing.store(true, Ordering::Relaxed);
    connections.close();
    let deadline = stopped_at + cx.settings.bounds.grace - EXIT_MARGIN;
    while connections.open() > 0 && cx.clock.now() < deadline {
        pause(CONNECTION_POLL_INTERVAL).await;
    }
    log::info!(cut = connections.open(), took_ms = (cx.clock.now() - stopped_at).0; "stopped");
}
