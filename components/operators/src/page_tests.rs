use super::*;
use crate::burn::WindowBurn;

#[test]
fn shows_accounts_without_letting_names_write_html() {
    let report = BurnReport {
        accounts: vec![AccountBurn {
            account: "<script>".into(),
            owner: "o".into(),
            good_share: 0.9,
            windows: vec![WindowBurn::default(); 3],
        }],
        causes: Vec::new(),
    };
    let page = burn_page(&report);
    assert!(page.contains("&lt;script&gt;") && page.contains("<svg"));
}
