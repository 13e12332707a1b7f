//! The settings in force, as a snapshot that is replaced whole.

use arc_swap::{ArcSwap, Guard};
use prelude::unix_ms;
use settings::{LineMistake, LiveSettings, Takes, given_paths};
use std::collections::BTreeSet;
use std::ops::Deref;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;

/// Settings as they are in force from one moment on. It never changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot<T> {
    /// Rises by one with each change; the settings that the process started with are 1.
    pub generation: u64,
    /// When it came into force, in Unix milliseconds.
    pub since_unix_ms: u64,
    /// The settings. Fields that need a restart are as they were at the start.
    pub value: T,
    /// Paths of the fields that the file names; the others have their defaults.
    pub given: BTreeSet<&'static str>,
    /// Paths of the fields whose new values wait for a restart.
    pub waiting: Vec<&'static str>,
}

impl<T> Deref for Snapshot<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

/// What a change of the settings was.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The generation that it made.
    pub generation: u64,
    /// Paths of the fields that changed, but for those that wait.
    pub changed: Vec<&'static str>,
    /// Paths of the fields whose new values wait for a restart.
    pub waiting: Vec<&'static str>,
}

/// What became of a text that was offered as new settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It says what is in force already.
    Same,
    /// It is in force.
    Taken(Change),
    /// It has mistakes: what was in force stays so.
    Refused(Vec<LineMistake>),
}

/// Settings in force. Shared by all parts of a process: each loads the snapshot at a point of its own.
#[derive(Debug)]
pub struct Live<T> {
    current: ArcSwap<Snapshot<T>>,
    generations: watch::Sender<u64>,
    /// One offer at a time.
    offering: Mutex<()>,
}

impl<T: LiveSettings> Live<T> {
    /// The settings that a process starts with, without the text that they came from.
    pub fn new(value: T) -> Self {
        Self::start(value, BTreeSet::new())
    }

    /// Reads the settings that a process starts with.
    ///
    /// # Errors
    /// All mistakes that were found.
    pub fn read(text: &str) -> Result<Self, Vec<LineMistake>> {
        let value = T::read(text)?;
        let given = given_paths(text, &value.fields());
        Ok(Self::start(value, given))
    }

    fn start(value: T, given: BTreeSet<&'static str>) -> Self {
        let first = Snapshot {
            generation: 1,
            since_unix_ms: unix_ms(),
            value,
            given,
            waiting: Vec::new(),
        };
        Self {
            current: ArcSwap::from_pointee(first),
            generations: watch::Sender::new(1),
            offering: Mutex::new(()),
        }
    }

    /// The snapshot in force. It is cheap enough for each request.
    pub fn load(&self) -> Guard<Arc<Snapshot<T>>> {
        self.current.load()
    }

    /// Tells of each new generation.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.generations.subscribe()
    }

    /// Puts a text into force, where it is right and says something new.
    pub fn offer(&self, text: &str) -> Offer {
        let _offering = self.offering.lock().unwrap_or_else(PoisonError::into_inner);
        let told = match T::read(text) {
            Ok(told) => told,
            Err(mistakes) => return Offer::Refused(mistakes),
        };
        let before = self.current.load_full();
        let waiting = differing(&told, &before.value, |takes| takes == Takes::Restart);
        let given = given_paths(text, &told.fields());
        let value = told.keeping_fixed(&before.value);
        let changed = differing(&value, &before.value, |_| true);
        if changed.is_empty() && waiting == before.waiting {
            return Offer::Same;
        }
        let generation = before.generation + 1;
        let next = Snapshot {
            generation,
            since_unix_ms: unix_ms(),
            value,
            given,
            waiting: waiting.clone(),
        };
        self.current.store(Arc::new(next));
        self.generations.send_replace(generation);
        Offer::Taken(Change {
            generation,
            changed,
            waiting,
        })
    }
}

/// Paths of the fields that differ, among those that take their changes over in a way that counts.
fn differing<T: LiveSettings>(
    new: &T,
    old: &T,
    counts: impl Fn(Takes) -> bool,
) -> Vec<&'static str> {
    let (new, old) = (new.fields(), old.fields());
    let pairs = new.iter().zip(&old);
    let differ = pairs.filter(|(new, old)| new.value != old.value && counts(new.takes));
    differ.map(|(field, _)| field.path).collect()
}
