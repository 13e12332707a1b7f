//! The fields of an entry box's settings file. A field that is not declared here does not compile.

use crate::boxfile::{BoxFile, BoxIdentity, KeySettings, LimitSettings, PlatformSettings};
use crate::check::box_mistakes;
use crate::field::{Field, LineMistake, LiveSettings, Takes, form_mistake, with_lines};

use Takes::{Live, NewWork, Restart};

impl LiveSettings for BoxFile {
    fn read(text: &str) -> Result<Self, Vec<LineMistake>> {
        let file: Self =
            serde_saphyr::from_str(text).map_err(|error| vec![form_mistake(&error)])?;
        let found = box_mistakes(&file);
        match found.is_empty() {
            true => Ok(file),
            false => Err(with_lines(text, found)),
        }
    }

    fn fields(&self) -> Vec<Field> {
        let Self {
            identity,
            platform,
            keys,
            limits,
            branches,
        } = self;
        let mut fields = identity.fields();
        fields.extend(platform.fields());
        fields.extend(keys.fields());
        fields.extend(limits.fields());
        fields.push(Field::new(
            "branches",
            Restart,
            "branches used where no key-value service is named",
            branches,
        ));
        fields
    }

    fn keeping_fixed(self, running: &Self) -> Self {
        Self {
            identity: running.identity.clone(),
            platform: running.platform.clone(),
            keys: KeySettings {
                peer: self.keys.peer,
                resume: running.keys.resume.clone(),
            },
            limits: LimitSettings {
                body_bytes: running.limits.body_bytes,
                header_time_ms: running.limits.header_time_ms,
                engine_silence_ms: running.limits.engine_silence_ms,
                ..self.limits
            },
            branches: running.branches.clone(),
        }
    }
}

impl BoxIdentity {
    fn fields(&self) -> Vec<Field> {
        let Self {
            id,
            data_centre,
            region,
            callers_address,
            peers_address,
            operators_address,
        } = self;
        vec![
            Field::new("box.id", Restart, "the box's number, unique among all", id),
            Field::new("box.data_centre", Restart, "where it stands", data_centre),
            Field::new(
                "box.region",
                Restart,
                "the region of that data centre",
                region,
            ),
            Field::new(
                "box.callers_address",
                Restart,
                "where callers connect",
                callers_address,
            ),
            Field::new(
                "box.peers_address",
                Restart,
                "where other boxes connect",
                peers_address,
            ),
            Field::new(
                "box.operators_address",
                Restart,
                "where operators look",
                operators_address,
            ),
        ]
    }
}

impl PlatformSettings {
    fn fields(&self) -> Vec<Field> {
        let Self {
            key_value_urls,
            box_list_url,
            box_list_interval_ms,
        } = self;
        vec![
            Field::new(
                "platform.key_value_urls",
                Restart,
                "base URLs of the key-value service's gateway",
                key_value_urls,
            ),
            Field::new(
                "platform.box_list_url",
                Restart,
                "URL of the box list",
                box_list_url,
            ),
            Field::new(
                "platform.box_list_interval_ms",
                Restart,
                "how often the box list is read, in ms",
                box_list_interval_ms,
            ),
        ]
    }
}

impl KeySettings {
    fn fields(&self) -> Vec<Field> {
        let Self { peer, resume } = self;
        vec![
            Field::secret(
                "keys.peer",
                Live,
                "keys by which boxes know each other; the first signs, all verify",
                peer,
            ),
            Field::secret(
                "keys.resume",
                Restart,
                "keys that seal resume tokens",
                resume,
            ),
        ]
    }
}

impl LimitSettings {
    fn fields(&self) -> Vec<Field> {
        let Self {
            body_bytes,
            open_streams,
            header_time_ms,
            resume_grace_ms,
            engine_silence_ms,
            balancer_delay_ms,
            stop_limit_ms,
            load_interval_ms,
            claim_writes_per_s,
        } = self;
        let field = |path, takes, about, value: u64| Field::new(path, takes, about, &value);
        vec![
            field(
                "limits.body_bytes",
                Restart,
                "largest body of a request, in bytes",
                *body_bytes,
            ),
            field(
                "limits.open_streams",
                NewWork,
                "open streams",
                u64::from(*open_streams),
            ),
            field(
                "limits.header_time_ms",
                Restart,
                "longest time for a request's head, in ms",
                *header_time_ms,
            ),
            field(
                "limits.resume_grace_ms",
                Live,
                "how long a stream without a caller is kept, in ms",
                *resume_grace_ms,
            ),
            field(
                "limits.engine_silence_ms",
                Restart,
                "longest silence of an engine before its stream is resumed, in ms",
                *engine_silence_ms,
            ),
            field(
                "limits.balancer_delay_ms",
                Live,
                "how long a stopping box still takes requests, in ms",
                *balancer_delay_ms,
            ),
            field(
                "limits.stop_limit_ms",
                Live,
                "longest planned stop, in ms",
                *stop_limit_ms,
            ),
            field(
                "limits.load_interval_ms",
                Live,
                "how often engines are asked for their load, in ms",
                *load_interval_ms,
            ),
            field(
                "limits.claim_writes_per_s",
                Live,
                "writes of claims a second, of all boxes together",
                u64::from(*claim_writes_per_s),
            ),
        ]
    }
}

#[cfg(test)]
#[path = "boxfields_tests.rs"]
mod tests;
