//! An engine: a batch whose step grows with what runs in it, prompts read in pieces beside it, one after another, memory
//! that all share, and preemption of the newest of the least urgent where it runs out.

use serde::Deserialize;
use std::collections::VecDeque;

/// What an engine is.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: u32,
    /// Requests in a batch.
    pub slots: u32,
    /// A step of an empty batch.
    pub step_us: u64,
    /// What each request in the batch adds to a step.
    pub slot_us: u64,
    /// Prompt tokens that are read in one step.
    pub chunk_tokens: u32,
    /// What a whole chunk adds to a step.
    pub chunk_us: u64,
    /// Bytes of memory for each token, as copies move them.
    pub token_bytes: f64,
    /// Rate of a link, in bytes per millisecond.
    pub link_bytes_per_ms: f64,
}

impl EngineSpec {
    /// Whether an engine of this kind gets anywhere.
    pub fn is_playable(&self) -> bool {
        let times = self.step_us > 0 && self.link_bytes_per_ms > 0.0;
        times && self.memory_tokens > 0 && self.slots > 0 && self.chunk_tokens > 0
    }
}

/// A request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// Which request.
    pub id: usize,
    /// 0 for the most urgent.
    pub rank: u8,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens that it has made.
    pub made_tokens: u32,
    /// Tokens that it will make.
    pub length_tokens: u32,
    /// Tokens still to be read before it makes another.
    pub to_read_tokens: u32,
}

impl Run {
    fn held_tokens(&self) -> u32 {
        self.prompt_tokens + self.made_tokens
    }
}

/// What a step brought to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Made {
    /// One more token; how many it has now.
    Token {
        /// Which request.
        id: usize,
        /// Tokens that it has.
        made_tokens: u32,
    },
    /// Its last token.
    End {
        /// Which request.
        id: usize,
        /// Tokens that it has.
        made_tokens: u32,
    },
    /// Nothing: it was preempted, and is to be read anew.
    Preempted {
        /// Which request.
        id: usize,
    },
    /// Nothing more: it outgrew the engine's whole memory, and is broken off.
    Outgrown {
        /// Which request.
        id: usize,
    },
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    spec: EngineSpec,
    /// So many times slower than its kind.
    pub slowness: f64,
    running: Vec<Run>,
    reading: VecDeque<Run>,
    waiting: VecDeque<Run>,
    /// Memory for copies that are on their way.
    copies_tokens: u32,
}

impl Engine {
    /// An empty engine.
    pub fn new(spec: EngineSpec, slowness: f64) -> Self {
        Self {
            spec,
            slowness,
            running: Vec::new(),
            reading: VecDeque::new(),
            waiting: VecDeque::new(),
            copies_tokens: 0,
        }
    }

    /// A request comes. Those that wait are let in by rank, then by time of coming.
    pub fn push(&mut self, run: Run) {
        let at = self.waiting.partition_point(|other| other.rank <= run.rank);
        self.waiting.insert(at, run);
    }

    /// Sets memory aside for a copy. False where there is none.
    pub fn hold_copy(&mut self, tokens: u32) -> bool {
        let fits = self.used_tokens() + tokens <= self.spec.memory_tokens;
        self.copies_tokens += if fits { tokens } else { 0 };
        fits
    }

    /// Frees what was set aside for a copy.
    pub fn free_copy(&mut self, tokens: u32) {
        self.copies_tokens = self.copies_tokens.saturating_sub(tokens);
    }

    /// A request goes on from its copy.
    pub fn resume(&mut self, run: Run, copy_tokens: u32) {
        self.free_copy(copy_tokens);
        self.running.push(run);
    }

    /// Takes a request out; none where it is not here.
    pub fn take(&mut self, id: usize) -> Option<Run> {
        if let Some(at) = self.running.iter().position(|run| run.id == id) {
            return Some(self.running.remove(at));
        }
        for queue in [&mut self.reading, &mut self.waiting] {
            if let Some(at) = queue.iter().position(|run| run.id == id) {
                return queue.remove(at);
            }
        }
        None
    }

