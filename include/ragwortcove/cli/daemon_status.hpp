/// \file
/// What daemons tell of themselves, gathered from all that can be found.
#pragma once

#include "ragwortcove/cli/http_call.hpp"
#include "ragwortcove/core/types.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace ragwortcove::cli {

struct cell_status {
    std::string target;
    std::string failure_domain;
    std::uint64_t index = 0;
    std::uint64_t free_permits = 0;
    std::uint64_t queued = 0;
    std::uint64_t queued_tokens = 0;
};

struct member_status {
    std::string name;
    std::string state;
    std::string failure_domain;
    core::endpoint callers;
};

/// One daemon's own account; only `address` is set when it did not answer.
struct daemon_status {
    core::endpoint address;
    bool answered = false;
    std::string name;
    std::uint64_t revision = 0;
    std::chrono::milliseconds revision_age{0};
    bool ready = false;
    bool draining = false;
    std::uint64_t open_requests = 0;
    std::vector<member_status> members;
    std::vector<cell_status> cells;
    /// The answer as it came.
    boost::json::value text;
};

/// Asks the given daemons, and then the live members that they name, each once.
[[nodiscard]] std::vector<daemon_status>
gather_status(http_session& session, std::vector<core::endpoint> first, const std::string& token);
/// Sends a request to an operators' path.
[[nodiscard]] http_answer ask_daemon(http_session& session, const core::endpoint& daemon,
                                     const std::string& method, const std::string& path,
                                     const std::string& token);

} // namespace ragwortcove::cli
