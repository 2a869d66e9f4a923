//! Decoding the project's own TOML configuration: its defaults, and its errors, each with its line.

use sparlug::settings::{Effect, Group};
use sparlug::time::Span;
use sparlug_setup::native::{decode, BackendSource, LogFormat};

const MINIMAL: &str = r#"name = "n1"

[[listener]]
address = "127.0.0.1:8080"

[discovery]
agent = "127.0.0.1:8500"

[tariff.check-free]
goal = "210ms"
cut_off = "530ms"
effect = "reissuable"
"#;

fn diagnostics(text: &str) -> Vec<String> {
    let diagnostics = decode(text).map(|_| ()).unwrap_err();
    diagnostics.iter().map(|diagnostic| diagnostic.to_string()).collect()
}

#[test]
fn minimal_configuration_uses_defaults() {
    let config = decode(MINIMAL).unwrap_or_else(|diagnostics| panic!("{diagnostics:?}"));
    assert_eq!(config.backend_source, BackendSource::Agent("127.0.0.1:8500".parse().unwrap()));
    assert_eq!((config.sockets, config.memory_mb, config.log_format), (1024, 192, LogFormat::Text));
    assert_eq!(config.setup.class_names, ["check-free"]);
    let settings = &config.setup.settings;
    assert_eq!((settings.max_attempts, settings.instances, settings.max_backoff), (3, 1, None));
    assert_eq!(settings.classes[0].target, Span::from_millis(210));
    assert_eq!(settings.classes[0].effect, Effect::Safe);
}

#[test]
fn decodes_static_backends_and_keyed_classes() {
    let text = MINIMAL.replace("agent = \"127.0.0.1:8500\"", "")
        + "effect_of = 1\n[[discovery.backend]]\nname = \"s-1\"\naddress = \"127.0.0.2:80\"\nzone = \"b\"\nsize = 2.0\n\
           [tier]\nzones = [\"a\", \"b\"]\nzone = \"b\"\n[tariff.mark]\ngoal = \"1s\"\ncut_off = \"2s\"\n\
           effect = \"numbered\"\ngroup = \"pod\"\nwindow = \"3s\"\n";
    assert_eq!(diagnostics(&text).len(), 1, "{:?}", diagnostics(&text));
    let config =
        decode(&text.replace("effect_of = 1\n", "")).unwrap_or_else(|diagnostics| panic!("{diagnostics:?}"));
    let BackendSource::Static(backends) = &config.backend_source else {
        panic!("agent instead of static backends")
    };
    assert_eq!((backends[0].name.as_str(), backends[0].zone, backends[0].size), ("s-1", Some(1), 2.0));
    let window = Span::from_millis(3000);
    assert_eq!(config.setup.settings.classes[1].effect, Effect::Keyed { group: Group::Pod, window });
}

#[test]
fn each_error_has_its_line_and_what_was_expected() {
    let with = |more: &str| MINIMAL.to_string() + more;
    let cases = [
        (MINIMAL.replace("name", "nmae"), "1: unknown field `nmae`"),
        (
            MINIMAL.replace("127.0.0.1:8080", "127.0.0.1"),
            "4: listener.address: \"127.0.0.1\": wanted an address and a port",
        ),
        (MINIMAL.replace("210ms", "900ms"), "9: tariff.check-free.goal: is longer than the cut-off"),
        (MINIMAL.replace("530ms", "530"), "11: tariff.check-free.cut_off: \"530\" is not a time span"),
        (
            MINIMAL.replace("reissuable", "safe"),
            "12: tariff.check-free.effect: \"safe\": wanted reissuable, numbered or at-most-once",
        ),
        (
            MINIMAL.replace("reissuable", "numbered"),
            "9: tariff.check-free: a numbered effect needs group and window",
        ),
        (MINIMAL.replace("effect = \"reissuable\"", ""), "9: tariff.check-free.effect: missing"),
        (
            MINIMAL.replace("agent = ", "# "),
            "6: discovery: wanted an agent or at least one [[discovery.backend]]",
        ),
        (MINIMAL.replace("[[listener]]\naddress = \"127.0.0.1:8080\"", ""), "1: listener: missing"),
        (with("[limits]\nsockets = 3\n"), "14: limits.sockets: 3: wanted a whole number from 64"),
        (with("[backends]\ncold_share = 7.0\n"), "14: backends.cold_share: 7: wanted a number from"),
        (with("[tier]\nzone = \"x\"\n"), "14: tier.zone: \"x\": wanted one of tier.zones: local"),
        (
            with("[tier]\nproxies = 2\npeers = [\"127.0.0.1:9601\"]\n"),
            "15: tier.peers: 1 addresses, wanted one for each of tier.proxies = 2",
        ),
        (
            with("[tier]\nproxies = 2\npeers = [\"a:1\", \"b\"]\n"),
            "15: tier.peers: \"a:1\": wanted an address and a port",
        ),
        (
            with("[tier]\nproxies = 2\npeers = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n"),
            "15: tier.peers: \"127.0.0.1:1\" is listed twice",
        ),
        (
            with("[tier]\npeers = [\"127.0.0.1:0\"]\n"),
            "14: tier.peers: \"127.0.0.1:0\": wanted a port above 0",
        ),
        (with("[backends]\nremember_keys = 1\n"), "14: "),
        (with("[log]\nformat = \"xml\"\n"), "14: log.format: \"xml\": wanted text or json"),
        ("name = \"x\" =\n".to_string() + MINIMAL, "1: "),
    ];
    for (text, expected) in cases {
        let reported = diagnostics(&text);
        assert!(
            reported.iter().any(|diagnostic| diagnostic.starts_with(expected)),
            "{reported:?} lacks {expected:?}"
        );
    }
}