    /// Whether a request makes tokens here.
    pub fn runs(&self, id: usize) -> Option<Run> {
        self.running.iter().find(|run| run.id == id).copied()
    }

    /// All requests that are here.
    pub fn all(&self) -> Vec<usize> {
        let queued = self.reading.iter().chain(&self.waiting);
        self.running
            .iter()
            .chain(queued)
            .map(|run| run.id)
            .collect()
    }

    /// Memory in use.
    pub fn used_tokens(&self) -> u32 {
        let held = self.running.iter().chain(&self.reading);
        held.map(Run::held_tokens).sum::<u32>() + self.copies_tokens
    }

    /// Begins a step; how long it takes, or none where there is nothing to do.
    pub fn begin_step(&mut self) -> Option<u64> {
        self.admit();
        if self.running.is_empty() && self.reading.is_empty() {
            return None;
        }
        let slots = self.running.len() as u64 * self.spec.slot_us;
        let chunk = f64::from(self.chunk_tokens()) / f64::from(self.spec.chunk_tokens);
        let reading = (chunk * self.spec.chunk_us as f64) as u64;
        let step = self.spec.step_us + slots + reading;
        Some((step as f64 * self.slowness) as u64)
    }

    fn admit(&mut self) {
        while let Some(first) = self.waiting.front() {
            let in_batch = (self.running.len() + self.reading.len()) as u32;
            let fits = self.used_tokens() + first.held_tokens() <= self.spec.memory_tokens;
            if in_batch >= self.spec.slots || !fits {
                return;
            }
            self.reading.extend(self.waiting.pop_front());
        }
    }

    fn chunk_tokens(&self) -> u32 {
        let left: u32 = self.reading.iter().map(|run| run.to_read_tokens).sum();
        left.min(self.spec.chunk_tokens)
    }

    /// Ends a step.
    pub fn end_step(&mut self) -> Vec<Made> {
        let mut made = Vec::new();
        for run in &mut self.running {
            run.made_tokens += 1;
            made.push(word(run));
        }
        let mut chunk = self.chunk_tokens();
        while let Some(first) = self.reading.front_mut() {
            let read = chunk.min(first.to_read_tokens);
            first.to_read_tokens -= read;
            chunk -= read;
            if first.to_read_tokens > 0 {
                break;
            }
            let Some(mut run) = self.reading.pop_front() else {
                break;
            };
            run.made_tokens += 1;
            made.push(word(&run));
            self.running.push(run);
        }
        self.running
            .retain(|run| run.made_tokens < run.length_tokens);
        while self.used_tokens() > self.spec.memory_tokens {
            let Some(preempted) = self.preempt() else {
                break;
            };
            made.push(preempted);
        }
        made
    }

    /// Puts the newest of the least urgent back. One that the whole memory does not hold could never be read anew.
    fn preempt(&mut self) -> Option<Made> {
        let read = self.reading.iter().enumerate();
        let read = read.map(|(at, run)| (run.rank, 1, at));
        let runs = self.running.iter().enumerate();
        let runs = runs.map(|(at, run)| (run.rank, 0, at));
        let (_, is_reading, at) = runs.chain(read).max()?;
        let mut run = match is_reading {
            1 => self.reading.remove(at)?,
            _ => self.running.remove(at),
        };
        let id = run.id;
        if run.held_tokens() > self.spec.memory_tokens {
            return Some(Made::Outgrown { id });
        }
        run.to_read_tokens = run.held_tokens();
        let at = self.waiting.partition_point(|other| other.rank < run.rank);
        self.waiting.insert(at, run);
        Some(Made::Preempted { id })
    }
}

fn word(run: &Run) -> Made {
    let (id, made_tokens) = (run.id, run.made_tokens);
    match made_tokens >= run.length_tokens {
        true => Made::End { id, made_tokens },
        false => Made::Token { id, made_tokens },
    }
}
