//! The boxes of a run: in this process, or as processes of their own.

use crate::process::RoleProcess;
use crate::roles::BoxAddresses;
use miette::IntoDiagnostic;
use node::Node;
use operators::NodeView;
use settings::BoxFile;
use standins::Host;
use std::time::Duration;

/// A box that runs.
pub enum RunningBox {
    /// On a runtime of its own in this process.
    Inside {
        /// The runtime.
        host: Host,
        /// The box.
        node: Box<Node>,
        /// Where it listens.
        addresses: BoxAddresses,
    },
    /// A process.
    Outside {
        /// The process.
        process: RoleProcess,
        /// Where it listens.
        addresses: BoxAddresses,
    },
}

const VIEW_LIMIT: Duration = Duration::from_millis(1500);

impl RunningBox {
    /// Starts a box.
    pub async fn start(file: BoxFile, as_process: bool) -> miette::Result<Self> {
        if as_process {
            let (process, addresses) = RoleProcess::start("box", &file).await?;
            return Ok(Self::Outside { process, addresses });
        }
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let (host, started) =
            Host::start("entry-box", move || node::start(file, log)).into_diagnostic()?;
        let (node, addresses) = started.into_diagnostic()?;
        Ok(Self::Inside {
            host,
            node: Box::new(node),
            addresses: addresses.into(),
        })
    }

    /// Where it listens.
    pub fn addresses(&self) -> BoxAddresses {
        match self {
            Self::Inside { addresses, .. } | Self::Outside { addresses, .. } => *addresses,
        }
    }

    /// Ends it as a crash does.
    pub async fn kill(self) {
        match self {
            Self::Inside { host, .. } => host.kill(),
            Self::Outside { process, .. } => process.kill().await,
        }
    }

    /// Lets it stand still for a while.
    pub async fn pause(&self, pause: Duration) {
        match self {
            Self::Inside { host, .. } => {
                host.pause(pause);
                tokio::time::sleep(pause).await;
            }
            Self::Outside { process, .. } => {
                process.signal("STOP").await;
                tokio::time::sleep(pause).await;
                process.signal("CONT").await;
            }
        }
    }

    /// Stops it by plan. False where it did not end in time.
    pub async fn stop(self, limit: Duration) -> bool {
        match self {
            Self::Inside { host, node, .. } => {
                let stopped = tokio::time::timeout(limit, node.stop()).await.is_ok();
                host.kill();
                stopped
            }
            Self::Outside { process, .. } => {
                process.signal("TERM").await;
                tokio::time::timeout(limit, process.wait())
                    .await
                    .unwrap_or(false)
            }
        }
    }

    /// Has its clock step, where it runs in this process.
    pub fn step_clock(&self, ms: i64) {
        if let Self::Inside { node, .. } = self {
            node.step_clock(ms);
        }
    }
}

/// A box as it sees itself; none where it does not answer.
pub async fn view(addresses: BoxAddresses) -> Option<NodeView> {
    let client = reqwest::Client::builder()
        .timeout(VIEW_LIMIT)
        .no_proxy()
        .build()
        .ok()?;
    let url = format!("http://{}/node", addresses.operators);
    client.get(url).send().await.ok()?.json().await.ok()
}
