/// \file
/// Actions in order of virtual time.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace ragwortcove::bench {

/// Runs actions at their times; those of one time in the order in which they were added.
class event_queue {
public:
    using action = std::function<void()>;

    void at(core::time_point when, action what);
    void after(core::duration wait, action what)
    {
        this->at(this->current + wait, std::move(what));
    }
    /// Runs everything due up to `until`, and moves the time there.
    void run_until(core::time_point until);
    [[nodiscard]] core::time_point now() const { return this->current; }

private:
    struct entry {
        core::time_point when;
        std::uint64_t order = 0;
        action what;
    };
    struct later {
        bool operator()(const entry& left, const entry& right) const
        {
            return left.when != right.when ? left.when > right.when : left.order > right.order;
        }
    };

    std::priority_queue<entry, std::vector<entry>, later> entries;
    core::time_point current;
    std::uint64_t added = 0;
};

} // namespace ragwortcove::bench
