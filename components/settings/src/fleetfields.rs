//! The fields of a fleet box's settings file. A field that is not declared here does not compile.

use crate::field::{Field, LineMistake, LiveSettings, Takes, form_mistake, with_lines};
use crate::fleetcheck::fleet_mistakes;
use crate::fleetfile::{
    FleetAccounts, FleetFile, FleetIdentity, FleetLimits, FleetPromises, FleetStoreSettings,
};

use Takes::{Live, NewWork, Restart};

impl LiveSettings for FleetFile {
    fn read(text: &str) -> Result<Self, Vec<LineMistake>> {
        let file: Self =
            serde_saphyr::from_str(text).map_err(|error| vec![form_mistake(&error)])?;
        let found = fleet_mistakes(&file);
        match found.is_empty() {
            true => Ok(file),
            false => Err(with_lines(text, found)),
        }
    }

    fn fields(&self) -> Vec<Field> {
        let Self {
            identity,
            store,
            promises,
            limits,
            accounts,
            without,
            seeds,
            peer_keys,
            log_level,
        } = self;
        let mut fields = identity.fields();
        fields.extend(store.fields());
        fields.extend(promises.fields());
        fields.extend(limits.fields());
        fields.extend(accounts.fields());
        fields.extend([
            Field::new(
                "without",
                NewWork,
                "mechanisms of decision that are off",
                without,
            ),
            Field::new(
                "seeds",
                Live,
                "boxes that are asked before any is known",
                seeds,
            ),
            Field::secret(
                "peer_keys",
                Live,
                "keys by which boxes know each other; the first signs, all verify",
                peer_keys,
            ),
            Field::new(
                "log_level",
                Live,
                "the least level that is logged",
                log_level,
            ),
        ]);
        fields
    }

    fn keeping_fixed(self, running: &Self) -> Self {
        Self {
            identity: running.identity.clone(),
            ..self
        }
    }
}

impl FleetIdentity {
    fn fields(&self) -> Vec<Field> {
        let Self {
            name,
            data_centre,
            callers_address,
            readiness_address,
            peers_address,
            source_address,
            metrics_address,
        } = self;
        vec![
            Field::new(
                "box.name",
                Restart,
                "the box's name, unique among all",
                name,
            ),
            Field::new("box.data_centre", Restart, "where it stands", data_centre),
            Field::new(
                "box.callers_address",
                Restart,
                "where callers connect",
                callers_address,
            ),
            Field::new(
                "box.readiness_address",
                Restart,
                "where the platform asks whether it takes new channels",
                readiness_address,
            ),
            Field::new(
                "box.peers_address",
                Restart,
                "where other boxes connect",
                peers_address,
            ),
            Field::new(
                "box.source_address",
                Restart,
                "the local address of connections to targets",
                source_address,
            ),
            Field::new(
                "box.metrics_address",
                Restart,
                "where operators look",
                metrics_address,
            ),
        ]
    }
}

impl FleetStoreSettings {
    fn fields(&self) -> Vec<Field> {
        let Self {
            address,
            shortest_lease_ms,
        } = self;
        vec![
            Field::new(
                "store.address",
                Live,
                "where the platform's store listens",
                address,
            ),
            Field::new(
                "store.shortest_lease_ms",
                Live,
                "the shortest lease that the store grants, in ms",
                shortest_lease_ms,
            ),
        ]
    }
}

impl FleetPromises {
    fn fields(&self) -> Vec<Field> {
        let Self {
            leaving_ms,
            stop_grace_s,
            resend_share,
            resend_spare,
            resend_window_s,
        } = self;
        vec![
            Field::new(
                "promises.leaving_ms",
                Live,
                "time after which a leaving target gets no new work, in ms",
                leaving_ms,
            ),
            Field::new(
                "promises.stop_grace_s",
                Live,
                "time from SIGTERM to the end of the process, in s",
                stop_grace_s,
            ),
            Field::new(
                "promises.resend_share",
                NewWork,
                "second sends as a share of requests, over all boxes",
                resend_share,
            ),
            Field::new(
                "promises.resend_spare",
                NewWork,
                "second sends beyond that share in each window, over all boxes",
                resend_spare,
            ),
            Field::new(
                "promises.resend_window_s",
                NewWork,
                "length of that window, in s",
                resend_window_s,
            ),
        ]
    }
}

impl FleetAccounts {
    fn fields(&self) -> Vec<Field> {
        let Self {
            default_weight,
            named,
        } = self;
        vec![
            Field::new(
                "accounts.default_weight",
                NewWork,
                "weight of client accounts that are not named",
                default_weight,
            ),
            Field::new(
                "accounts.named",
                NewWork,
                "client accounts with a weight or a cap of their own; caps are shares of a pool's memory",
                named,
            ),
        ]
    }
}

impl FleetLimits {
    fn fields(&self) -> Vec<Field> {
        let Self {
            memory_mb,
            descriptors,
            link_mbps,
            held_share,
            account_held_share,
            unread_limit_s,
            target_request_mb,
        } = self;
        vec![
            Field::new(
                "limits.memory_mb",
                Live,
                "memory of the process, in MB",
                memory_mb,
            ),
            Field::new(
                "limits.descriptors",
                Live,
                "descriptors of the process",
                descriptors,
            ),
            Field::new(
                "limits.link_mbps",
                Live,
                "bandwidth of the box's link, in Mbit/s; wide links come first for roles",
                link_mbps,
            ),
            Field::new(
                "limits.held_share",
                Live,
                "share of the memory for request bodies and answers that callers have not read",
                held_share,
            ),
            Field::new(
                "limits.account_held_share",
                Live,
                "share of that for the requests of one client account",
                account_held_share,
            ),
            Field::new(
                "limits.unread_limit_s",
                Live,
                "a caller that reads nothing of its answer for so long is ended, in s",
                unread_limit_s,
            ),
            Field::new(
                "limits.target_request_mb",
                Live,
                "requests that all boxes together hold at one target, in MB",
                target_request_mb,
            ),
        ]
    }
}

#[cfg(test)]
#[path = "fleetfields_tests.rs"]
mod tests;
