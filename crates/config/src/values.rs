//! Parses values that files hold as text: quantities with units, names, addresses, paths, ids and digests.

use std::net::SocketAddr;

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Longest path of a socket or folder, in bytes: Unix socket addresses hold little more.
const MAX_PATH_BYTES: usize = 100;
/// Exclusive upper bound of account ids.
const ACCOUNT_LIMIT: u64 = 1 << 33;
/// Longest time, a day, in microseconds.
const MAX_TIME_MICROS: f64 = 86_400e6;
/// Highest rate, in units per second.
const MAX_RATE: f64 = 1e9;
/// Largest amount of memory, in bytes (1 TiB).
const MAX_MEMORY_BYTES: u64 = 1 << 40;

/// Splits a text into a decimal number without sign or exponent and the unit after it.
fn split_unit(text: &str) -> Option<(f64, &str)> {
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    let plain = number.starts_with(|c: char| c.is_ascii_digit()) && number.len() <= 20;
    Some((
        number
            .parse::<f64>()
            .ok()
            .filter(|n| plain && n.is_finite())?,
        unit.trim_start(),
    ))
}

/// Parses a time, such as `250ms`, to microseconds.
///
/// # Errors
///
/// Describes why the text is invalid.
pub fn time(text: &str) -> Result<u64, String> {
    let expected = "a span of time is written like \"250ms\", \"1.5s\", \"2m\" or \"1h\"";
    let (number, unit) = split_unit(text).ok_or_else(|| format!("{expected}, not \"{text}\""))?;
    let factor = match unit {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "m" | "min" => 60e6,
        "h" => 3_600e6,
        "" => return Err(format!("\"{text}\" has no unit: {expected}")),
        _ => return Err(format!("\"{unit}\" is no unit of time: {expected}")),
    };
    let micros = number * factor;
    if micros > MAX_TIME_MICROS {
        return Err(format!("\"{text}\" is longer than a day"));
    }
    Ok(micros.round() as u64)
}

/// Parses a rate, such as `360/min`, to units per second.
///
/// # Errors
///
/// Describes why the text is invalid.
pub fn rate(text: &str) -> Result<f64, String> {
    let expected = "a rate is written like \"6/s\", \"360/min\" or \"21600/h\"";
    let (number, unit) = split_unit(text).ok_or_else(|| format!("{expected}, not \"{text}\""))?;
    let span = match unit.strip_prefix('/').map(str::trim) {
        Some("s") => 1.0,
        Some("min" | "m") => 60.0,
        Some("h") => 3_600.0,
        Some(other) => {
            return Err(format!(
                "\"{other}\" is no time that a rate may have: {expected}"
            ))
        }
        None => return Err(format!("\"{text}\" does not say in what time: {expected}")),
    };
    let rate = number / span;
    if rate > MAX_RATE {
        return Err(format!("\"{text}\" is more than {MAX_RATE} a second"));
    }
    if rate <= 0.0 {
        return Err(format!("\"{text}\" lets nothing through"));
    }
    Ok(rate)
}

/// Parses an amount of memory, such as `48MiB`, to bytes.
///
/// # Errors
///
/// Describes why the text is invalid.
pub fn size(text: &str) -> Result<u64, String> {
    let expected = "an amount of memory is written like \"48MiB\" or \"1GiB\"";
    let (number, unit) = split_unit(text).ok_or_else(|| format!("{expected}, not \"{text}\""))?;
    let factor = match unit {
        "KiB" => 1u64 << 10,
        "MiB" => 1 << 20,
        "GiB" => 1 << 30,
        "KB" | "kB" | "MB" | "GB" => {
            return Err(format!("\"{unit}\" is read in two ways: {expected}"))
        }
        "" => return Err(format!("\"{text}\" has no unit: {expected}")),
        _ => return Err(format!("\"{unit}\" is no unit of memory: {expected}")),
    };
    let bytes = number * factor as f64;
    if number.fract() != 0.0 || bytes > MAX_MEMORY_BYTES as f64 {
        return Err(format!("\"{text}\" is no whole amount up to 1024GiB"));
    }
    Ok(bytes as u64)
}

/// Whether a text is a valid name: up to 64 ASCII letters, digits, dots, dashes and underscores, beginning with a
/// letter or a digit.
pub fn is_name(text: &str) -> bool {
    let mut bytes = text.bytes();
    text.len() <= MAX_NAME_BYTES
        && bytes.next().is_some_and(|b| b.is_ascii_alphanumeric())
        && bytes.all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_'))
}

