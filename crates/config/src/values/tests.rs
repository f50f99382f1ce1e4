use super::{account, address, is_name, listener, mode, rate, size, time, Listener};

#[test]
fn units_are_parsed_and_missing_units_are_rejected() {
    assert_eq!(time("250ms"), Ok(250_000));
    assert_eq!(time("1.5 s"), Ok(1_500_000));
    assert!(time("250").unwrap_err().contains("no unit"));
    assert!(time("-1s").is_err() && time("1e3s").is_err() && time("25h").is_err());
    assert_eq!(rate("360/min"), rate("6/s"));
    assert!(rate("6").unwrap_err().contains("in what time"));
    assert!(rate("0/s").is_err() && rate("6/day").is_err() && rate("1e9/s").is_err());
    assert_eq!(size("48MiB"), Ok(48 << 20));
    assert!(size("48MB").unwrap_err().contains("two ways"));
    assert!(size("1.5MiB").is_err());
}

#[test]
fn invalid_names_addresses_accounts_and_modes_are_rejected() {
    assert!(
        is_name("hall-a.1") && !is_name("") && !is_name("-a") && !is_name("a b") && !is_name("ä")
    );
    assert!(address("localhost:80")
        .unwrap_err()
        .contains("no name look-ups"));
    assert!(address("127.0.0.1:0").is_err());
    assert!(listener("10.0.0.1:80").unwrap_err().contains("loopback"));
    assert_eq!(
        listener("unix:/run/a.sock"),
        Ok(Listener::Unix("/run/a.sock".into()))
    );
    assert!(listener("unix:run/a").is_err());
    assert_eq!(account("00000000000004d2"), Ok(1234));
    assert!(account("4d2").is_err() && account("00000000000004D2").is_err());
    assert!(account("ffffffffffffffff").unwrap_err().contains("2^33"));
    assert_eq!(mode("0660"), Ok(0o660));
    assert!(mode("660").is_err() && mode("0060").is_err() && mode("0777").is_err());
}
