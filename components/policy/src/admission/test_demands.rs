//! Requests for the tests of this module.

use crate::demand::Demand;
use crate::fairness::tree::Share;
use crate::placement::length::LengthClass;
use prelude::{AccountId, Avoided, BoxId, OwnerId, PartnerId, PermitId};

/// Returns a request with 1,000 prompt tokens that is due at 5 s.
pub(crate) fn demand(serial: u64, account: u64, rank: u8) -> Demand {
    Demand {
        permit: PermitId {
            entry: BoxId(1),
            life: 0,
            serial,
        },
        share: Share {
            partner: PartnerId(1),
            owner: OwnerId(1),
            account: AccountId(account),
            partner_weight: 1.0,
            owner_weight: 1.0,
            account_weight: 1.0,
        },
        class: LengthClass::default(),
        prompt_tokens: 1_000,
        max_tokens: 100,
        rank,
        pause_goal_ms: None,
        arrived_ms: serial,
        deadline_ms: 5_000,
        caller_deadline_ms: 10_000,
        prefix: None,
        oracle_tokens: None,
        avoid: Avoided::default(),
        preferred_data_centre: None,
    }
}
