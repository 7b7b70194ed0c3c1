/// \file
/// Has the upstreams of a version load it, a few at once, and reads back that they serve it.
#pragma once

#include "ragwortcove/core/configuration.hpp"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/event.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <map>

namespace ragwortcove::core {

/// Orders of one move. An order is idempotent: asked again, an upstream tells how far it is.
class version_loader {
public:
    /// Sends the orders that are due. `next_order` numbers the node's orders.
    void tick(const route_spec& route, const version_name& version, fencing_number fencing,
              const configuration& config, std::uint64_t& next_order, step_context& context);
    void answered(const order_answered& message, const version_name& version,
                  step_context& context);
    /// Whether every upstream that answers serves the version, and at least one does.
    [[nodiscard]] bool loaded() const;
    /// Whether an upstream refused an order as one of an old fencing number.
    [[nodiscard]] bool was_refused_as_stale() const { return this->stale; }

private:
    enum class load_state { unasked, loading, serving, unanswering };
    struct upstream_load {
        load_state state = load_state::unasked;
        call_id order;
        bool is_asked = false;
        time_point ask_at;
        std::uint32_t unanswered = 0;
        /// Whether the upstream still stands in the configuration.
        bool wanted = true;
    };

    void sync(const route_spec& route, const version_name& version, const configuration& config);

    std::map<upstream_name, upstream_load> loads;
    bool stale = false;
};

} // namespace ragwortcove::core
