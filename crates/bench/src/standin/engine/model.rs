//! Continuous batching as a pure model: iterations that take time and give tokens.

use std::collections::BTreeMap;

use super::cache::{BlockHash, CacheEvent, KvCache};
use super::parameters::EngineParameters;

/// Number of a sequence within an engine.
pub type SequenceNumber = u64;

/// A sequence to be generated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sequence {
    /// Prompt.
    pub prompt: Vec<u8>,
    /// Tokens to generate, those skipped included.
    pub max_tokens: u32,
    /// Tokens already generated elsewhere: computed as if they were prompt, and not emitted.
    pub resume_from_token: u32,
    /// Greater runs first.
    pub priority: i32,
}

#[derive(Debug)]
struct State {
    sequence: Sequence,
    blocks: Vec<BlockHash>,
    prompt_tokens: usize,
    /// Tokens still to be computed before the next token can be generated.
    prefill_left: usize,
    generated: u32,
    private_blocks: usize,
    running: bool,
}

impl State {
    fn done(&self) -> bool {
        self.generated >= self.sequence.max_tokens
    }
}

/// One emitted token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Emitted {
    /// The sequence.
    pub number: SequenceNumber,
    /// Position of the token in the answer.
    pub index: u32,
    /// Whether the answer is whole with it.
    pub last: bool,
}

/// What one iteration did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepOutcome {
    /// Time that it took, in microseconds; zero when there was nothing to do.
    pub duration_us: u64,
    /// Tokens emitted at its end.
    pub emitted: Vec<Emitted>,
    /// Sequences that lost their place to one of a higher priority.
    pub preempted: u32,
}

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Sequences in the batch.
    pub running: usize,
    /// Sequences that wait.
    pub waiting: usize,
    /// KV blocks in memory.
    pub kv_blocks_used: usize,
}

/// The scheduler and memory of one engine.
#[derive(Debug)]
pub struct EngineModel {
    parameters: EngineParameters,
    cache: KvCache,
    sequences: BTreeMap<SequenceNumber, State>,
    next_number: SequenceNumber,
    /// Prompt tokens that were found in the cache, and all prompt tokens, of admitted sequences.
    pub prefix_tokens: (u64, u64),
}

impl EngineModel {
    /// An idle engine.
    pub fn new(parameters: EngineParameters) -> Self {
        let cache = KvCache::new(parameters.kv_blocks);
        Self {
            parameters,
            cache,
            sequences: BTreeMap::new(),
            next_number: 0,
            prefix_tokens: (0, 0),
        }
    }

    /// The parameters.
    pub fn parameters(&self) -> &EngineParameters {
        &self.parameters
    }

    /// Queues a sequence. None when the queue is full.
    pub fn submit(&mut self, sequence: Sequence) -> Option<SequenceNumber> {
        if self.load().waiting >= self.parameters.queue_limit {
            return None;
        }
        let block_bytes = self.parameters.block_tokens * self.parameters.bytes_per_token;
        let blocks = KvCache::prompt_blocks(&sequence.prompt, block_bytes);
        let prompt_tokens = sequence.prompt.len().div_ceil(self.parameters.bytes_per_token).max(1);
        self.next_number += 1;
        let state = State {
            generated: sequence.resume_from_token.min(sequence.max_tokens),
            sequence,
            blocks,
            prompt_tokens,
            prefill_left: 0,
            private_blocks: 0,
            running: false,
        };
        self.sequences.insert(self.next_number, state);
        Some(self.next_number)
    }

    /// Drops a sequence. Returns the tokens it had, if it was known.
    pub fn cancel(&mut self, number: SequenceNumber) -> Option<u32> {
        self.pause(number);
        self.sequences.remove(&number).map(|state| state.generated)
    }

    /// Gives back the memory of a sequence, which then waits.
    fn pause(&mut self, number: SequenceNumber) {
        let Some(state) = self.sequences.get_mut(&number).filter(|state| state.running) else {
            return;
        };
        state.running = false;
        self.cache.release(&state.blocks);
        self.cache.release_private(state.private_blocks);
        state.private_blocks = 0;
    }

