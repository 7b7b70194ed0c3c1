/// \file
/// Orders the upstreams of a version to load it, a few at once, and checks that they serve it.
#pragma once

#include "ragwortcove/core/configuration.hpp"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/event.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <map>

namespace ragwortcove::core {

/// Load orders of one move. An order is idempotent: when it is repeated, the upstream responds with
/// its progress.
class version_loader {
public:
    /// Sends the orders that are due. `next_order` numbers the node's orders.
    void tick(const route_spec& route, const version_name& version, fencing_number fencing,
              const configuration& config, std::uint64_t& next_order, step_context& context);
    void answered(const order_answered& message, const version_name& version,
                  step_context& context);
    /// Whether every upstream that responds serves the version, and at least one does.
    [[nodiscard]] bool loaded() const;
    /// Whether an upstream refused an order since its fencing number was out of date.
    [[nodiscard]] bool was_refused_as_stale() const { return this->stale; }

private:
    enum class load_state { not_ordered, loading, serving, unresponsive };
    struct upstream_load {
        load_state state = load_state::not_ordered;
        call_id order;
        bool awaits_response = false;
        time_point next_order_at;
        std::uint32_t timeouts = 0;
        /// Whether the upstream is in the configuration.
        bool is_configured = true;
    };

    void sync(const route_spec& route, const version_name& version, const configuration& config);

    std::map<upstream_name, upstream_load> loads;
    bool stale = false;
};

} // namespace ragwortcove::core
