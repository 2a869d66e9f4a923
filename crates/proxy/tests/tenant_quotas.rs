//! Quotas of tenants: a queued request over its tenant's quota yields to those within their tenants' quotas.

mod helper;

use helper::{
    accept, backend, counter, read_message, request, response, send_request, settings, write, Proxy,
};

fn tenant_request(tenant: &str) -> String {
    request("GET", "/read", "30").replace("Connection: close\r\n", &format!("Tenant: {tenant}\r\n"))
}

/// The tenant of the request that is dispatched first when an attempt ends: `first`, whose request was queued
/// first and which fills the concurrency limit, or `second`.
fn dispatched_tenant(first: &str, second: &str) -> String {
    let tenants =
        r#""tenants":[{"name":"loud","allowancePerS":0.4},{"name":"mild","allowancePerS":1000}],"zones""#;
    let settings = settings(20_000, "").replace(r#""zones""#, tenants);
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings);
    let mut in_flight = Vec::new();
    for _ in 0..4 {
        let client = send_request(&proxy, &tenant_request(first));
        let mut conn = accept(&backend);
        read_message(&mut conn);
        in_flight.push((client, conn));
    }
    let _first_client = send_request(&proxy, &tenant_request(first));
    while counter(&proxy, "taken") < 5 {}
    let _second_client = send_request(&proxy, &tenant_request(second));
    while counter(&proxy, "taken") < 6 {}
    assert_eq!(counter(&proxy, "forwards"), 4, "two requests are queued");
    write(&mut in_flight[0].1, &response("200 OK", "Connection: close\r\n", "fine"));
    let text = read_message(&mut accept(&backend));
    text.lines().find_map(|line| line.strip_prefix("Tenant: ")).unwrap().to_string()
}

#[test]
fn request_within_its_quota_precedes_one_over_quota() {
    assert_eq!(dispatched_tenant("loud", "mild"), "mild");
    assert_eq!(
        dispatched_tenant("stranger", "mild"),
        "mild",
        "a request of an unknown tenant does not bypass the quotas"
    );
}

#[test]
fn requests_within_their_quota_keep_the_order_of_arrival() {
    assert_eq!(dispatched_tenant("mild", "mild"), "mild");
    assert_eq!(dispatched_tenant("mild", "loud"), "mild");
}
