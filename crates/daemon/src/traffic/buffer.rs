//! Calls and the buffers of their streamed answers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::Xxh3;
use yokefall_peer::{CallEvent, OnlineCall, OwnerLoad};
use yokefall_types::{Answer, BackendId, CallHeader, Outcome, RequestId};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Debug, Default)]
struct State {
    bytes: Vec<u8>,
    tokens: u32,
    backend: Option<BackendId>,
    ended: Option<(Outcome, Option<OwnerLoad>)>,
}

/// An append-only answer with one writer and many readers.
///
/// Invariant: bytes never change once appended, so that every reader sees the same answer.
#[derive(Debug)]
pub struct AnswerBuffer {
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

/// State of the answer from an offset on, as returned by `AnswerBuffer::read`.
struct AnswerSnapshot {
    backend: Option<BackendId>,
    chunk: Vec<u8>,
    tokens_total: u32,
    ended: Option<Outcome>,
}

impl AnswerBuffer {
    fn new() -> Self {
        Self { state: Mutex::default(), changed: watch::Sender::new(()) }
    }

    pub fn is_started(&self) -> bool {
        lock(&self.state).backend.is_some()
    }

    pub fn start(&self, backend: BackendId) {
        lock(&self.state).backend = Some(backend);
        self.changed.send_replace(());
    }

    /// Appends bytes not yet present. Returns `false` if there is a gap or the answer has ended.
    pub fn push(&self, offset: u64, text: &[u8], tokens_total: u32) -> bool {
        let mut state = lock(&self.state);
        let held = state.bytes.len() as u64;
        if offset > held || state.ended.is_some() {
            return false;
        }
        let known = (held - offset) as usize;
        if let Some(fresh) = text.get(known..) {
            state.bytes.extend_from_slice(fresh);
            state.tokens = state.tokens.max(tokens_total);
        }
        drop(state);
        self.changed.send_replace(());
        true
    }

    /// Ends the answer. The first end wins.
    pub fn end(&self, outcome: Outcome, load: Option<OwnerLoad>) {
        let mut state = lock(&self.state);
        if state.ended.is_none() {
            state.ended = Some((outcome, load));
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// Number of bytes and tokens received so far.
    pub fn length(&self) -> (u64, u32) {
        let state = lock(&self.state);
        (state.bytes.len() as u64, state.tokens)
    }

    pub fn answer(&self) -> Answer {
        let state = lock(&self.state);
        Answer { body: state.bytes.clone(), tokens: state.tokens }
    }

    /// The outcome, and the owner's load after the end; `None` while the answer is incomplete.
    pub fn ended(&self) -> Option<(Outcome, Option<OwnerLoad>)> {
        lock(&self.state).ended.clone()
    }

    fn read(&self, offset: u64) -> AnswerSnapshot {
        let state = lock(&self.state);
        AnswerSnapshot {
            backend: state.backend.clone(),
            chunk: state.bytes.get(offset as usize..).unwrap_or_default().to_vec(),
            tokens_total: state.tokens,
            ended: state.ended.as_ref().map(|(outcome, _)| outcome.clone()),
        }
    }

    /// Emits all events from an offset to the end, or until `emit` returns `false`.
    pub async fn follow(&self, mut offset: u64, mut emit: impl FnMut(CallEvent) -> bool) {
        let mut changes = self.changed.subscribe();
        let mut started = false;
        loop {
            changes.mark_unchanged();
            let snapshot = self.read(offset);
            if let Some(backend) = snapshot.backend.filter(|_| !started) {
                started = true;
                if !emit(CallEvent::Started { backend }) {
                    return;
                }
            }
            if !snapshot.chunk.is_empty() {
                let length = snapshot.chunk.len() as u64;
                let tokens_total = snapshot.tokens_total;
                let event = CallEvent::Chunk { offset, text: snapshot.chunk, tokens_total };
                offset += length;
                if !emit(event) {
                    return;
                }
            }
            if let Some(outcome) = snapshot.ended {
                emit(CallEvent::Ended(outcome));
                return;
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

/// A call with its answer: at its home daemon, or as one execution at its owner.
#[derive(Debug)]
pub struct Call {
    header: CallHeader,
    body: Mutex<Arc<Vec<u8>>>,
    body_bytes: usize,
    digest: u64,
    attempt: u32,
    resume_from_token: u32,
    buffer: AnswerBuffer,
    stop: CancellationToken,
}

impl Call {
    pub fn at_home(call: OnlineCall) -> Arc<Self> {
        Self::new(call, 0, 0)
    }

    pub fn execution(call: OnlineCall, attempt: u32, resume_from_token: u32) -> Arc<Self> {
        Self::new(call, attempt, resume_from_token)
    }

    fn new(call: OnlineCall, attempt: u32, resume_from_token: u32) -> Arc<Self> {
        let digest = digest_of(&call);
        Arc::new(Self {
            header: call.header,
            body_bytes: call.body.len(),
            body: Mutex::new(Arc::new(call.body)),
            digest,
            attempt,
            resume_from_token,
            buffer: AnswerBuffer::new(),
            stop: CancellationToken::new(),
        })
    }

    pub fn header(&self) -> &CallHeader {
        &self.header
    }

    /// The prompt, or the body for a plain service. Empty once the call has ended at its home.
    pub fn body(&self) -> Arc<Vec<u8>> {
        lock(&self.body).clone()
    }

    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Frees the body, which is not needed after the end.
    pub fn release_body(&self) {
        *lock(&self.body) = Arc::default();
    }

    /// Digest that identifies the content of the call.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of the attempt; zero at the home daemon.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Number of tokens of the answer already produced by earlier attempts.
    pub fn resume_from_token(&self) -> u32 {
        self.resume_from_token
    }

    pub fn buffer(&self) -> &AnswerBuffer {
        &self.buffer
    }

    pub fn stop(&self) {
        self.stop.cancel();
    }

    pub async fn stopped(&self) {
        self.stop.cancelled().await;
    }
}

/// Digest over service, repeat policy, token limit and body. The deadline is excluded, since a
/// resend may have less time left.
fn digest_of(call: &OnlineCall) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(call.header.service.as_str().as_bytes());
    hasher.update(&[0, call.header.repeat as u8]);
    hasher.update(&call.header.max_tokens.to_le_bytes());
    hasher.update(&call.body);
    hasher.digest()
}

#[derive(Debug, Default)]
pub struct CallTable {
    calls: Mutex<HashMap<RequestId, Arc<Call>>>,
}

impl CallTable {
    pub fn get(&self, request: &RequestId) -> Option<Arc<Call>> {
        lock(&self.calls).get(request).cloned()
    }

    pub fn insert_if_absent(&self, call: Arc<Call>) {
        lock(&self.calls).entry(call.header.request.clone()).or_insert(call);
    }

    /// Sets the call of a request, and returns the previous one.
    pub fn replace(&self, call: Arc<Call>) -> Option<Arc<Call>> {
        lock(&self.calls).insert(call.header.request.clone(), call)
    }

    pub fn remove(&self, request: &RequestId) {
        lock(&self.calls).remove(request);
    }

    /// Removes this call, unless it was replaced by another one.
    pub fn remove_same(&self, call: &Arc<Call>) {
        let mut calls = lock(&self.calls);
        if calls.get(&call.header.request).is_some_and(|held| Arc::ptr_eq(held, call)) {
            calls.remove(&call.header.request);
        }
    }
}
