/// \file
/// Failure domains that are drained, as operators see and order them in the store.
#pragma once

#include "ragwortcove/cli/store_session.hpp"
#include "ragwortcove/core/types.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace ragwortcove::cli {

/// An order to drain a domain.
struct stored_drain {
    core::failure_domain_name domain;
    core::revision at;
    /// Upstreams that announce themselves in the domain.
    std::size_t upstreams = 0;
};

/// Orders in the store, and the names of entries that cannot be read.
struct stored_drains {
    std::vector<stored_drain> drains;
    std::vector<std::string> unreadable;
};

enum class drain_result {
    done,
    /// The domain was drained already, or was not.
    unchanged,
    /// The name cannot be that of a failure domain.
    invalid_name,
    /// The store does not take such an order.
    rejected,
    unreachable,
};

class drain_session {
public:
    /// Calls are repeated until they are answered or `patience` ends.
    drain_session(const core::endpoint& address, std::chrono::microseconds patience)
        : store(address, patience)
    {
    }

    /// Unset when the store cannot be reached.
    [[nodiscard]] std::optional<stored_drains> list();
    /// Orders that upstreams of a domain get no more requests.
    [[nodiscard]] drain_result drain(const core::failure_domain_name& domain);
    /// Takes the order back.
    [[nodiscard]] drain_result undo(const core::failure_domain_name& domain);

private:
    store_session store;
};

} // namespace ragwortcove::cli
