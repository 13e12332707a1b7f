//! A stand-in of the platform's key-value service, met through etcd v3's JSON gateway.

mod api;
mod data;
mod messages;
mod server;

pub use server::{StandinStore, StoreFaults};
