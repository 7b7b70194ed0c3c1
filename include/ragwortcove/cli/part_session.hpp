/// \file
/// Prompt parts that are held back, as operators see and release them in the store.
#pragma once

#include "ragwortcove/cli/store_session.hpp"
#include "ragwortcove/core/part_quarantine.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace ragwortcove::cli {

/// Parts in the store, and the names of entries that cannot be read.
struct stored_parts {
    std::vector<core::part_record> parts;
    std::vector<std::string> unreadable;
};

enum class release_result {
    released,
    /// The store holds no such part, or one that cannot be read.
    not_held_back,
    unreachable,
};

class part_session {
public:
    /// Calls are repeated until they are answered or `patience` ends.
    part_session(const core::endpoint& address, std::chrono::microseconds patience)
        : store(address, patience)
    {
    }

    /// Unset when the store cannot be reached.
    [[nodiscard]] std::optional<stored_parts> list();
    /// Lets requests with a part through again, at all nodes.
    [[nodiscard]] release_result release(core::part_id part);

private:
    store_session store;
};

} // namespace ragwortcove::cli
