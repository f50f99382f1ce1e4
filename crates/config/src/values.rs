//! Values that are written as text with a unit, and names.

use std::net::SocketAddr;

const MOST_NAME: usize = 64;
/// The longest path of a socket.
const MOST_PATH: usize = 100;
/// Accounts are numbers below this.
const MOST_ACCOUNT: u64 = 1 << 33;
/// The longest span, a day, and the largest rate and amount of memory that make sense.
const LONGEST: f64 = 86_400e6;
const MOST_RATE: f64 = 1e9;
const MOST_MEMORY: u64 = 1 << 40;

/// A number in plain digits, with or without a fraction, and what stands behind it.
fn split(text: &str) -> Option<(f64, &str)> {
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

/// A span of time in microseconds.
///
/// # Errors
///
/// With what is wrong, in words.
pub fn time(text: &str) -> Result<u64, String> {
    let form = "a span of time is written like \"250ms\", \"1.5s\", \"2m\" or \"1h\"";
    let (number, unit) = split(text).ok_or_else(|| format!("{form}, not \"{text}\""))?;
    let factor = match unit {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "m" | "min" => 60e6,
        "h" => 3_600e6,
        "" => return Err(format!("\"{text}\" has no unit: {form}")),
        _ => return Err(format!("\"{unit}\" is no unit of time: {form}")),
    };
    let micros = number * factor;
    if micros > LONGEST {
        return Err(format!("\"{text}\" is longer than a day"));
    }
    Ok(micros.round() as u64)
}

/// A rate in units a second.
///
/// # Errors
///
/// With what is wrong, in words.
pub fn rate(text: &str) -> Result<f64, String> {
    let form = "a rate is written like \"6/s\", \"360/min\" or \"21600/h\"";
    let (number, unit) = split(text).ok_or_else(|| format!("{form}, not \"{text}\""))?;
    let span = match unit.strip_prefix('/').map(str::trim) {
        Some("s") => 1.0,
        Some("min" | "m") => 60.0,
        Some("h") => 3_600.0,
        Some(other) => {
            return Err(format!(
                "\"{other}\" is no time that a rate may have: {form}"
            ))
        }
        None => return Err(format!("\"{text}\" does not say in what time: {form}")),
    };
    let rate = number / span;
    if rate > MOST_RATE {
        return Err(format!("\"{text}\" is more than {MOST_RATE} a second"));
    }
    if rate <= 0.0 {
        return Err(format!("\"{text}\" lets nothing through"));
    }
    Ok(rate)
}

/// Bytes of memory.
///
/// # Errors
///
/// With what is wrong, in words.
pub fn size(text: &str) -> Result<u64, String> {
    let form = "an amount of memory is written like \"48MiB\" or \"1GiB\"";
    let (number, unit) = split(text).ok_or_else(|| format!("{form}, not \"{text}\""))?;
    let factor = match unit {
        "KiB" => 1u64 << 10,
        "MiB" => 1 << 20,
        "GiB" => 1 << 30,
        "KB" | "kB" | "MB" | "GB" => return Err(format!("\"{unit}\" is read in two ways: {form}")),
        "" => return Err(format!("\"{text}\" has no unit: {form}")),
        _ => return Err(format!("\"{unit}\" is no unit of memory: {form}")),
    };
    let bytes = number * factor as f64;
    if number.fract() != 0.0 || bytes > MOST_MEMORY as f64 {
        return Err(format!("\"{text}\" is no whole amount up to 1024GiB"));
    }
    Ok(bytes as u64)
}

/// Whether a text can be a name.
pub fn is_name(text: &str) -> bool {
    let mut bytes = text.bytes();
    text.len() <= MOST_NAME
        && bytes.next().is_some_and(|b| b.is_ascii_alphanumeric())
        && bytes.all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_'))
}

/// An address and port.
///
/// # Errors
///
/// With what is wrong, in words.
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

/// Where a sidecar listens.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Listener {
    /// On the loopback.
    Tcp(SocketAddr),
    /// At a path.
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

/// Checks the path of a socket, or of a folder.
///
/// # Errors
///
/// With what is wrong, in words.
pub fn path(text: &str) -> Result<(), String> {
    if !text.starts_with('/') || text.ends_with('/') {
        return Err(format!(
            "\"{text}\" is no absolute path of a socket or folder"
        ));
    }
    if text.len() > MOST_PATH || text.contains('\0') {
        return Err(format!(
            "a path of a socket or folder has {MOST_PATH} bytes at most"
        ));
    }
    Ok(())
}

/// Where a sidecar may listen.
///
/// # Errors
///
/// With what is wrong, in words.
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

/// The public half of an Ed25519 pair.
///
/// # Errors
///
/// With what is wrong, in words.
pub fn public_key(text: &str) -> Result<String, String> {
    wrenfork_identity::trust::parse_public_key(text)
        .map(|_| text.to_string())
        .ok_or_else(|| "this is no public key of Ed25519: 64 hex digits in lower case".to_string())
}

/// The SHA-256 of a file.
///
/// # Errors
///
/// With what is wrong, in words.
pub fn digest(text: &str) -> Result<String, String> {
    let hex = text.len() == 64
        && text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    hex.then(|| text.to_string())
        .ok_or_else(|| "this is no SHA-256: 64 hex digits in lower case".to_string())
}

/// A moment, in seconds of Unix time.
///
/// # Errors
///
/// With what is wrong, in words.
pub fn moment(text: &str) -> Result<u64, String> {
    wrenfork_identity::token::parse_time(text)
        .ok_or_else(|| format!("a moment is written like \"2026-12-01T00:00:00Z\", not \"{text}\""))
}

/// An account's number.
///
/// # Errors
///
/// With what is wrong, in words.
pub fn account(text: &str) -> Result<u64, String> {
    let hex = text.len() == 16
        && text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    let number = u64::from_str_radix(text, 16).ok().filter(|_| hex);
    let number = number.ok_or_else(|| {
        format!(
            "an account is 16 hex digits in lower case, like \"00000000000004d2\", not \"{text}\""
        )
    })?;
    if number >= MOST_ACCOUNT {
        return Err(format!("\"{text}\" is not below 2^33"));
    }
    Ok(number)
}

/// A file's mode.
///
/// # Errors
///
/// With what is wrong, in words.
pub fn mode(text: &str) -> Result<u32, String> {
    let digits = text.len() == 4 && text.starts_with('0');
    let mode = u32::from_str_radix(text, 8)
        .ok()
        .filter(|m| digits && m & 0o600 == 0o600 && m & 0o111 == 0);
    mode.ok_or_else(|| {
        format!("a mode is written like \"0600\" or \"0660\", with the owner's reading and writing, not \"{text}\"")
    })
}

/// A rate as people write it.
pub fn show_rate(rate: f64) -> String {
    let text = format!("{rate:.3}");
    format!("{}/s", text.trim_end_matches('0').trim_end_matches('.'))
}

/// A span of time as people write it.
pub fn show_time(micros: u64) -> String {
    match micros {
        t if t >= 1_000_000 => format!("{}s", t as f64 / 1e6),
        t if t >= 1_000 => format!("{}ms", t as f64 / 1e3),
        t => format!("{t}us"),
    }
}

#[cfg(test)]
mod tests;
