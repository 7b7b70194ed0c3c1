#include "ragwortcove/cli/http_call.hpp"

#include <utility>

namespace ragwortcove::cli {

static constexpr std::chrono::seconds get_idle_limit{3};

http_session::http_session(const http::client_settings& settings) : client(this->on, settings) {}

http_answer
http_session::exchange(http::client_request request,
                       std::function<void(const http::response_head&, std::string_view)> body_part)
{
    http_answer answer;
    http::client_handlers handlers;
    handlers.headed = [&](const http::response_head& head) { answer.head = head; };
    handlers.body = [&](std::string_view part) {
        answer.body += part;
        if (body_part)
            body_part(answer.head, part);
    };
    handlers.ended = [&] { this->on.stop(); };
    handlers.failed = [&](http::client_error error) {
        answer.error = error;
        this->on.stop();
    };
    this->client.start(std::move(request), std::move(handlers));
    this->on.run();
    return answer;
}

http_answer http_session::get(const core::endpoint& from, std::string path, std::string query)
{
    http::client_request request;
    request.address = from.address;
    request.port = from.port;
    request.message.method = "GET";
    request.message.path = std::move(path);
    request.message.query = std::move(query);
    request.idle_limit = get_idle_limit;
    return this->exchange(std::move(request));
}

void http_session::wait(std::chrono::microseconds time)
{
    this->on.after(time, [this] { this->on.stop(); });
    this->on.run();
}

} // namespace ragwortcove::cli
