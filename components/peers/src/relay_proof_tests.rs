use crate::KeyRing;

#[test]
fn a_proof_holds_for_its_request_and_time_under_any_shared_key() {
    let keys = |names: &[&str]| KeyRing::new(&names.map_to_strings());
    let proof = keys(&["old"]).prove_relayed("r-1", 20).unwrap();
    assert!(keys(&["new", "old"]).verify_relayed("r-1", 20, &proof));
    assert!(!keys(&["new"]).verify_relayed("r-1", 20, &proof));
    assert!(!keys(&["old"]).verify_relayed("r-1", 21, &proof));
    assert!(!keys(&["old"]).verify_relayed("r-2", 20, &proof));
}

#[test]
fn a_malformed_proof_is_rejected() {
    let keys = KeyRing::new(&["key".to_owned()]);
    for proof in ["", "0", "zz", "\u{e9}\u{e9}", "00"] {
        assert!(!keys.verify_relayed("r-1", 0, proof), "{proof}");
    }
}

trait MapToStrings {
    fn map_to_strings(&self) -> Vec<String>;
}

impl MapToStrings for [&str] {
    fn map_to_strings(&self) -> Vec<String> {
        self.iter().map(|name| (*name).to_owned()).collect()
    }
}
