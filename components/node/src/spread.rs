//! Spreads news to all boxes: a notice at once, and a digest now and then that repairs what was
//! missed.

use crate::quarantine::take_ends;
use crate::shared::{Shared, lock};
use peers::{BoxCard, Digest, Notice, SettingsPatch, SettingsValue, TargetWord, next_hops};
use prelude::{Acquittal, BoxId, TargetEnd};
use rand::seq::IndexedRandom;
use std::sync::Arc;
use std::time::Duration;

/// How often a digest is exchanged with one other box.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
const DIGEST_LIMIT: Duration = Duration::from_millis(800);
const NOTICE_LIMIT: Duration = Duration::from_millis(500);

/// Begins a notice on a target, unless it is known.
pub(crate) fn spread_target(shared: &Arc<Shared>, word: TargetWord) {
    take_notice(shared, shared.card.id, Notice::Target(word));
}

/// Begins a notice on targets that ended under requests.
pub(crate) fn spread_ends(shared: &Arc<Shared>, ends: Vec<TargetEnd>) {
    take_notice(shared, shared.card.id, Notice::Ends(ends));
}

/// Tells that ends are not put down to a request, which is known here.
pub(crate) fn spread_acquittal(shared: &Arc<Shared>, acquittal: Acquittal) {
    forward(shared, shared.card.id, &Notice::Acquitted(acquittal));
}

/// Begins a notice on this box itself.
pub(crate) fn spread_own_card(shared: &Arc<Shared>) {
    forward(shared, shared.card.id, &Notice::Box(shared.own_card()));
}

/// Puts a branch into force here, and tells the others after `delay`, unless another box has told of it
/// by then: several boxes hold a watch, and one notice is enough.
pub(crate) fn spread_settings(shared: &Arc<Shared>, value: SettingsValue, delay: Duration) {
    let old = lock(&shared.in_force).value(&value.partner).cloned();
    if !shared.offer(&value) {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        let told = lock(&shared.told_revisions).get(&value.partner).copied();
        if told.is_some_and(|told| told >= value.revision) {
            return;
        }
        let patch = old.and_then(|old| SettingsPatch::between(&old, &value));
        let notice = patch.map_or(Notice::Settings(value), Notice::SettingsPatch);
        forward(&shared, shared.card.id, &notice);
    });
}

/// Notes that another box told of a revision.
fn told(shared: &Shared, partner: &str, revision: u64) {
    let mut told = lock(&shared.told_revisions);
    let newest = told.entry(partner.to_owned()).or_default();
    *newest = revision.max(*newest);
}

/// Takes a difference in. Where the revision before it is not here, the whole is asked for.
fn take_patch(shared: &Arc<Shared>, origin: BoxId, patch: &SettingsPatch) -> bool {
    told(shared, &patch.partner, patch.revision);
    let held = lock(&shared.in_force).value(&patch.partner).cloned();
    if held
        .as_ref()
        .is_some_and(|held| held.revision >= patch.revision)
    {
        return false;
    }
    if let Some(value) = held.and_then(|held| patch.apply(&held)) {
        return shared.offer(&value);
    }
    let shared = shared.clone();
    tokio::spawn(async move { exchange_with(&shared, origin).await });
    false
}

/// Takes a notice in, and passes it on where it was news.
pub(crate) fn take_notice(shared: &Arc<Shared>, origin: BoxId, notice: Notice) {
    let news = match &notice {
        Notice::Target(word) => take_word(shared, *word),
        Notice::Box(card) => take_card(shared, *card),
        Notice::Settings(value) => {
            told(shared, &value.partner, value.revision);
            shared.offer(value)
        }
        Notice::SettingsPatch(patch) => take_patch(shared, origin, patch),
        Notice::Ends(ends) => take_ends(shared, ends),
        Notice::Acquitted(acquittal) => {
            let now_ms = shared.now_ms();
            lock(&shared.quarantine).apply_acquittal(acquittal, now_ms)
        }
    };
    if news {
        forward(shared, origin, &notice);
    }
}

