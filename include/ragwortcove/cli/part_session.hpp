/// \file
/// Prompt parts that are held back, as operators see and release them in the store.
#pragma once

#include "platform/store_client.hpp"
#include "ragwortcove/cli/backoff.hpp"
#include "ragwortcove/core/part_quarantine.hpp"
#include "ragwortcove/http/loop.hpp"
#include "ragwortcove/http/outbound.hpp"

#include <chrono>
#include <functional>
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
    part_session(const core::endpoint& store, std::chrono::microseconds patience);

    /// Unset when the store cannot be reached.
    [[nodiscard]] std::optional<stored_parts> list();
    /// Lets requests with a part through again, at all nodes.
    [[nodiscard]] release_result release(core::part_id part);

private:
    /// Result of a call for one document.
    struct document_result {
        std::optional<adapter::store_document> document;
        adapter::store_error error;
    };
    [[nodiscard]] document_result call(const adapter::store_call& wanted);
    /// Waits for a handler of the client's, which ends the wait.
    void wait() { this->loop.run(); }
    /// Waits before the next try; false when patience has ended.
    [[nodiscard]] bool wait_to_retry();

    http::loop loop;
    http::outbound_client connections;
    adapter::store_client store;
    backoff delays;
    std::chrono::microseconds give_up_at;
};

} // namespace ragwortcove::cli
