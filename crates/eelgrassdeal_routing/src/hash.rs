//! Rendezvous hashing (highest random weight).

use sha2::{Digest, Sha256};

/// Number of leading bytes of the prompt that [`affinity_key`] uses.
pub const AFFINITY_PROMPT_BYTES: usize = 1024;

/// Weight of `candidate` for `key`; the candidate with the highest weight is preferred.
///
/// All nodes and all versions of the program must compute the same weight.
pub fn rendezvous_weight(key: &[u8], candidate: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update((key.len() as u64).to_be_bytes());
    hasher.update(key);
    hasher.update(candidate.as_bytes());
    let digest = hasher.finalize();
    digest.iter().take(8).fold(0, |weight, byte| (weight << 8) | u64::from(*byte))
}

/// Key that makes requests of one account with a common prompt prefix prefer the same replica,
/// which may have the prefix in its cache.
pub fn affinity_key(account: &str, prompt: &[u8]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update((account.len() as u64).to_be_bytes());
    hasher.update(account.as_bytes());
    hasher.update(&prompt[..prompt.len().min(AFFINITY_PROMPT_BYTES)]);
    hasher.finalize().into()
}
