//! `relay`: one box of a platform's fleet.

use crate::cli::RelayOptions;
use crate::cmd::read_file;
use miette::{IntoDiagnostic, WrapErr, miette};
use operators::{FleetConsole, FleetView, SettingsView};
use prelude::Suspect;
use relay::Running;
use reload::Live;
use settings::{FleetFile, LogLevel, check_fleet_file};
use slog::Logger;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};

/// Questions of operators that may wait.
const QUESTIONS_MAX: usize = 8;

/// The settings file: as named on the command line, or where the platform laid it.
fn settings_path(options: &RelayOptions) -> miette::Result<PathBuf> {
    let told = options.settings.clone();
    let laid = std::env::var_os(platform::SETTINGS_FILE_VARIABLE).map(PathBuf::from);
    told.or(laid)
        .ok_or_else(|| miette!("name the settings file by --settings FILE"))
}

/// Runs the box until it is stopped: by plan at the first SIGTERM or SIGINT, at once at the second.
pub fn run(options: &RelayOptions) -> miette::Result<ExitCode> {
    let path = settings_path(options)?;
    let name = path.display().to_string();
    let text = read_file(&path)?;
    let Ok(live) = Live::<FleetFile>::read(&text) else {
        let mistakes = check_fleet_file(&name, &text);
        return Err(mistakes.map_or_else(
            || miette!("{name} cannot be used"),
            |mistakes| miette::Report::new(*mistakes),
        ));
    };
    let log = logs::to_output();
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()
        .wrap_err("cannot start the runtime")?;
    LocalSet::new().block_on(&runtime, serve(Arc::new(live), path, text, log))
}

async fn serve(
    live: Arc<Live<FleetFile>>,
    path: PathBuf,
    text: String,
    log: Logger,
) -> miette::Result<ExitCode> {
    let mut signals = Signals::new()?;
    if let Err(error) = operators::install_metrics() {
        slog::warn!(log, "metrics are not counted"; "error" => %error);
    }
    let running = relay::start(live.clone(), log.clone())
        .await
        .into_diagnostic()
        .wrap_err("the box cannot start")?;
    serve_operators(&running, &live, &log).await;
    let hung_up = signals.hung_up.clone();
    spawn_local(follow_level(live.clone()));
    spawn_local(async move { reload::follow(&live, path, text, &hung_up, &log).await });
    signals.stop().await;
    Ok(tokio::select! {
        () = running.stop() => ExitCode::SUCCESS,
        () = signals.stop() => ExitCode::FAILURE,
    })
}

/// Keeps the level of the log as the settings have it.
async fn follow_level(live: Arc<Live<FleetFile>>) {
    let mut generations = live.subscribe();
    loop {
        logs::set_level(match live.load().log_level {
            LogLevel::Debug => slog::Level::Debug,
            LogLevel::Info => slog::Level::Info,
            LogLevel::Warning => slog::Level::Warning,
            LogLevel::Error => slog::Level::Error,
        });
        if generations.changed().await.is_err() {
            return;
        }
    }
}

/// What operators ask of a box or have it do, with whom to answer.
enum Question {
    View(oneshot::Sender<FleetView>),
    Clear(Suspect, oneshot::Sender<bool>),
}

impl Question {
    fn answer(self, running: &Running) {
        // Whoever asked may have left.
        match self {
            Self::View(asker) => drop(asker.send(running.view())),
            Self::Clear(suspect, asker) => drop(asker.send(running.clear_suspect(suspect))),
        }
    }
}

/// What the operators' pages ask the box, whose state belongs to one thread.
#[derive(Clone)]
struct Console {
    questions: mpsc::Sender<Question>,
    live: Arc<Live<FleetFile>>,
}

impl FleetConsole for Console {
    async fn view(&self) -> Option<FleetView> {
        let (asker, answer) = oneshot::channel();
        self.questions.send(Question::View(asker)).await.ok()?;
        answer.await.ok()
    }

    async fn clear(&self, suspect: Suspect) -> Option<bool> {
        let (asker, answer) = oneshot::channel();
        let question = Question::Clear(suspect, asker);
        self.questions.send(question).await.ok()?;
        answer.await.ok()
    }

    fn settings(&self) -> SettingsView {
        SettingsView::of(&self.live.load())
    }
}

/// Serves operators; a box without their pages still serves callers.
async fn serve_operators(running: &Running, live: &Arc<Live<FleetFile>>, log: &Logger) {
    let Some(address) = running.identity().metrics_address else {
        return;
    };
    let (questions, mut asked) = mpsc::channel::<Question>(QUESTIONS_MAX);
    let console = Console {
        questions,
        live: live.clone(),
    };
    if let Err(error) = operators::serve_fleet(address, console).await {
        slog::warn!(log, "metrics are not served"; "address" => %address, "error" => %error);
    }
    let running = running.clone();
    spawn_local(async move {
        while let Some(question) = asked.recv().await {
            question.answer(&running);
        }
    });
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
    /// The settings file may have changed.
    hung_up: Arc<Notify>,
}

impl Signals {
    fn new() -> miette::Result<Self> {
        let mut hang_up = signal(SignalKind::hangup()).into_diagnostic()?;
        let hung_up = Arc::new(Notify::new());
        let told = hung_up.clone();
        spawn_local(async move {
            while hang_up.recv().await.is_some() {
                told.notify_one();
            }
        });
        Ok(Self {
            terminate: signal(SignalKind::terminate()).into_diagnostic()?,
            interrupt: signal(SignalKind::interrupt()).into_diagnostic()?,
            hung_up,
        })
    }

    /// Waits for the next order to stop.
    async fn stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
