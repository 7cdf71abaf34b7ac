//! The life of the process: start, serve, planned stop.

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

/// Exit code of a command line or settings that are wrong.
const USAGE: u8 = 2;
/// Exit code of a stop that cut off requests.
const CUT: u8 = 3;
/// How often a planned stop looks for running requests.
const POLL: Duration = Duration::from_millis(20);

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
            return ExitCode::from(USAGE);
        }
    };
    logging::start(&settings);
    log::info!("effective settings: {settings:?}");
    match serve(settings) {
        Ok(code) => code,
        Err(error) => {
            log::error!("cannot go on: {error:#}");
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs an entry or a store with the settings that the platform writes.
fn run_on_platform(file: &SettingsFile) -> ExitCode {
    if let Err(error) = file.read() {
        eprintln!("error: {error:#}");
        return ExitCode::from(USAGE);
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
            log::error!("cannot go on: {error:#}");
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

    let front = Arc::clone(&cx);
    thread::Builder::new()
        .name("http-accept".to_owned())
        .spawn(move || server.serve(&front))
        .context("cannot start the HTTP thread")?;

    signals.forever().next();
    Ok(drain(&cx, &mut signals))
}

fn start_background(cx: &Arc<Context>) -> anyhow::Result<()> {
    spawn(cx, "configuration", |cx| cx.store.watch_configuration(cx))?;
    spawn(cx, "upkeep", maintenance::run)?;
    spawn(cx, "membership", fleet::run)?;
    spawn(cx, "orders", orders::run)?;
    Admission::start(cx).context("cannot start the threads of admission")?;
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

/// Carries out a planned stop: readiness off, the balancer's delay, new calls refused, running
/// calls end. A second signal or the bound ends it early and says what was cut.
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
            cx.store.hand_over();
        }
        let running = telemetry::running_requests();
        if cx.health.phase() == Phase::Refusing && running == 0 {
            log::info!("stopped: every request has ended");
            return ExitCode::SUCCESS;
        }
        let hurried = signals.pending().next().is_some();
        if hurried || now >= stop_at {
            return cut_off(running, hurried, now - refuse_at);
        }
        thread::sleep(POLL);
    }
}

fn cut_off(running: usize, hurried: bool, waited: Millis) -> ExitCode {
    let why = if hurried {
        "a second signal"
    } else {
        "the bound of the stop"
    };
    log::error!("stopped by {why} after {waited}: {running} requests were cut off");
    if running == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(CUT)
    }
}
