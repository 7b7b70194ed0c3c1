#include "ragwortcove/core/transfer_limit.hpp"

#include <algorithm>
#include <chrono>

namespace ragwortcove::core {

/// Rate of the narrowest link that nodes are expected to have: 10 Mbit/s.
static constexpr double link_bytes_per_second = 1.25e6;
/// What that link carries within a reader's response timeout, less a fifth for other traffic.
static constexpr double max_bytes_under_way = 1.5e6;

bool transfer_limit::admit(std::size_t bytes, time_point now)
{
    const std::chrono::duration<double> elapsed = now - this->updated_at;
    const double sent = elapsed.count() * link_bytes_per_second;
    this->bytes_under_way = std::max(0.0, this->bytes_under_way - sent);
    this->updated_at = now;
    const auto added = static_cast<double>(bytes);
    if (this->bytes_under_way > 0.0 && this->bytes_under_way + added > max_bytes_under_way)
        return false;
    this->bytes_under_way += added;
    return true;
}

} // namespace ragwortcove::core
