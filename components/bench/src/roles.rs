//! The roles in which the bench starts itself, so that processor time and memory can be told apart.

use bpaf::Bpaf;
use miette::{IntoDiagnostic, miette};
use node::Addresses;
use serde::{Deserialize, Serialize};
use settings::BoxFile;
use standins::{EngineSettings, StandinEngine};
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use trial::ANY_PORT;

/// A role; its settings come as a line of JSON on standard input, its addresses leave as one on
/// standard output.
#[derive(Clone, Debug, Bpaf)]
pub enum Role {
    #[bpaf(command("box"))]
    /// An entry box
    Box,
    #[bpaf(command("engine"))]
    /// A stand-in engine
    Engine,
    #[bpaf(command("relay"))]
    /// A relay that copies bytes
    Relay,
}

/// Where a box listens, as it tells the bench.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct BoxAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

impl From<Addresses> for BoxAddresses {
    fn from(addresses: Addresses) -> Self {
        Self {
            callers: addresses.callers,
            peers: addresses.peers,
            operators: addresses.operators,
        }
    }
}

/// Takes a role on until the process is told to stop.
pub fn run(role: &Role) -> miette::Result<ExitCode> {
    let mut line = String::new();
    std::io::stdin().read_line(&mut line).into_diagnostic()?;
    match role {
        Role::Engine => {
            let settings: EngineSettings = serde_json::from_str(&line).into_diagnostic()?;
            let engine = StandinEngine::start(settings).into_diagnostic()?;
            answer(&engine.address())?;
            runtime()?.block_on(stopped());
        }
        Role::Box => {
            let file: BoxFile = serde_json::from_str(&line).into_diagnostic()?;
            one_thread()?.block_on(run_box(file))?;
        }
        Role::Relay => {
            let to: SocketAddr = serde_json::from_str(&line).into_diagnostic()?;
            one_thread()?.block_on(relay(to))?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn runtime() -> miette::Result<tokio::runtime::Runtime> {
    tokio::runtime::Runtime::new().into_diagnostic()
}

/// As `serve` runs a box: see `cmd::box_runtime` of the program.
fn one_thread() -> miette::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .into_diagnostic()
}

fn answer<T: Serialize>(value: &T) -> miette::Result<()> {
    let mut output = std::io::stdout();
    serde_json::to_writer(&mut output, value).into_diagnostic()?;
    writeln!(output).into_diagnostic()?;
    output.flush().into_diagnostic()
}

async fn stopped() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    terminate.recv().await;
}

async fn run_box(file: BoxFile) -> miette::Result<()> {
    operators::install_metrics().map_err(|error| miette!("{error}"))?;
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let (node, addresses) = node::start(file, log).await.into_diagnostic()?;
    answer(&BoxAddresses::from(addresses))?;
    stopped().await;
    node.stop().await;
    Ok(())
}

async fn relay(to: SocketAddr) -> miette::Result<()> {
    let listener = TcpListener::bind(ANY_PORT).await.into_diagnostic()?;
    answer(&listener.local_addr().into_diagnostic()?)?;
    loop {
        let (mut near, _) = listener.accept().await.into_diagnostic()?;
        tokio::spawn(async move {
            let Ok(mut far) = TcpStream::connect(to).await else {
                return;
            };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
        });
    }
}
