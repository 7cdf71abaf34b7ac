//! Manifests: which may take effect, and which route a request matches.

use yuccaseam_base::cases;
use yuccaseam_platform::Manifest;
use yuccaseam_serving::routes::{
    RouteTable,
    choose_destination, //
};

/// A manifest with these routes and the services `one` and `two`.
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

fn refuses(routes: &str, expected: &str) {
    let error = table(routes).expect_err("the manifest is invalid");
    assert!(error.contains(expected), "{error}");
}

cases! { refuses:
    an_unknown_service(&route("r", "/a/", r#""service":"three""#), "unknown service three");
    the_same_place_twice(
        &[route("r", "/a/", r#""service":"one""#), route("s", "/a/", r#""service":"two""#)].join(","),
        "two routes have the host",
    );
    weights_that_add_up_to_0(
        &route("r", "/a/", r#""weighted_services":[{"service":"one","weight":0}]"#),
        "add up to 0",
    );
    a_timeout_of_0(
        &route("r", "/a/", r#""service":"one""#).replace("1000", "0"),
        "the timeout of route r is 0",
    );
    a_body_that_was_cut_short(r#"{"name":"#, "manifest");
    a_field_of_another_type(&route("r", "/a/", r#""service":7"#), "manifest");
}

#[test]
fn the_longest_prefix_of_the_host_counts() {
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
