//! What operators see of this box.

use crate::dispatch::View;
use crate::shared::{Node, lock};
use operators::{BurnReport, Console, MemberView, NodeView, SettingsView, TargetView};
use policy::{EngineState, PoolView};
use prelude::PoolId;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

impl Console for Node {
    async fn view(&self) -> NodeView {
        let shared = &self.0;
        let pools = self.pool_views().await;
        NodeView {
            id: shared.card.id.0,
            leaving: shared.is_leaving(),
            open_streams: shared.open_streams.load(Ordering::Relaxed),
            control_bytes: shared.traffic.total_bytes(),
            revisions: lock(&shared.in_force).revisions().into_iter().collect(),
            members: self.member_views(),
            targets: self.target_views(),
            pools,
            target_names: self.target_names(),
        }
    }

    fn settings(&self) -> SettingsView {
        SettingsView::of(&self.0.settings_file.load())
    }

    async fn burn(&self) -> BurnReport {
        let shared = &self.0;
        lock(&shared.burn).report(shared.clock.unix_ms(), |target| shared.target_name(target))
    }
}

impl Node {
    fn member_views(&self) -> Vec<MemberView> {
        let known = lock(&self.0.members).known(self.0.now_ms());
        let view = |member: &crate::members::Known| MemberView {
            id: member.id.0,
            address: member.address.to_string(),
            state: match (member.leaving, member.suspect) {
                (true, _) => "leaving".into(),
                (false, true) => "suspect".into(),
                (false, false) => "live".into(),
            },
        };
        known.iter().map(view).collect()
    }

    fn target_views(&self) -> Vec<TargetView> {
        let settings = self.0.settings();
        let table = lock(&self.0.targets);
        let view = |target: &settings::ResolvedTarget| TargetView {
            name: target.name.clone(),
            state: match (table.state(target.id), target.leave) {
                (EngineState::Gone, _) => "gone".into(),
                (EngineState::Leaving, _) | (EngineState::Live, true) => "leaving".into(),
                (EngineState::Live, false) => "live".into(),
            },
            incarnation: table.key(target.id).incarnation.0,
            own_open: table.own_open(target.id),
        };
        let mut views: Vec<TargetView> = settings.targets.values().map(view).collect();
        views.sort_by(|a, b| a.name.cmp(&b.name));
        views
    }

    async fn pool_views(&self) -> BTreeMap<String, PoolView> {
        let pools: Vec<_> = {
            let pools = lock(&self.0.pools);
            pools
                .iter()
                .map(|(id, address)| (*id, address.clone()))
                .collect()
        };
        let mut views = BTreeMap::new();
        for (id, address) in pools {
            if let Ok(view) = address.send(View).await {
                views.insert(self.pool_name(id), view);
            }
        }
        views
    }

    fn pool_name(&self, pool: PoolId) -> String {
        let settings = self.0.settings();
        let model = settings.models.get(&pool.model);
        let name = model.map_or_else(|| pool.model.to_string(), |model| model.name.clone());
        match pool.shard {
            0 => name,
            shard => format!("{name}#{shard}"),
        }
    }

    fn target_names(&self) -> BTreeMap<String, String> {
        let settings = self.0.settings();
        let name =
            |target: &settings::ResolvedTarget| (target.id.0.to_string(), target.name.clone());
        settings.targets.values().map(name).collect()
    }
}
