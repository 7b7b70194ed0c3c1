/// \file
/// Questions and orders to upstreams that carry no caller's request: probes, load and cache
/// reports, orders.
#pragma once

#include "ragwortcove/core/effect.hpp"
#include "ragwortcove/core/event.hpp"
#include "ragwortcove/http/client.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::daemon {

class upstream_reports {
public:
    using reporter = std::function<void(const core::event&)>;

    upstream_reports(http::client& client, reporter report);

    void probe(const core::probe_upstream& wanted);
    /// Asks for the load, and for the cache events after the last known one.
    void poll(const core::poll_upstream& wanted);
    void order(const core::order_upstream& wanted);

private:
    /// Gives the whole body of a 200 answer, or nothing.
    using answer_handler = std::function<void(std::optional<std::string>)>;

    void ask(const core::endpoint& address, http::request&& message,
             const answer_handler& answered);

    http::client& client;
    reporter report;
};

/// Reads an engine's load report; nothing when it is not one.
[[nodiscard]] std::optional<core::load_reported> parse_load(const core::upstream_name& upstream,
                                                            std::string_view body);
/// Reads an engine's cache events; nothing when they are not such.
[[nodiscard]] std::optional<std::vector<core::cache_reported>>
parse_cache_events(const core::upstream_name& upstream, std::string_view body);

} // namespace ragwortcove::daemon
