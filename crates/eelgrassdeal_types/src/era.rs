//! Eras of a store, as parts of versions, fencing numbers and generations.
//!
//! A store that is restored from an older copy issues versions again. The era, which rises by one
//! with each restore, is the upper part of each number that must never be issued twice.

use crate::id::{FencingNumber, Generation};

/// Number of times that a store was restored from an older copy.
pub type StoreEra = u64;

/// Highest era that fits into every number below.
pub const MAX_STORE_ERA: StoreEra = (1 << 20) - 1;
/// Bits of the store's own version in a packed version.
const VERSION_BITS: u32 = 40;
/// Bits of the count in a fencing number. The number stays below 2^53, up to which JSON numbers are
/// exact, for every era.
const FENCING_BITS: u32 = 32;
/// Bits of a generation below its era: generations stay below 2^53 up to era 2,047.
const GENERATION_BITS: u32 = 42;
/// Number of generations reserved for each fencing number, so that successive holders of a lease
/// assign different ones.
const GENERATIONS_PER_FENCING_NUMBER: u64 = 1_000_000;

/// Packs the era and the version of a store into one number, which rises with both; `None` if one of
/// them is too large.
pub fn pack_version(era: StoreEra, version: u64) -> Option<u64> {
    (era <= MAX_STORE_ERA && version >> VERSION_BITS == 0)
        .then_some((era << VERSION_BITS) | version)
}

/// Era of a packed version.
pub fn version_era(version: u64) -> StoreEra {
    version >> VERSION_BITS
}

/// The store's own version in a packed version.
pub fn unpack_version(version: u64) -> u64 {
    version & ((1 << VERSION_BITS) - 1)
}

/// Era in which a fencing number was issued.
pub fn fencing_era(fencing: FencingNumber) -> StoreEra {
    fencing >> FENCING_BITS
}

/// The fencing number that follows `previous` in `era`; 0 stands for no previous one.
pub fn next_fencing_number(era: StoreEra, previous: FencingNumber) -> FencingNumber {
    let count = previous & ((1 << FENCING_BITS) - 1);
    (era.max(fencing_era(previous)) << FENCING_BITS) + count + 1
}

/// First of the generations that the holder of a lease assigns under a fencing number.
pub fn first_generation(fencing: FencingNumber) -> Generation {
    let count = fencing & ((1 << FENCING_BITS) - 1);
    (fencing_era(fencing) << GENERATION_BITS) + count * GENERATIONS_PER_FENCING_NUMBER
}
