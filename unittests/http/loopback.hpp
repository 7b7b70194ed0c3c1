/// \file
/// A server, a client and a raw socket on one loop, for the tests of this folder.
#pragma once

#include "ragwortcove/http/client.hpp"
#include "ragwortcove/http/server.hpp"

#include <string>

namespace ragwortcove::http::test {

/// What a client's handlers heard of one exchange.
struct heard {
    response_head head;
    std::string body;
    std::vector<std::string> parts;
    bool ended = false;
    std::optional<client_error> error;

    [[nodiscard]] bool over() const { return this->ended || this->error.has_value(); }
};

inline client_handlers handlers_into(heard& into, const std::function<void()>& over)
{
    client_handlers handlers;
    handlers.headed = [&into](const response_head& head) { into.head = head; };
    handlers.body = [&into](std::string_view bytes) {
        into.body += bytes;
        into.parts.emplace_back(bytes);
    };
    handlers.ended = [&into, over] {
        into.ended = true;
        over();
    };
    handlers.failed = [&into, over](client_error error) {
        into.error = error;
        over();
    };
    return handlers;
}

inline client_request request_to(std::uint16_t port, std::string method, std::string path,
                                 std::string body = {})
{
    client_request made;
    made.address = "127.0.0.1";
    made.port = port;
    made.message.method = std::move(method);
    made.message.path = std::move(path);
    made.message.body = std::move(body);
    return made;
}

/// Runs the loop until `done` holds; false when that takes longer than `limit`.
inline bool run_until(loop& on, const std::function<bool()>& done,
                      std::chrono::microseconds limit = std::chrono::seconds(20))
{
    const auto end = on.now() + limit;
    std::function<void()> check = [&] {
        if (done() || on.now() >= end) {
            on.stop();
            return;
        }
        on.after(std::chrono::milliseconds(1), check);
    };
    check();
    if (!done())
        on.run();
    return done();
}

} // namespace ragwortcove::http::test
