//! Reads and watches the platform's store for declarations, targets and evacuations, and elects the boxes that watch
//! it for the fleet.

pub(crate) mod backoff;
pub(crate) mod changes;
pub(crate) mod election;
pub(crate) mod entries;
pub(crate) mod era;
pub(crate) mod evacuation;
pub(crate) mod incarnation;
pub(crate) mod index;
pub(crate) mod leaving;
pub(crate) mod listing;
pub(crate) mod reconcile;
pub(crate) mod refused;
pub(crate) mod retained;
pub(crate) mod target;
pub(crate) mod target_snapshot;
pub(crate) mod targets;
pub(crate) mod tombstones;
pub(crate) mod watcher;
