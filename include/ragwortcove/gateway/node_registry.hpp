/// \file
/// Lets nodes find each other in the store when none of their seeds responds.
#pragma once

#include "platform/node_document.hpp"
#include "platform/store_client.hpp"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/http/loop.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>

namespace ragwortcove::gateway {

/// Functions that the registry uses; tests supply their own.
struct node_registry_dependencies {
    http::loop& event_loop;
    adapter::store_client& store;
    core::node_name self;
    core::endpoint peers;
    /// Whether this node has heard of no other although it has seeds.
    std::function<bool()> is_isolated;
    std::function<void(std::span<const core::endpoint>)> add_seeds;
    /// No other node is running, as far as the store tells.
    std::function<void()> confirm_isolation;
    /// Time of day, since the Unix epoch.
    std::function<std::chrono::milliseconds()> wall_time;
};

/// A node that hears of no other writes an entry, reads those of others and contacts them. Of two
/// nodes that do so, at least the later one finds the other. A node that is not isolated makes no
/// call, but to keep an entry that it has.
class node_registry {
public:
    explicit node_registry(node_registry_dependencies&& dependencies);

    /// Makes the calls that are due; to be called every few tens of milliseconds.
    void tick();
    /// Removes this node's entry and makes no calls from then on.
    void leave();

private:
    void write_entry();
    void replace_entry();
    [[nodiscard]] adapter::store_document make_entry() const;
    void on_written(const adapter::store_document* written, const adapter::store_error& error);
    void list_entries();
    void take_entries(const adapter::document_list& all);
    void remove_entry(const std::string& name);
    [[nodiscard]] core::time_point now() const
    {
        return core::time_point{this->env.event_loop.now()};
    }

    node_registry_dependencies env;
    core::time_point next_call_at;
    /// When this node's entry was last written.
    std::optional<core::time_point> written_at;
    /// When the nodes that were found have had the time to respond.
    std::optional<core::time_point> confirms_at;
    bool is_confirmed = false;
    bool has_left = false;
};

} // namespace ragwortcove::gateway
