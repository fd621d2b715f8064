//! Text of finished items, compressed: results are kept for minutes and read a few times.

use std::cell::RefCell;

use borsh::{BorshDeserialize, BorshSerialize};

/// Level of compression: the quickest that codes entropy.
const LEVEL: i32 = 1;

thread_local! {
    /// Contexts are large and made once for each thread.
    static COMPRESSOR: RefCell<Option<zstd::bulk::Compressor<'static>>> =
        RefCell::new(zstd::bulk::Compressor::new(LEVEL).ok());
}

/// A text as it is held.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PackedText {
    /// As it is: compressing would not make it shorter.
    Plain(String),
    /// Compressed.
    Compressed {
        /// Bytes of the text.
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

    /// The text.
    pub fn unpack(&self) -> String {
        match self {
            Self::Plain(text) => text.clone(),
            Self::Compressed { length, bytes } => {
                // What was packed here, or came checksummed from where it was packed, unpacks.
                let text = zstd::bulk::decompress(bytes, *length as usize).expect("a packed text");
                String::from_utf8(text).expect("a packed text")
            }
        }
    }

    /// Bytes of the text itself.
    pub fn text_bytes(&self) -> usize {
        match self {
            Self::Plain(text) => text.len(),
            Self::Compressed { length, .. } => *length as usize,
        }
    }

    /// Bytes that it takes.
    pub fn held_bytes(&self) -> usize {
        match self {
            Self::Plain(text) => text.len(),
            Self::Compressed { bytes, .. } => bytes.len(),
        }
    }
}
