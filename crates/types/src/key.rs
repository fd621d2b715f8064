//! API keys: each belongs to one partner and one role.

use sha2::{Digest, Sha256};

use crate::PartnerName;

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

/// One line of a key file.
#[derive(Clone, Debug)]
struct KeyEntry {
    identity: Identity,
    digest: [u8; 32],
}

/// The keys that a port accepts.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    entries: Vec<KeyEntry>,
}

impl KeyRing {
    /// Parses a key file: one `PARTNER ROLE SHA256-HEX` a line; `#` starts a comment.
    pub fn parse(text: &str) -> Result<Self, String> {
        let lines = text.lines().enumerate();
        let meaningful = lines.filter(|(_, l)| !l.trim().is_empty() && !l.trim().starts_with('#'));
        let entries: Result<Vec<_>, _> =
            meaningful.map(|(index, line)| parse_line(index + 1, line)).collect();
        Ok(Self { entries: entries? })
    }

    /// The identity that `secret` belongs to. Every entry is compared, whichever matches.
    pub fn identify(&self, secret: &str) -> Option<Identity> {
        let digest = digest_of(secret);
        let mut found = None;
        for entry in &self.entries {
            if entry.digest == digest {
                found = Some(entry.identity.clone());
            }
        }
        found
    }
}

/// SHA-256 of a secret, as stored in key files.
pub fn digest_of(secret: &str) -> [u8; 32] {
    Sha256::digest(secret.as_bytes()).into()
}

/// The hexadecimal form of a secret's digest.
pub fn digest_hex(secret: &str) -> String {
    digest_of(secret).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn parse_line(number: usize, line: &str) -> Result<KeyEntry, String> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let [partner, role, hex] = fields[..] else {
        return Err(format!("line {number}: want PARTNER ROLE SHA256-HEX"));
    };
    let role = match role {
        "caller" => Role::Caller,
        "operator" => Role::Operator,
        other => {
            return Err(format!("line {number}: role {other:?}, give caller or operator"));
        }
    };
    let digest = parse_hex(hex)
        .ok_or_else(|| format!("line {number}: digest must be 64 hexadecimal digits"))?;
    Ok(KeyEntry { identity: Identity { partner: PartnerName::new(partner), role }, digest })
}

fn parse_hex(hex: &str) -> Option<[u8; 32]> {
    if hex.len() != 64 || !hex.is_ascii() {
        return None;
    }
    let mut digest = [0u8; 32];
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}
