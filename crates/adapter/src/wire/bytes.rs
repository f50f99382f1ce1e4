//! Reads little-endian values at fixed offsets of a record.

use wrenfork_decision::BackendId;

/// Size of a backend id in a record, in bytes.
pub(super) const BACKEND_BYTES: usize = 6;

fn array<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&bytes[at..at + N]);
    out
}

pub(super) fn u16_at(bytes: &[u8], at: usize) -> u16 {
    u16::from_le_bytes(array(bytes, at))
}

pub(super) fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(array(bytes, at))
}

pub(super) fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(array(bytes, at))
}

/// Reads a 32-bit float.
pub(super) fn f32_at(bytes: &[u8], at: usize) -> f64 {
    f64::from(f32::from_le_bytes(array(bytes, at)))
}

pub(super) fn backend_at(bytes: &[u8], at: usize) -> BackendId {
    let mut padded = [0; 8];
    padded[..BACKEND_BYTES].copy_from_slice(&bytes[at..at + BACKEND_BYTES]);
    BackendId(u64::from_le_bytes(padded))
}
