//! Validation of manifests, and route lookup.

use yuccaseam_base::cases;
use yuccaseam_platform::Manifest;
use yuccaseam_serving::routes::{
    RouteTable,
    choose_destination, //
};

/// The route table of a manifest with these routes and the services `one` and `two`.
fn table(routes: &str) -> Result<RouteTable, String> {
    let text = format!(
        r#"{{"version":3,"routes":[{routes}],
            "services":[{{"name":"one","health_path":"/h"}},{{"name":"two","health_path":"/h"}}]}}"#
    );
    let manifest = Manifest::decode(text.as_bytes()).map_err(|error| error.to_string())?;
    RouteTable::new(manifest).map_err(|error| error.to_string())
}

fn route(name: &str, prefix: &str, to: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"h.example","path_prefix":"{prefix}","type":"safe",
            "timeout_ms":1000,{to}}}"#
    )
}

fn check_rejection(routes: &str, expected: &str) {
    let error = table(routes).expect_err("the manifest is invalid");
    assert!(error.contains(expected), "{error}");
}

cases! { check_rejection:
    unknown_service_is_rejected(&route("r", "/a/", r#""service":"three""#), "unknown service three");
    duplicate_route_is_rejected(
        &[route("r", "/a/", r#""service":"one""#), route("s", "/a/", r#""service":"two""#)].join(","),
        "two routes have the host",
    );
    zero_total_weight_is_rejected(
        &route("r", "/a/", r#""weighted_services":[{"service":"one","weight":0}]"#),
        "add up to 0",
    );
    zero_timeout_is_rejected(
        &route("r", "/a/", r#""service":"one""#).replace("1000", "0"),
        "the timeout of route r is 0",
    );
    truncated_manifest_is_rejected(r#"{"name":"#, "manifest");
    field_of_wrong_type_is_rejected(&route("r", "/a/", r#""service":7"#), "manifest");
}

#[test]
fn longest_matching_prefix_wins() {
    let routes = [
        route("short", "/a/", r#""service":"one""#),
        route("long", "/a/b/", r#""service":"two""#),
    ];
    let table = table(&routes.join(",")).expect("the manifest is valid");
    let name = |host, path| table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(name("h.example", "/a/b/c"), Some("long"));
    assert_eq!(name("H.Example:80", "/a/x"), Some("short"));
    assert_eq!(name("h.example", "/a"), None);
    assert_eq!(name("other.example", "/a/x"), None);
}

#[test]
fn requests_are_split_by_weight() {
    let split =
        r#""weighted_services":[{"service":"one","weight":90},{"service":"two","weight":10}]"#;
    let table = table(&route("r", "/a/", split)).expect("the manifest is valid");
    let route = table.find("h.example", "/a/x").expect("a route");
    let draws = (0..1_000).map(|draw| choose_destination(route, draw * 100));
    let to_two = draws.filter(|service| *service == Some("two")).count();
    assert_eq!(to_two, 100);
}

/// Guards against an entry that ends a connection, or refuses a valid manifest, because the sum of the
/// weights is out of range.
#[test]
fn weights_at_the_edge_of_their_type_are_added_up() {
    let split = r#""weighted_services":[{"service":"one","weight":1e308},{"service":"two","weight":1e308}]"#;
    let table = table(&route("r", "/a/", split)).expect("the manifest is valid");
    let route = table.find("h.example", "/a/x").expect("a route");
    assert_eq!(choose_destination(route, 0), Some("one"));
    assert_eq!(choose_destination(route, u64::MAX), Some("two"));
}