#[test]
fn reports_all_errors_at_once() {
    let text = MINIMAL
        .replace("name", "nmae")
        .replace("210ms", "x")
        .replace("8080", "port")
        .replace("reissuable", "no")
        + "[limit]\nsockets = 1\n[backends]\nidle = 4\n";
    let reported = diagnostics(&text);
    let lines: Vec<&str> = reported.iter().filter_map(|diagnostic| diagnostic.split(':').next()).collect();
    assert_eq!(lines, ["1", "4", "10", "12", "13", "16"], "{reported:#?}");
}

#[test]
fn key_affinity_and_peer_messages_are_off_by_default() {
    let config = decode(MINIMAL).unwrap_or_else(|diagnostics| panic!("{diagnostics:?}"));
    let settings = &config.setup.settings;
    assert_eq!(
        (settings.key_affinity, settings.peer_messages, config.setup.peer_addresses.len()),
        (false, false, 0)
    );
    let text = MINIMAL.to_string()
        + "[tier]\nproxies = 2\nordinal = 1\npeers = [\"127.0.0.1:9601\", \"127.0.0.1:9602\"]\n\
           [backends]\nremember_keys = true\n";
    let config = decode(&text).unwrap_or_else(|diagnostics| panic!("{diagnostics:?}"));
    let settings = &config.setup.settings;
    assert_eq!(
        (settings.key_affinity, settings.peer_messages, config.setup.peer_addresses.len()),
        (true, true, 2)
    );
}

#[test]
fn platform_json_sets_key_affinity_and_peers() {
    let base = r#"{"tier":0,"balancers":2,"roundMs":1.0,"discovery":"pushed","tariffs":[],
        "allowed":{"maxForwards":2},"obligations":
        {"coldShare":0.3,"rampTimeMs":8000,"fallMultiple":3,"tipAfterMs":3000}"#;
    let plain = sparlug_setup::decode(format!("{base}}}").as_bytes()).unwrap();
    assert_eq!(
        (plain.settings.key_affinity, plain.settings.peer_messages, plain.peer_addresses.len()),
        (false, false, 0)
    );
    let more = r#","familyInfo":{"warmKeys":true},"peerAddresses":["127.0.0.1:9601","127.0.0.1:9602"]}"#;
    let full = base.replace("\"maxForwards\":2", "\"maxForwards\":2,\"peers\":true") + more;
    let full = sparlug_setup::decode(full.as_bytes()).unwrap();
    assert_eq!(
        (full.settings.key_affinity, full.settings.peer_messages, full.peer_addresses.len()),
        (true, true, 2)
    );
    let few = format!(r#"{base},"peerAddresses":["127.0.0.1:9601"]}}"#);
    assert!(sparlug_setup::decode(few.as_bytes()).unwrap_err().contains("1 peerAddresses for 2 balancers"));
}
