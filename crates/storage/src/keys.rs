//! Keys of the stored entries. Numbers are big-endian, so that keys sort in numeric order.

/// Length of an item's key: a 64-bit number and a 32-bit index.
const ITEM_KEY_BYTES: usize = 12;

/// Key of an item: the number of its job or upload, followed by its index.
pub fn item_key(number: u64, index: u32) -> [u8; ITEM_KEY_BYTES] {
    let mut key = [0u8; ITEM_KEY_BYTES];
    key[..8].copy_from_slice(&number.to_be_bytes());
    key[8..].copy_from_slice(&index.to_be_bytes());
    key
}

/// The job or upload number at the start of a key, or `None` if the key is too short.
pub fn leading_number(key: &[u8]) -> Option<u64> {
    Some(u64::from_be_bytes(key.get(..8)?.try_into().ok()?))
}
