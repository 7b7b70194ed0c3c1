/// \file
/// Delays between tries: exponential, with full jitter.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace ragwortcove::cli {

class backoff {
public:
    explicit backoff(std::uint64_t seed) : random(seed) {}
    /// A time between zero and a bound that doubles with each call, up to two seconds.
    std::chrono::microseconds next();

private:
    std::mt19937_64 random;
    std::chrono::microseconds bound{std::chrono::milliseconds{50}};
};

} // namespace ragwortcove::cli
