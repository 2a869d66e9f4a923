//! Shares of tenants: what one sends beyond its own gives way to what others send within theirs.

mod helper;

use helper::{accept, answer, asks, backend, counted, message, request, settings, write, Proxy};

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
        let client = asks(&proxy, &of(floods));
        let mut conn = accept(&backend);
        message(&mut conn);
        out.push((client, conn));
    }
    let _first = asks(&proxy, &of(floods));
    while counted(&proxy, "taken") < 5 {}
    let _second = asks(&proxy, &of(waits));
    while counted(&proxy, "taken") < 6 {}
    assert_eq!(counted(&proxy, "forwards"), 4, "two wait");
    write(&mut out[0].1, &answer("200 OK", "Connection: close\r\n", "fine"));
    let text = message(&mut accept(&backend));
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
