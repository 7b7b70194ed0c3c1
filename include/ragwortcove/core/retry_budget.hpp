/// \file
/// How many retries an entry may spend.
#pragma once

#include <algorithm>

namespace ragwortcove::core {

/// Retries as a share of recent successes, so that retries cannot multiply an overload.
class retry_budget {
public:
    void record_success()
    {
        this->available = std::min(max_available, this->available + retries_per_success);
    }
    /// Spends one retry; false when none is available.
    [[nodiscard]] bool spend()
    {
        if (this->available < 1.0)
            return false;
        this->available -= 1.0;
        return true;
    }

private:
    static constexpr double retries_per_success = 0.1;
    static constexpr double max_available = 50.0;
    double available = 10.0;
};

} // namespace ragwortcove::core