fn take_word(shared: &Shared, word: TargetWord) -> bool {
    let news = lock(&shared.targets).word(word);
    if news {
        slog::info!(shared.log, "word on a target";
            "target" => shared.target_name(word.target.id),
            "state" => ?word.state, "life" => word.target.incarnation.0);
        shared.changed();
    }
    news
}

fn take_card(shared: &Shared, card: BoxCard) -> bool {
    let news = lock(&shared.members).heard(card, shared.now_ms());
    if card.id != shared.card.id {
        shared.peers.set_address(card.id, card.address);
    }
    if news {
        slog::info!(shared.log, "word on a box";
            "box" => card.id.0, "leaving" => card.leaving, "life" => card.life.0);
    }
    news
}

fn forward(shared: &Arc<Shared>, origin: BoxId, notice: &Notice) {
    let now_ms = shared.now_ms();
    let own = shared.card.id;
    let known = lock(&shared.members).known(now_ms);
    let mut members: Vec<BoxId> = known.iter().map(|member| member.id).collect();
    members.push(own);
    if !members.contains(&origin) {
        members.push(origin);
    }
    members.sort_unstable();
    let hops = next_hops(shared.topology, &members, origin, own, &mut rand::rng());
    for to in hops {
        let (shared, notice) = (shared.clone(), notice.clone());
        tokio::spawn(async move {
            let call = shared
                .peers
                .call(to, NOTICE_LIMIT, |client, context| async move {
                    client.notice(context, origin, notice).await
                });
            if call.await.is_err() {
                shared.suspect(to);
            }
        });
    }
}

fn own_digest(shared: &Shared, newer: Vec<SettingsValue>) -> Digest {
    Digest {
        from: shared.own_card(),
        revisions: lock(&shared.in_force).revisions(),
        targets: lock(&shared.targets).words(),
        newer,
        withheld: lock(&shared.quarantine).crashes_of_withheld(shared.now_ms()),
    }
}

/// Takes another box's digest in and answers with what it lacks.
pub(crate) fn exchange(shared: &Arc<Shared>, theirs: Digest) -> Digest {
    let newer = lock(&shared.in_force).newer_than(&theirs.revisions);
    take_digest(shared, theirs);
    own_digest(shared, newer)
}

fn take_digest(shared: &Arc<Shared>, digest: Digest) {
    take_card(shared, digest.from);
    for word in digest.targets {
        take_word(shared, word);
    }
    for value in digest.newer {
        shared.offer(&value);
    }
    take_ends(shared, &digest.withheld);
}

/// Exchanges digests with one box after another until this box closes.
pub(crate) async fn run_digests(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(DIGEST_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            () = shared.closed.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let known = lock(&shared.members).known(shared.now_ms());
        let Some(to) = known.choose(&mut rand::rng()).map(|member| member.id) else {
            continue;
        };
        exchange_with(&shared, to).await;
    }
}

/// Exchanges digests with one box. False where it gave no answer.
pub(crate) async fn exchange_with(shared: &Arc<Shared>, to: BoxId) -> bool {
    let ours = own_digest(shared, Vec::new());
    let call = shared
        .peers
        .call(to, DIGEST_LIMIT, |client, context| async move {
            client.digest(context, ours).await
        });
    let theirs = match call.await {
        Ok(theirs) => theirs,
        Err(_) => {
            shared.suspect(to);
            return false;
        }
    };
    let lacking = lock(&shared.in_force).newer_than(&theirs.revisions);
    take_digest(shared, theirs);
    if !lacking.is_empty() {
        let back = own_digest(shared, lacking);
        let call = shared
            .peers
            .call(to, DIGEST_LIMIT, |client, context| async move {
                client.digest(context, back).await
            });
        let _ = call.await;
    }
    true
}
