#pragma once

#include <cstdint>
#include <string_view>

namespace borageslip {

/** Seeded 64-bit XXH3 hash. The same in every process and release: placement depends on it. */
uint64_t hashBytes(std::string_view bytes, uint64_t seed = 0);

/** Mixes two 64-bit hashes into one. */
uint64_t hashPair(uint64_t first, uint64_t second);

/** Score of a candidate in weighted rendezvous hashing: the candidate with the highest score is chosen.
    @param weight relative share, positive; 0 yields the lowest score. */
double rendezvousScore(uint64_t key, uint64_t candidate, double weight = 1.0);

}
