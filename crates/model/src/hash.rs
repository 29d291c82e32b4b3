//! Hash collections with a fast hasher, and a hash that is stable across processes.
//!
//! All crates use the aliases [`Map`] and [`Set`], so the hasher can be replaced in one place.

/// A hash map for keys from trusted sources, such as identifiers and arena keys.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// A hash set for values from trusted sources, such as identifiers and arena keys.
pub type Set<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;

/// Returns a 64-bit hash of `bytes` that is the same in every process and every release.
///
/// Rendezvous hashing requires all daemons to compute the same values, so the hash has no random
/// seed and must not change between releases. It is 64-bit FNV-1a followed by a finalizer that
/// spreads the low bits.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let fnv1a = bytes.iter().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    });
    mix(fnv1a)
}

/// Combines two stable hashes into one. The result depends on their order.
#[must_use]
pub const fn combine_hashes(left: u64, right: u64) -> u64 {
    mix(left ^ mix(right).rotate_left(17))
}

const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let value = (value ^ (value >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}