    /// Whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.sequences.is_empty()
    }

    /// Runs one iteration.
    pub fn step(&mut self) -> StepOutcome {
        let mut outcome = StepOutcome::default();
        self.admit(&mut outcome);
        let prefilled = self.prefill();
        let decoding = self.decode(&mut outcome);
        if prefilled + decoding == 0 {
            return outcome;
        }
        let parameters = &self.parameters;
        outcome.duration_us = parameters.iteration_us
            + parameters.prefill_token_us * prefilled as u64
            + parameters.decode_sequence_us * decoding as u64;
        outcome
    }

    /// Fills the batch: waiting sequences by priority, then by age; a lower priority makes room.
    fn admit(&mut self, outcome: &mut StepOutcome) {
        let mut waiting: Vec<(i32, SequenceNumber)> = self
            .sequences
            .iter()
            .filter(|(_, state)| !state.running)
            .map(|(number, state)| (-state.sequence.priority, *number))
            .collect();
        waiting.sort_unstable();
        for (negative_priority, number) in waiting {
            let priority = -negative_priority;
            if !self.make_room(priority, outcome) {
                return;
            }
            while !self.start(number) {
                if !self.preempt_below(priority, outcome) {
                    return;
                }
            }
        }
    }

    fn make_room(&mut self, priority: i32, outcome: &mut StepOutcome) -> bool {
        let running = self.sequences.values().filter(|state| state.running).count();
        running < self.parameters.max_sequences || self.preempt_below(priority, outcome)
    }

    /// Pauses the running sequence of the lowest priority below this one, and of those the
    /// newest, which has the least to lose.
    fn preempt_below(&mut self, priority: i32, outcome: &mut StepOutcome) -> bool {
        let running = self.sequences.iter().filter(|(_, state)| state.running);
        let victim = running
            .map(|(number, state)| (state.sequence.priority, *number))
            .min_by_key(|(lowest, number)| (*lowest, std::cmp::Reverse(*number)));
        match victim {
            Some((lowest, number)) if lowest < priority => {
                self.pause(number);
                outcome.preempted += 1;
                true
            }
            _ => false,
        }
    }

    fn start(&mut self, number: SequenceNumber) -> bool {
        let Some(state) = self.sequences.get_mut(&number) else { return false };
        let cached = self.cache.cached_prefix(&state.blocks);
        if !self.cache.acquire(&state.blocks) {
            return false;
        }
        let cached_tokens = (cached * self.parameters.block_tokens).min(state.prompt_tokens - 1);
        self.prefix_tokens.0 += cached_tokens as u64;
        self.prefix_tokens.1 += state.prompt_tokens as u64;
        // What was generated before a pause, or elsewhere, is computed again.
        state.prefill_left = state.prompt_tokens - cached_tokens + state.generated as usize;
        state.running = true;
        true
    }

    fn prefill(&mut self) -> usize {
        let mut budget = self.parameters.prefill_chunk_tokens;
        let mut prefilled = 0;
        for state in self.sequences.values_mut().filter(|state| state.running) {
            let part = state.prefill_left.min(budget);
            state.prefill_left -= part;
            budget -= part;
            prefilled += part;
        }
        prefilled
    }

    fn decode(&mut self, outcome: &mut StepOutcome) -> usize {
        let ready: Vec<SequenceNumber> = self
            .sequences
            .iter()
            .filter(|(_, state)| state.running && state.prefill_left == 0)
            .map(|(number, _)| *number)
            .collect();
        let mut decoding = 0;
        for number in ready {
            if self.decode_one(number, outcome) {
                decoding += 1;
            }
        }
        decoding
    }

    fn decode_one(&mut self, number: SequenceNumber, outcome: &mut StepOutcome) -> bool {
        let block_tokens = self.parameters.block_tokens;
        let Some(state) = self.sequences.get_mut(&number) else { return false };
        let needed = (state.generated as usize + 1).div_ceil(block_tokens);
        if needed > state.private_blocks {
            if !self.cache.acquire_private() {
                self.pause(number);
                outcome.preempted += 1;
                return false;
            }
            state.private_blocks += 1;
        }
        let index = state.generated;
        state.generated += 1;
        let last = state.done();
        outcome.emitted.push(Emitted { number, index, last });
        if last {
            self.pause(number);
            self.sequences.remove(&number);
        }
        true
    }

    /// Load now.
    pub fn load(&self) -> EngineLoad {
        let running = self.sequences.values().filter(|state| state.running).count();
        EngineLoad {
            running,
            waiting: self.sequences.len() - running,
            kv_blocks_used: self.cache.used(),
        }
    }

    /// Changes of the cache since the last call.
    pub fn take_cache_events(&mut self) -> Vec<CacheEvent> {
        self.cache.take_events()
    }

    /// Blocks of a prompt that are held, for export.
    pub fn export(&self, prompt: &[u8]) -> Vec<BlockHash> {
        let block_bytes = self.parameters.block_tokens * self.parameters.bytes_per_token;
        let mut blocks = KvCache::prompt_blocks(prompt, block_bytes);
        blocks.truncate(self.cache.cached_prefix(&blocks));
        blocks
    }

    /// Takes exported blocks. Returns how many were stored, and the time it takes, in
    /// microseconds.
    pub fn import(&mut self, blocks: &[BlockHash]) -> (usize, u64) {
        let stored = self.cache.import(blocks);
        (stored, stored as u64 * self.parameters.import_block_us)
    }
}
