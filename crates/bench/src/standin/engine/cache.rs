//! KV block memory with prefix caching and LRU eviction.

use std::collections::{BTreeSet, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Identity of a block: the hash of the prompt up to the end of the block.
pub type BlockHash = u64;

/// A change of the cache that an engine publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// A block is cached and can be reused.
    Stored(BlockHash),
    /// A block was evicted.
    Evicted(BlockHash),
}

#[derive(Clone, Copy, Debug)]
struct Block {
    users: u32,
    used_at: u64,
}

/// The KV block memory of one engine.
#[derive(Debug)]
pub struct KvCache {
    capacity: usize,
    /// Number of blocks of generated text; these are not shared.
    private_blocks: usize,
    blocks: HashMap<BlockHash, Block>,
    /// Blocks without users, ordered by their last use.
    idle: BTreeSet<(u64, BlockHash)>,
    /// Logical clock of block uses.
    tick: u64,
    events: Vec<CacheEvent>,
}

impl KvCache {
    /// An empty memory with a capacity of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            private_blocks: 0,
            blocks: HashMap::new(),
            idle: BTreeSet::new(),
            tick: 0,
            events: Vec::new(),
        }
    }

    /// Hashes of the full blocks of a prompt; a partial last block is not cached.
    pub fn prompt_blocks(prompt: &[u8], block_bytes: usize) -> Vec<BlockHash> {
        let mut hash = 0;
        let full_blocks = prompt.chunks_exact(block_bytes.max(1));
        full_blocks
            .map(|block| {
                hash = xxh3_64_with_seed(block, hash);
                hash
            })
            .collect()
    }

    /// Number of leading blocks that are cached.
    pub fn cached_prefix(&self, hashes: &[BlockHash]) -> usize {
        hashes.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    /// Acquires all blocks, evicting idle ones, or none and returns `false` if memory is short.
    pub fn acquire(&mut self, hashes: &[BlockHash]) -> bool {
        let missing = hashes.iter().filter(|hash| !self.blocks.contains_key(hash)).count();
        let is_cached_idle =
            |hash: &&BlockHash| self.blocks.get(hash).is_some_and(|b| b.users == 0);
        let reused_idle = hashes.iter().filter(is_cached_idle).count();
        let evictable = self.idle.len() - reused_idle;
        if self.used() + missing > self.capacity + evictable {
            return false;
        }
        for hash in hashes {
            self.use_block(*hash);
        }
        self.evict_to(self.capacity);
        true
    }

    fn use_block(&mut self, hash: BlockHash) {
        self.tick += 1;
        let tick = self.tick;
        if let Some(block) = self.blocks.get_mut(&hash) {
            if block.users == 0 {
                self.idle.remove(&(block.used_at, hash));
            }
            block.users += 1;
            block.used_at = tick;
            return;
        }
        self.blocks.insert(hash, Block { users: 1, used_at: tick });
        self.events.push(CacheEvent::Stored(hash));
    }

    /// Releases blocks; they stay cached until evicted.
    pub fn release(&mut self, hashes: &[BlockHash]) {
        for hash in hashes {
            if let Some(block) = self.blocks.get_mut(hash) {
                block.users = block.users.saturating_sub(1);
                if block.users == 0 {
                    self.idle.insert((block.used_at, *hash));
                }
            }
        }
    }

    /// Acquires one block for generated text, evicting an idle block if necessary.
    pub fn acquire_private(&mut self) -> bool {
        if self.used() + 1 > self.capacity && !self.evict_one() {
            return false;
        }
        self.private_blocks += 1;
        true
    }

    /// Releases blocks of generated text.
    pub fn release_private(&mut self, blocks: usize) {
        self.private_blocks = self.private_blocks.saturating_sub(blocks);
    }

    /// Stores blocks computed by another engine, as far as they fit. Returns how many were stored.
    pub fn import(&mut self, hashes: &[BlockHash]) -> usize {
        let missing: Vec<BlockHash> =
            hashes.iter().filter(|hash| !self.blocks.contains_key(hash)).copied().collect();
        let stored = missing.iter().take_while(|hash| self.import_one(**hash)).count();
        self.evict_to(self.capacity);
        stored
    }

    fn import_one(&mut self, hash: BlockHash) -> bool {
        if self.used() >= self.capacity && !self.evict_one() {
            return false;
        }
        self.use_block(hash);
        self.release(&[hash]);
        true
    }

    fn evict_to(&mut self, capacity: usize) {
        while self.used() > capacity && self.evict_one() {}
    }

    fn evict_one(&mut self) -> bool {
        let Some((_, hash)) = self.idle.pop_first() else { return false };
        self.blocks.remove(&hash);
        self.events.push(CacheEvent::Evicted(hash));
        true
    }

    /// Blocks in memory, including idle ones.
    pub fn used(&self) -> usize {
        self.blocks.len() + self.private_blocks
    }

    /// Removes and returns the changes since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }
}