/// Parses an IP address with a port other than 0.
///
/// # Errors
///
/// Describes why the text is invalid.
pub fn address(text: &str) -> Result<SocketAddr, String> {
    let address = text.parse::<SocketAddr>();
    let address = address.map_err(|_| {
        let name = text.contains(|c: char| c.is_ascii_alphabetic()) && !text.contains('[');
        let why = if name {
            "; there are no name look-ups"
        } else {
            ""
        };
        format!("an address is written like \"127.0.0.1:7600\", not \"{text}\"{why}")
    })?;
    if address.port() == 0 {
        return Err(format!("\"{text}\" has port 0, which is none"));
    }
    Ok(address)
}

/// Where a sidecar accepts client connections.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Listener {
    /// A loopback address.
    Tcp(SocketAddr),
    /// The path of a Unix socket.
    Unix(String),
}

impl std::fmt::Display for Listener {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Listener::Tcp(at) => write!(f, "{at}"),
            Listener::Unix(path) => write!(f, "unix:{path}"),
        }
    }
}

/// Checks that a text is an absolute path of a socket or folder.
///
/// # Errors
///
/// Describes why the text is invalid.
pub fn path(text: &str) -> Result<(), String> {
    if !text.starts_with('/') || text.ends_with('/') {
        return Err(format!(
            "\"{text}\" is no absolute path of a socket or folder"
        ));
    }
    if text.len() > MAX_PATH_BYTES || text.contains('\0') {
        return Err(format!(
            "a path of a socket or folder has {MAX_PATH_BYTES} bytes at most"
        ));
    }
    Ok(())
}

/// Parses a listener: a loopback address, or `unix:` and a path.
///
/// # Errors
///
/// Describes why the text is invalid.
pub fn listener(text: &str) -> Result<Listener, String> {
    if let Some(at) = text.strip_prefix("unix:") {
        path(at)?;
        return Ok(Listener::Unix(at.into()));
    }
    let address = address(text)?;
    if !address.ip().is_loopback() {
        return Err(format!(
            "\"{text}\" is not on the loopback: others than the application could come in"
        ));
    }
    Ok(Listener::Tcp(address))
}

/// Checks an Ed25519 public key, 64 hex digits.
///
/// # Errors
///
/// Describes why the text is invalid.
pub fn public_key(text: &str) -> Result<String, String> {
    wrenfork_identity::trust::parse_public_key(text)
        .map(|_| text.to_string())
        .ok_or_else(|| "this is no public key of Ed25519: 64 hex digits in lower case".to_string())
}

/// Checks a SHA-256 digest, 64 hex digits.
///
/// # Errors
///
/// Describes why the text is invalid.
pub fn digest(text: &str) -> Result<String, String> {
    let is_hex = text.len() == 64
        && text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    is_hex
        .then(|| text.to_string())
        .ok_or_else(|| "this is no SHA-256: 64 hex digits in lower case".to_string())
}

/// Parses an RFC 3339 time in UTC to seconds of Unix time.
///
/// # Errors
///
/// Describes why the text is invalid.
pub fn moment(text: &str) -> Result<u64, String> {
    wrenfork_identity::token::parse_time(text)
        .ok_or_else(|| format!("a moment is written like \"2026-12-01T00:00:00Z\", not \"{text}\""))
}

/// Parses an account id, 16 hex digits.
///
/// # Errors
///
/// Describes why the text is invalid.
pub fn account(text: &str) -> Result<u64, String> {
    let is_hex = text.len() == 16
        && text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    let number = u64::from_str_radix(text, 16).ok().filter(|_| is_hex);
    let number = number.ok_or_else(|| {
        format!(
            "an account is 16 hex digits in lower case, like \"00000000000004d2\", not \"{text}\""
        )
    })?;
    if number >= ACCOUNT_LIMIT {
        return Err(format!("\"{text}\" is not below 2^33"));
    }
    Ok(number)
}

/// Parses a file mode, such as `0660`: the owner can read and write, nobody can execute.
///
/// # Errors
///
/// Describes why the text is invalid.
pub fn mode(text: &str) -> Result<u32, String> {
    let digits = text.len() == 4 && text.starts_with('0');
    let mode = u32::from_str_radix(text, 8)
        .ok()
        .filter(|m| digits && m & 0o600 == 0o600 && m & 0o111 == 0);
    mode.ok_or_else(|| {
        format!("a mode is written like \"0600\" or \"0660\", with the owner's reading and writing, not \"{text}\"")
    })
}

/// Formats a rate in units per second, such as `6/s`.
pub fn show_rate(rate: f64) -> String {
    let text = format!("{rate:.3}");
    format!("{}/s", text.trim_end_matches('0').trim_end_matches('.'))
}

/// Formats a time in microseconds, such as `250ms`.
pub fn show_time(micros: u64) -> String {
    match micros {
        t if t >= 1_000_000 => format!("{}s", t as f64 / 1e6),
        t if t >= 1_000 => format!("{}ms", t as f64 / 1e3),
        t => format!("{t}us"),
    }
}

#[cfg(test)]
mod tests;
