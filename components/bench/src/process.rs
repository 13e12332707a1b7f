//! Processes that the bench starts and ends by their ids: itself, in another role.

use miette::{IntoDiagnostic, WrapErr, miette};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, Command};

/// Clock ticks a second in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// A process in a role.
pub struct RoleProcess {
    child: Child,
    pid: u32,
}

impl RoleProcess {
    /// Starts a process in the role `name`, gives it `settings` and returns what it answers.
    pub async fn start<S: Serialize, T: DeserializeOwned>(
        name: &str,
        settings: &S,
    ) -> miette::Result<(Self, T)> {
        let program = std::env::current_exe().into_diagnostic()?;
        let mut child = Command::new(program)
            .args(["role", name])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .into_diagnostic()
            .wrap_err_with(|| format!("cannot start the role `{name}`"))?;
        let pid = child
            .id()
            .ok_or_else(|| miette!("the role `{name}` has ended"))?;
        let mut input = child
            .stdin
            .take()
            .ok_or_else(|| miette!("no standard input"))?;
        let mut line = serde_json::to_vec(settings).into_diagnostic()?;
        line.push(b'\n');
        input.write_all(&line).await.into_diagnostic()?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| miette!("no standard output"))?;
        let mut answer = String::new();
        BufReader::new(output)
            .read_line(&mut answer)
            .await
            .into_diagnostic()?;
        let answer = serde_json::from_str(&answer)
            .into_diagnostic()
            .wrap_err_with(|| format!("the role `{name}` did not start"))?;
        Ok((Self { child, pid }, answer))
    }

    /// Processor time so far, in microseconds.
    pub fn cpu_us(&self) -> f64 {
        cpu_us(self.pid)
    }

    /// Memory in use, in bytes.
    pub fn rss_bytes(&self) -> u64 {
        rss_bytes(self.pid)
    }

    /// Sends a signal by its name.
    pub async fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &self.pid.to_string()])
            .status()
            .await;
    }

    /// Ends it at once.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }

    /// Waits for its end.
    pub async fn wait(mut self) -> bool {
        self.child.wait().await.is_ok_and(|status| status.success())
    }
}

/// Processor time of a process so far, in microseconds.
pub fn cpu_us(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|field| field.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_S * 1e6
}

/// Memory of a process, in bytes.
pub fn rss_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}
