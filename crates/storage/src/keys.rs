//! Keys of the stored entries: big-endian numbers, so that order of bytes is order of numbers.

/// Length of a key of two numbers, in bytes.
const PAIR_BYTES: usize = 12;

/// Key of an item: the number of its job or upload, then its index.
pub fn pair(number: u64, index: u32) -> [u8; PAIR_BYTES] {
    let mut key = [0u8; PAIR_BYTES];
    key[..8].copy_from_slice(&number.to_be_bytes());
    key[8..].copy_from_slice(&index.to_be_bytes());
    key
}

/// The number in a key.
pub fn number_of(key: &[u8]) -> Option<u64> {
    Some(u64::from_be_bytes(key.get(..8)?.try_into().ok()?))
}
