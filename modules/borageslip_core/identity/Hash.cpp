#include "Hash.h"

#include <cmath>
#include <limits>
#include <xxhash.h>

namespace borageslip {

uint64_t hashBytes(std::string_view bytes, uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t hashPair(uint64_t first, uint64_t second)
{
    return XXH3_64bits_withSeed(&first, sizeof first, second);
}

double rendezvousScore(uint64_t key, uint64_t candidate, double weight)
{
    if (weight <= 0)
        return -std::numeric_limits<double>::infinity();
    // 53 bits of the hash, shifted by one half so that the logarithm's argument is never 0 or 1.
    constexpr double scale = 1.0 / 9007199254740992.0;
    const double uniform = (static_cast<double>(hashPair(key, candidate) >> 11) + 0.5) * scale;
    return -weight / std::log(uniform);
}

}
