//! Life cycle of the process: start, serving and planned stop.

use std::{
    process::ExitCode,
    sync::Arc,
    thread,
    time::Duration, //
};

use anyhow::Context as _;
use metrics_exporter_prometheus::PrometheusBuilder;
use signal_hook::{
    consts::{
        SIGINT,
        SIGTERM, //
    },
    iterator::Signals,
};
use yuccaseam_base::{
    Clock,
    Millis, //
};
use yuccaseam_platform::SettingsFile;

use crate::{
    admission::Admission,
    context::Context,
    entry::UnacknowledgedClaims,
    fleet::{
        self,
        Membership,
        Targets, //
    },
    health::{
        Health,
        Phase, //
    },
    http::Server,
    jobs,
    logging,
    maintenance,
    orders,
    peers::{
        self,
        Links, //
    },
    settings::{
        Command,
        Settings, //
    },
    store::Store,
    telemetry,
    upstream::Upstream, //
};

/// Exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;
/// Exit code of a stop that aborted requests.
const EXIT_ABORTED_REQUESTS: u8 = 3;
/// How often a planned stop polls the number of running requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the daemon with the settings of this process.
pub fn run() -> ExitCode {
    if let Some(file) = SettingsFile::from_environment() {
        return run_on_platform(&file);
    }
    let settings = match Command::from_process() {
        Ok(Command::Run(settings)) => settings,
        Ok(Command::Check(settings)) => {
            println!("{settings:#?}\nthe settings are valid");
            return ExitCode::SUCCESS;
        }
        Ok(Command::Print(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    logging::start(&settings);
    log::info!("effective settings: {settings:?}");
    match serve(settings) {
        Ok(code) => code,
        Err(error) => {
            log::error!("fatal error: {error:#}");
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs an entry or a store with the settings file that the platform writes.
fn run_on_platform(file: &SettingsFile) -> ExitCode {
    if let Err(error) = file.read() {
        eprintln!("error: {error:#}");
        return ExitCode::from(EXIT_USAGE);
    }
    logging::start_in_background();
    let metrics = match PrometheusBuilder::new().install_recorder() {
        Ok(metrics) => metrics,
        Err(error) => {
            eprintln!("error: cannot install the metrics recorder: {error}");
            return ExitCode::FAILURE;
        }
    };
    match yuccaseam_serving::run(file, move || metrics.render()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("fatal error: {error:#}");
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn serve(settings: Settings) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    let clock = Clock::start();
    let links = Links::new(runtime.handle().clone(), clock, &settings.peers);
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .context("cannot install the metrics recorder")?;
    let store = Store::open(&settings, &links, clock)?;
    let cx = Arc::new(Context {
        health: Health::new(clock),
        links,
        store,
        fleet: Membership::new(&settings, clock),
        targets: Targets::default(),
        upstream: Upstream::new(),
        unacknowledged_claims: UnacknowledgedClaims::default(),
        admission: Admission::new(settings.instance.clone(), clock),
        metrics,
        clock,
        settings,
    });
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("cannot catch signals")?;
    peers::serve(&cx)?;
    let server = Server::bind(cx.settings.http)?;
    start_background(&cx)?;
    log::info!("serving HTTP on {}", cx.settings.http);

    let http_cx = Arc::clone(&cx);
    thread::Builder::new()
        .name("http-accept".to_owned())
        .spawn(move || server.serve(&http_cx))
        .context("cannot start the HTTP thread")?;

    signals.forever().next();
    Ok(drain(&cx, &mut signals))
}

fn start_background(cx: &Arc<Context>) -> anyhow::Result<()> {
    spawn(cx, "configuration", |cx| cx.store.watch_configuration(cx))?;
    spawn(cx, "upkeep", maintenance::run)?;
    spawn(cx, "membership", fleet::run)?;
    spawn(cx, "orders", orders::run)?;
    Admission::start(cx).context("cannot start the admission threads")?;
    jobs::start(cx)
}

/// Starts a thread that runs for the life of the process.
fn spawn(cx: &Arc<Context>, name: &str, run: fn(&Arc<Context>)) -> anyhow::Result<()> {
    let cx = Arc::clone(cx);
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || run(&cx))
        .with_context(|| format!("cannot start the thread {name}"))?;
    Ok(())
}

/// Executes a planned stop: turns readiness off, waits until the load balancer has reacted, refuses
/// new calls, and waits for running ones. A second signal or the drain bound ends the wait, and
/// the number of aborted requests is logged.
fn drain(cx: &Context, signals: &mut Signals) -> ExitCode {
    log::info!("stopping: readiness is off");
    cx.health.set_phase(Phase::Draining);
    let refuse_at = cx.clock.now() + cx.settings.drain_delay;
    let stop_at = refuse_at + cx.settings.drain_bound;
    loop {
        let now = cx.clock.now();
        if now >= refuse_at && cx.health.phase() == Phase::Draining {
            log::info!("stopping: new calls are refused");
            cx.fleet.leave(cx);
            cx.health.set_phase(Phase::Refusing);
            cx.store.transfer_leadership();
        }
        let running = telemetry::running_requests();
        if cx.health.phase() == Phase::Refusing && running == 0 {
            log::info!("stopped: all requests have ended");
            return ExitCode::SUCCESS;
        }
        let is_forced = signals.pending().next().is_some();
        if is_forced || now >= stop_at {
            return abort_requests(running, is_forced, now - refuse_at);
        }
        thread::sleep(DRAIN_POLL_INTERVAL);
    }
}

fn abort_requests(running: usize, is_forced: bool, waited: Millis) -> ExitCode {
    let cause = if is_forced {
        "a second signal"
    } else {
        "the drain bound"
    };
    log::error!("stopped by {cause} after {waited}: {running} requests were aborted");
    if running == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_ABORTED_REQUESTS)
    }
}
