/// \file
/// One HTTP exchange that is waited for.
#pragma once

#include "ragwortcove/core/types.hpp"
#include "ragwortcove/http/client.hpp"
#include "ragwortcove/http/loop.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortcove::cli {

/// A whole response, or the error that stands in its place.
struct http_answer {
    std::optional<http::client_error> error;
    http::response_head head;
    std::string body;
    [[nodiscard]] bool ok() const { return !this->error && this->head.status == 200; }
};

/// Client and loop of a command that does one thing at a time.
class http_session {
public:
    explicit http_session(const http::client_settings& settings = {.pool_size = 4});
    /// Waits for the response; `body_part` sees the body as it comes.
    http_answer
    exchange(http::client_request request,
             std::function<void(const http::response_head&, std::string_view)> body_part = {});
    http_answer get(const core::endpoint& from, std::string path, std::string query = {});
    void wait(std::chrono::microseconds time);
    [[nodiscard]] http::loop& loop() { return this->on; }

private:
    http::loop on;
    http::client client;
};

} // namespace ragwortcove::cli
