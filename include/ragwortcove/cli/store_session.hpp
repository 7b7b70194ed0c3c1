/// \file
/// The users' store as a command uses it: calls that are waited for, and repeated for a while.
#pragma once

#include "platform/store_client.hpp"
#include "ragwortcove/cli/backoff.hpp"
#include "ragwortcove/http/loop.hpp"
#include "ragwortcove/http/outbound.hpp"

#include <chrono>
#include <optional>

namespace ragwortcove::cli {

class store_session {
public:
    /// Result of a call for one document.
    struct document_result {
        std::optional<adapter::store_document> document;
        adapter::store_error error;
    };
    /// Result of a call for the documents of a kind.
    struct list_result {
        std::optional<adapter::document_list> documents;
        adapter::store_error error;
    };

    /// Calls may be repeated until `patience` ends.
    store_session(const core::endpoint& store, std::chrono::microseconds patience);

    [[nodiscard]] list_result list(adapter::document_kind kind);
    [[nodiscard]] document_result call(const adapter::store_call& wanted);
    /// Waits before the next try; false when patience has ended.
    [[nodiscard]] bool wait_to_retry();

private:
    /// Waits for a handler of the client's, which ends the wait.
    void wait() { this->loop.run(); }

    http::loop loop;
    http::outbound_client connections;
    adapter::store_client store;
    backoff delays;
    std::chrono::microseconds give_up_at;
};

} // namespace ragwortcove::cli
