//! KV blocks in limited memory, with prefix caching and eviction of the least recently used.

use std::collections::{BTreeSet, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Identity of a block: the hash of all text up to its end.
pub type BlockHash = u64;

/// A change of the cache, as an engine publishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// A block can be reused from now on.
    Stored(BlockHash),
    /// A block is gone.
    Evicted(BlockHash),
}

#[derive(Clone, Copy, Debug)]
struct Block {
    users: u32,
    used_at: u64,
}

/// The block memory of one engine.
#[derive(Debug)]
pub struct KvCache {
    capacity: usize,
    /// Blocks of generated text, which are not shared.
    private_blocks: usize,
    blocks: HashMap<BlockHash, Block>,
    idle: BTreeSet<(u64, BlockHash)>,
    tick: u64,
    events: Vec<CacheEvent>,
}

impl KvCache {
    /// An empty memory of `capacity` blocks.
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

    /// Hashes of the whole blocks of a prompt.
    pub fn prompt_blocks(prompt: &[u8], block_bytes: usize) -> Vec<BlockHash> {
        let mut hash = 0;
        let whole = prompt.chunks_exact(block_bytes.max(1));
        whole
            .map(|block| {
                hash = xxh3_64_with_seed(block, hash);
                hash
            })
            .collect()
    }

    /// How many blocks from the first on are held.
    pub fn cached_prefix(&self, hashes: &[BlockHash]) -> usize {
        hashes.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    /// Takes blocks for a sequence, evicting idle ones. Takes nothing and returns `false` when
    /// the memory does not suffice.
    pub fn acquire(&mut self, hashes: &[BlockHash]) -> bool {
        let missing = hashes.iter().filter(|hash| !self.blocks.contains_key(hash)).count();
        let held_idle = |hash: &&BlockHash| self.blocks.get(hash).is_some_and(|b| b.users == 0);
        let reused_idle = hashes.iter().filter(held_idle).count();
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

    /// Gives blocks back; they stay cached until evicted.
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

    /// Takes one block of generated text.
    pub fn acquire_private(&mut self) -> bool {
        if self.used() + 1 > self.capacity && !self.evict_one() {
            return false;
        }
        self.private_blocks += 1;
        true
    }

    /// Gives back blocks of generated text.
    pub fn release_private(&mut self, blocks: usize) {
        self.private_blocks = self.private_blocks.saturating_sub(blocks);
    }

    /// Stores blocks computed elsewhere, as far as they fit. Returns how many were stored.
    pub fn import(&mut self, hashes: &[BlockHash]) -> usize {
        let fresh: Vec<BlockHash> =
            hashes.iter().filter(|hash| !self.blocks.contains_key(hash)).copied().collect();
        let stored = fresh.iter().take_while(|hash| self.import_one(**hash)).count();
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

    /// Blocks in memory, idle ones included.
    pub fn used(&self) -> usize {
        self.blocks.len() + self.private_blocks
    }

    /// Changes since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }
}
