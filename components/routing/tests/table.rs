//! Look-ups in one version of the operators' declarations.

use routing::{
    AccountRule, CallerLimits, Route, RouteKey, RouteKind, RoutingTable, Service, ServiceKey,
    ServiceShare, TableError, Verdict,
};
use rstest::rstest;

fn route(name: &str, host: &str, path_prefix: &str, weights: &[u32]) -> Route {
    let share = |(at, weight): (usize, &u32)| ServiceShare {
        service: ServiceKey(at as u32),
        weight: *weight,
    };
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        kind: RouteKind::Unrepeatable,
        hold_limit_ms: 1000,
        answer_goal_ms: 300,
        pause_goal_ms: None,
        rank: 1,
        shares: weights.iter().enumerate().map(share).collect(),
        runs_most: 1,
        open_to_all: name == "open",
    }
}

fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        health_path: "/health".into(),
        channels_most: 10,
        engine: None,
        cold_rate_per_s: None,
    }
}

fn table(routes: Vec<Route>) -> Result<RoutingTable, TableError> {
    let accounts = vec![AccountRule {
        name: "owner".into(),
        rank: None,
        keys: vec!["key".into()],
    }];
    let services = vec![service("first"), service("second")];
    RoutingTable::new(1, routes, services, Some(accounts), CallerLimits::default())
}

#[rstest]
#[case("a.example", "/x/y/z", Some(1))]
#[case("a.example", "/x/y", Some(0))]
#[case("a.example", "/x/other/z?to=/x/y/", Some(0))]
#[case("A.Example:8080", "/x/y/", Some(1))]
#[case("a.example", "/xy", None)]
#[case("b.example", "/x/y/", None)]
fn takes_the_longest_prefix_of_the_host(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<u32>,
) {
    let routes = vec![
        route("short", "a.example", "/x/", &[1]),
        route("long", "a.example", "/x/y/", &[1]),
    ];
    let found = table(routes).unwrap().find(host, path);
    assert_eq!(found, expected.map(RouteKey));
}

#[test]
fn admits_by_key_but_for_routes_that_are_open() {
    let routes = vec![
        route("closed", "h", "/c/", &[1]),
        route("open", "h", "/o/", &[1]),
    ];
    let table = table(routes).unwrap();
    let admitted = |route, account| Verdict::Admitted {
        route: RouteKey(route),
        account,
    };
    assert_eq!(table.admit("h", "/c/1", Some("key")), admitted(0, Some(0)));
    assert_eq!(table.admit("h", "/c/1", Some("other")), Verdict::NoAccount);
    assert_eq!(table.admit("h", "/c/1", None), Verdict::NoAccount);
    assert_eq!(table.admit("h", "/o/1", None), admitted(1, None));
    assert_eq!(table.admit("h", "/n/1", Some("key")), Verdict::NoRoute);
}

#[test]
fn splits_by_weight() {
    let table = table(vec![route("split", "h", "/s/", &[90, 10])]).unwrap();
    let second = (0..1000).filter(|draw| table.share(RouteKey(0), *draw) == ServiceKey(1));
    assert_eq!(second.count(), 100);
}

#[test]
fn refuses_a_route_that_goes_nowhere() {
    let nowhere = table(vec![route("none", "h", "/n/", &[0])]);
    assert!(matches!(nowhere, Err(TableError::NoShares { .. })));
    let unknown = table(vec![route("far", "h", "/n/", &[0, 0, 1])]);
    assert!(matches!(unknown, Err(TableError::NoSuchService { .. })));
}
