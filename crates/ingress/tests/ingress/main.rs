//! The ingress seen through its sockets: the built binary with stand-in backends, discovery, peers and clients.

mod answers;
mod attempts;
mod clients;
mod connection_ends;
mod descriptors;
mod discovery;
mod peers;
mod reload;
mod shutdown;
mod support;

use support::setup;
use wrenfork_testbed::service_fixture::{call, free_address, serve, Backend, Ingress};

/// Starts the ingress with the command in deploy/balancer.toml, which `.ci/run` passes in `WRENFORK_RUN`.
#[test]
#[ignore = "needs the command in WRENFORK_RUN"]
fn the_deploy_command_starts() {
    let command = std::env::var("WRENFORK_RUN").expect("WRENFORK_RUN must hold the command");
    let command = format!("cd '{}/../..' && {command}", env!("CARGO_MANIFEST_DIR"));
    let backend = Backend::start(serve);
    let mut ingress = setup(&[&backend]).start_with(&command);
    assert_eq!(
        ingress.client().ask(&call("quote", "q1", 900)),
        "value of q1"
    );
    ingress.signal("TERM");
    assert_eq!(ingress.exit().code(), Some(0));
}

#[test]
fn an_invalid_configuration_is_refused_with_its_key() {
    let at = free_address();
    let good = setup(&[]).config(at);
    for (from, to, key) in [
        (
            "\"quota_rate\":1.5",
            "\"quota_rate\":\"much\"",
            "contracts.0.quota_rate",
        ),
        ("\"tick_us\":4000,", "", "tick_us"),
        ("\"seed\":\"8c", "\"seed\":\"x", "seed"),
        ("\"sockets\":1024", "\"sockets\":3", "limits.sockets"),
        ("\"memory_mb\":192", "\"memory_mb\":-1", "limits.memory_mb"),
        ("\"listen\":\"", "\"listen\":\"x", "listen"),
        ("\"known\":{\"index\":1,", "\"known\":{", "known"),
        ("\"peers\":false", "\"peers\":true", "peers"),
        ("{", "", "JSON"),
    ] {
        let mut ingress = Ingress::run(
            &good.replacen(from, to, 1),
            at,
            concat!("exec '", env!("CARGO_BIN_EXE_wrenfork"), "'"),
        );
        assert_eq!(ingress.exit().code(), Some(1), "{key}");
        let log = ingress.log();
        assert!(
            log.contains(key) && log.lines().count() == 1,
            "the log must be one line that names {key}: {log}"
        );
    }
}
