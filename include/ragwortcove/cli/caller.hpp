/// \file
/// A caller that keeps the rules of docs/CALLERS.md: it asks which address to use, keeps the answer
/// for its time to live, builds its keys on tickets and repeats only what did not run.
#pragma once

#include "ragwortcove/cli/backoff.hpp"
#include "ragwortcove/cli/http_call.hpp"
#include "ragwortcove/core/verdict.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::cli {

/// What a caller asks of a route.
struct caller_request {
    std::string route;
    std::string team;
    std::string method = "POST";
    /// `/v1/chat/completions` or `/v1/services/<route>/<path>`.
    std::string path;
    std::string query;
    std::string content_type = "application/json";
    std::string body;
    /// The caller's own name for this request; the key is the ticket and this. Empty sends no key.
    std::string key_suffix;
    std::chrono::milliseconds timeout{std::chrono::seconds{60}};
};

struct caller_outcome {
    core::verdict verdict = core::verdict::not_run;
    /// HTTP status of the last try; zero when no entry answered.
    int status = 0;
    std::string reason;
    std::string request_id;
    std::string body;
    std::uint32_t tries = 0;
    /// Whether any entry could be asked for addresses.
    bool reached = false;
};

/// Text of one chat chunk as it comes.
using text_handler = std::function<void(std::string_view)>;

class caller {
public:
    caller(std::vector<core::endpoint> first_entries, std::uint64_t seed,
           const http::client_settings& connection = {.pool_size = 4});
    /// Sends a request, repeats it while it is refused as not run and its time allows, and says
    /// what is known in the end.
    caller_outcome call(const caller_request& request, const text_handler& on_text = {});

private:
    struct entry_address {
        core::endpoint address;
        double weight = 1.0;
        std::string ticket;
    };
    struct known_addresses {
        std::string route;
        std::vector<entry_address> addresses;
        std::chrono::microseconds keep_until{0};
    };

    bool find_addresses(const std::string& route);
    bool ask_for_addresses(const core::endpoint& entry, const std::string& route);
    /// An address drawn by weight, as a position in the list.
    std::size_t choose_address();
    void forget_address(std::size_t position);
    caller_outcome try_once(const caller_request& request, const entry_address& entry,
                            std::chrono::milliseconds time_left, const text_handler& on_text,
                            std::chrono::milliseconds& retry_after);

    http_session session;
    std::vector<core::endpoint> seeds;
    known_addresses known;
    std::mt19937_64 random;
};

} // namespace ragwortcove::cli
