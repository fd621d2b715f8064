//! API keys. Only digests are stored; a key itself is dropped as soon as it has been compared.

use std::collections::HashMap;
use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::PartnerName;

/// Bytes of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a key; redacted in `Debug`, since a logged digest would link lines of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses 64 hexadecimal digits.
    pub fn parse(hex: &str) -> Option<Self> {
        if hex.len() != 2 * DIGEST_BYTES || !hex.is_ascii() {
            return None;
        }
        let mut digest = [0u8; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&hex[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(Self(digest))
    }

    /// The hexadecimal form, as key files hold it.
    pub fn hex(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Compares in constant time.
    fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// Finds the owner of a key.
#[derive(Clone, Debug)]
pub struct KeyIndex<T> {
    owners: HashMap<KeyDigest, T>,
}

impl<T> Default for KeyIndex<T> {
    fn default() -> Self {
        Self { owners: HashMap::new() }
    }
}

impl<T> KeyIndex<T> {
    /// Adds a key; returns whether it is new. An existing key keeps its owner.
    pub fn add(&mut self, key: KeyDigest, owner: T) -> bool {
        if self.owners.contains_key(&key) {
            return false;
        }
        self.owners.insert(key, owner);
        true
    }

    /// The owner of a key, looked up by digest: timing may reveal part of a digest, but no key.
    pub fn owner(&self, key: &str) -> Option<&T> {
        let digest = KeyDigest::of(key);
        let (held, owner) = self.owners.get_key_value(&digest)?;
        held.matches(&digest).then_some(owner)
    }
}

/// What a key permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Calls services and submits jobs.
    Caller,
    /// Applies and reads declarations.
    Operator,
}

/// Who a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The partner.
    pub partner: PartnerName,
    /// The role.
    pub role: Role,
}

/// The keys that an API port accepts.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    keys: KeyIndex<Identity>,
}

impl KeyRing {
    /// Parses a key file: one `PARTNER ROLE SHA256-HEX` per line; `#` starts a comment.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut ring = Self::default();
        let lines = text.lines().enumerate();
        let entries = lines.filter(|(_, l)| !l.trim().is_empty() && !l.trim().starts_with('#'));
        for (index, line) in entries {
            let number = index + 1;
            let (digest, identity) = parse_line(number, line)?;
            if !ring.keys.add(digest, identity) {
                return Err(format!("line {number}: duplicate of a key in an earlier line"));
            }
        }
        Ok(ring)
    }

    /// The identity that a key belongs to.
    pub fn identify(&self, key: &str) -> Option<Identity> {
        self.keys.owner(key).cloned()
    }
}

fn parse_line(number: usize, line: &str) -> Result<(KeyDigest, Identity), String> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let [partner, role, hex] = fields[..] else {
        return Err(format!("line {number}: expected PARTNER ROLE SHA256-HEX"));
    };
    let role = match role {
        "caller" => Role::Caller,
        "operator" => Role::Operator,
        other => {
            return Err(format!(
                "line {number}: unknown role {other:?}, expected caller or operator"
            ));
        }
    };
    let digest = KeyDigest::parse(hex)
        .ok_or_else(|| format!("line {number}: digest must be 64 hexadecimal digits"))?;
    Ok((digest, Identity { partner: PartnerName::new(partner), role }))
}
