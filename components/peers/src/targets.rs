//! How targets travel between boxes: lists in which names that repeat stand once, and summaries by which two boxes
//! find out where their lists differ without sending them.

use prelude::Version;
use routing::{TargetEntry, TargetLife, TargetPhase};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Names that are told once and meant by their position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Names(Vec<Box<str>>);

/// Gives names their positions as they first come.
#[derive(Debug, Default)]
struct Positions<'a>(HashMap<&'a str, u16>, Names);

impl<'a> Positions<'a> {
    fn of(&mut self, name: &'a str) -> u16 {
        let next = self.1.0.len() as u16;
        let at = *self.0.entry(name).or_insert(next);
        if at == next {
            self.1.0.push(name.into());
        }
        at
    }
}

/// One target of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    instance: Box<str>,
    address: SocketAddr,
    service: u16,
    data_centre: u16,
    slots: u32,
    leaving: bool,
    cold_left_ms: u32,
    version: Version,
    born_ms: Option<u64>,
}

/// What a row takes on the wire without its name, about.
const ROW_BYTES: usize = 25;

/// A list of targets as it travels: some 36 bytes a target where entries by themselves take 110,
/// and 9 more where its lives are told apart by their births.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    services: Names,
    data_centres: Names,
    rows: Vec<Row>,
}

impl TargetList {
    /// The list of some entries.
    pub fn new(entries: &[TargetEntry]) -> Self {
        let mut services = Positions::default();
        let mut data_centres = Positions::default();
        let rows = entries
            .iter()
            .map(|entry| Row {
                instance: entry.instance.clone(),
                address: entry.address,
                service: services.of(&entry.service),
                data_centre: data_centres.of(&entry.data_centre),
                slots: entry.slots,
                leaving: entry.phase == TargetPhase::Leaving,
                cold_left_ms: entry.cold_left_ms,
                version: entry.version,
                born_ms: entry.born_ms,
            })
            .collect();
        Self {
            rows,
            services: services.1,
            data_centres: data_centres.1,
        }
    }

    /// Its entries; those whose names are not in the list are left out, as a torn list has them.
    pub fn entries(self) -> Vec<TargetEntry> {
        let name = |names: &Names, at: u16| names.0.get(usize::from(at)).cloned();
        let entry = |row: Row| {
            Some(TargetEntry {
                service: name(&self.services, row.service)?,
                data_centre: name(&self.data_centres, row.data_centre)?,
                instance: row.instance,
                address: row.address,
                slots: row.slots,
                phase: match row.leaving {
                    true => TargetPhase::Leaving,
                    false => TargetPhase::Ready,
                },
                cold_left_ms: row.cold_left_ms,
                version: row.version,
                born_ms: row.born_ms,
            })
        };
        self.rows.into_iter().filter_map(entry).collect()
    }

    /// What it takes on the wire, about.
    pub fn wire_bytes(&self) -> usize {
        let names = self.rows.iter().map(|row| row.instance.len());
        names.sum::<usize>() + self.rows.len() * ROW_BYTES
    }

    /// How many targets it holds.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// Changes of the list of targets, for boxes that know all that came before them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetChanges {
    /// The store's version of the last change before these that matters.
    pub after: Version,
    /// Entries that are new or say something new.
    pub listed: TargetList,
    /// Lives that are listed no more, with the version of that.
    pub unlisted: Vec<(TargetLife, Version)>,
    /// Hash of the whole list with them, where they were found by reading it anew: a box whose list then has another hash
    /// lacks more than these.
    pub root: Option<u64>,
}

/// A box's list in short: its targets fall into buckets by their names, and each bucket has a hash. Empty where the
/// box knows no list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetSummary {
    /// The hash of each bucket.
    pub buckets: Vec<u64>,
}

/// The buckets of another box's list that differ, whole; none where the lists are equal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPatch {
    /// Into how many buckets the list falls.
    pub bucket_count: u32,
    /// Which of them these are.
    pub buckets: Vec<u32>,
    /// All targets in them that are listed.
    pub listed: TargetList,
}

#[cfg(test)]
#[path = "targets_tests.rs"]
mod tests;
