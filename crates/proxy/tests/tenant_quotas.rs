//! Shares of tenants: what one sends beyond its own gives way to what others send within theirs.

mod helper;

use helper::{
    accept, backend, counter, read_message, request, response, send_request, settings, write, Proxy,
};

fn of(tenant: &str) -> String {
    request("GET", "/read", "30").replace("Connection: close\r\n", &format!("Tenant: {tenant}\r\n"))
}

/// Which tenant's request goes on when a place falls free: one of `floods`, which came first, or one of `waits`.
fn next(floods: &str, waits: &str) -> String {
    let tenants =
        r#""tenants":[{"name":"loud","allowancePerS":0.4},{"name":"mild","allowancePerS":1000}],"zones""#;
    let settings = settings(20_000, "").replace(r#""zones""#, tenants);
    let backend = backend();
    let proxy = Proxy::start_with(&[&backend], 1024, &settings);
    let mut out = Vec::new();
    for _ in 0..4 {
        let client = send_request(&proxy, &of(floods));
        let mut conn = accept(&backend);
        read_message(&mut conn);
        out.push((client, conn));
    }
    let _first = send_request(&proxy, &of(floods));
    while counter(&proxy, "taken") < 5 {}
    let _second = send_request(&proxy, &of(waits));
    while counter(&proxy, "taken") < 6 {}
    assert_eq!(counter(&proxy, "forwards"), 4, "two wait");
    write(&mut out[0].1, &response("200 OK", "Connection: close\r\n", "fine"));
    let text = read_message(&mut accept(&backend));
    text.lines().find_map(|line| line.strip_prefix("Tenant: ")).unwrap().to_string()
}

#[test]
fn what_lies_within_a_share_goes_before_what_lies_beyond_another() {
    assert_eq!(next("loud", "mild"), "mild");
    assert_eq!(next("stranger", "mild"), "mild", "a name that nobody has is no way round");
}

#[test]
fn within_a_share_the_order_is_that_of_their_coming() {
    assert_eq!(next("mild", "mild"), "mild");
    assert_eq!(next("mild", "loud"), "mild");
}
