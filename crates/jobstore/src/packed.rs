//! Compressed text of finished items: results are retained for minutes and read a few times.

use std::cell::RefCell;

use borsh::{BorshDeserialize, BorshSerialize};

/// Compression level: the fastest one with entropy coding.
const LEVEL: i32 = 1;

thread_local! {
    /// Contexts are large and therefore created once per thread.
    static COMPRESSOR: RefCell<Option<zstd::bulk::Compressor<'static>>> =
        RefCell::new(zstd::bulk::Compressor::new(LEVEL).ok());
}

/// A text as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PackedText {
    /// Uncompressed, since compression would not make it shorter.
    Plain(String),
    /// Compressed.
    Compressed {
        /// Bytes of the uncompressed text.
        length: u32,
        /// The compressed bytes.
        bytes: Box<[u8]>,
    },
}

impl PackedText {
    /// Packs a text.
    pub fn pack(text: String) -> Self {
        let compressed = COMPRESSOR.with_borrow_mut(|compressor| {
            compressor.as_mut().and_then(|compressor| compressor.compress(text.as_bytes()).ok())
        });
        match compressed {
            Some(bytes) if bytes.len() < text.len() => {
                Self::Compressed { length: text.len() as u32, bytes: bytes.into_boxed_slice() }
            }
            _ => Self::Plain(text),
        }
    }

    /// Returns the text.
    pub fn unpack(&self) -> String {
        match self {
            Self::Plain(text) => text.clone(),
            Self::Compressed { length, bytes } => {
                // Compressed by this process, or arrived checksummed from the one that did.
                let text =
                    zstd::bulk::decompress(bytes, *length as usize).expect("valid packed text");
                String::from_utf8(text).expect("valid packed text")
            }
        }
    }

    /// Bytes of the uncompressed text.
    pub fn text_bytes(&self) -> usize {
        match self {
            Self::Plain(text) => text.len(),
            Self::Compressed { length, .. } => *length as usize,
        }
    }

    /// Bytes of memory used.
    pub fn held_bytes(&self) -> usize {
        match self {
            Self::Plain(text) => text.len(),
            Self::Compressed { bytes, .. } => bytes.len(),
        }
    }
}
