/// \file
/// One daemon on a loop with a stand-in platform, engine and service, and callers of two kinds.
#pragma once

#include "platform/object_store.hpp"
#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/daemon/runtime.hpp"
#include "ragwortcove/standin/engine_server.hpp"
#include "ragwortcove/standin/platform_server.hpp"
#include "ragwortcove/standin/service_server.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace ragwortcove::daemon::test {

/// A TCP socket bound to any free port of loopback.
inline int bind_any_port()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    return descriptor;
}

inline std::uint16_t port_of(int descriptor)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    REQUIRE(getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0);
    return ntohs(address.sin_port);
}

/// A port that nothing listens on now.
inline std::uint16_t find_free_port()
{
    const int descriptor = bind_any_port();
    const std::uint16_t port = port_of(descriptor);
    close(descriptor);
    return port;
}

inline void run_until(http::loop& on, const std::function<bool()>& done)
{
    static constexpr std::chrono::seconds limit{20};
    const auto end = on.now() + limit;
    http::timer_id timer = 0;
    std::function<void()> check = [&] {
        if (done() || on.now() >= end) {
            timer = 0;
            on.stop();
            return;
        }
        timer = on.after(std::chrono::milliseconds{1}, check);
    };
    timer = on.after(std::chrono::microseconds{1}, check);
    on.run();
    on.cancel(timer);
    REQUIRE(done());
}

/// What came of one HTTP exchange.
struct reply {
    int status = 0;
    std::vector<http::header> headers;
    std::string body;
    bool over = false;
    bool whole = false;

    [[nodiscard]] std::string header(std::string_view name) const
    {
        return std::string{http::find_header(this->headers, name).value_or("")};
    }
};

/// A client that writes bytes as they are and reads until the server closes.
class raw_caller {
public:
    raw_caller(std::uint16_t port, std::string bytes, bool read_answer)
        : worker([this, port, text = std::move(bytes), read_answer] {
              this->exchange(port, text, read_answer);
          })
    {
    }
    ~raw_caller() { this->worker.join(); }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    [[nodiscard]] bool over() const { return this->done; }
    [[nodiscard]] const std::string& answer() const { return this->received; }

private:
    void exchange(std::uint16_t port, const std::string& bytes, bool read_answer)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        const int connected =
            connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address);
        REQUIRE(connected == 0);
        std::size_t written = 0;
        while (written < bytes.size()) {
            const ssize_t count =
                send(descriptor, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
            if (count <= 0)
                break;
            written += static_cast<std::size_t>(count);
        }
        if (read_answer) {
            shutdown(descriptor, SHUT_WR);
            std::array<char, 4096> buffer{};
            ssize_t count = 0;
            while ((count = recv(descriptor, buffer.data(), buffer.size(), 0)) > 0)
                this->received.append(buffer.data(), static_cast<std::size_t>(count));
        }
        close(descriptor);
        this->done = true;
    }

    std::string received;
    std::atomic<bool> done = false;
    std::thread worker;
};

/// Everything one daemon needs, on one loop.
struct cluster {
    http::loop loop;
    standin::platform_server platform{this->loop, {}};
    standin::engine_server engine{this->loop, make_engine()};
    standin::service_server service{this->loop, {}};
    std::uint16_t port = find_free_port();
    bool ended = false;
    daemon_settings settings = this->make_settings();
    std::unique_ptr<runtime> daemon;
    http::client client{this->loop, {}};

    explicit cluster(http::tls_settings tls = {})
    {
        this->settings.tls = std::move(tls);
        this->settings.log.level = log_level::error;
        configure_log(this->settings.log);
        this->daemon =
            std::make_unique<runtime>(this->loop, this->settings, [this] { this->ended = true; });
        REQUIRE(this->daemon->listening());
    }

    static standin::engine_server_settings make_engine()
    {
        standin::engine_server_settings made;
        made.engine.speed = standin::fast_engine;
        made.engine.speed.base_between_tokens = std::chrono::milliseconds{1};
        made.engine.target.value = "model-a";
        made.engine.version.value = "v1";
        return made;
    }

    daemon_settings make_settings() const
    {
        daemon_settings made;
        made.node.name.value = "entry-1";
        made.node.run.value = 7;
        made.node.region.value = "ch";
        made.node.failure_domain.value = "zurich";
        made.node.callers = {"127.0.0.1", this->port};
        made.node.peers = {"127.0.0.1", find_free_port()};
        made.node.address_time_to_live = std::chrono::milliseconds{200};
        made.platform.address = {"127.0.0.1", this->platform.port()};
        made.node.platform_calls_per_second = 50.0;
        made.admin_token = "an-operators-token";
        return made;
    }

    reply& start(std::uint16_t to, http::request&& message)
    {
        this->replies.push_back(std::make_unique<reply>());
        reply& into = *this->replies.back();
        http::client_handlers handlers;
        handlers.headed = [&into](const http::response_head& head) {
            into.status = head.status;
            into.headers = head.headers;
        };
        handlers.body = [&into](std::string_view bytes) { into.body += bytes; };
        handlers.ended = [&into] { into.over = into.whole = true; };
        handlers.failed = [&into](http::client_error) { into.over = true; };
        http::client_request request;
        request.address = "127.0.0.1";
        request.port = to;
        request.message = std::move(message);
        this->client.start(std::move(request), std::move(handlers));
        return into;
    }

    reply& call(std::string method, std::string target, std::string body = {},
                std::vector<http::header> headers = {})
    {
        reply& into = this->start(this->port, make_message(std::move(method), std::move(target),
                                                           std::move(body), std::move(headers)));
        run_until(this->loop, [&into] { return into.over; });
        return into;
    }

    static http::request make_message(std::string method, std::string target, std::string body = {},
                                      std::vector<http::header> headers = {})
    {
        http::request message;
        const std::size_t question = target.find('?');
        message.method = std::move(method);
        if (question != std::string::npos)
            message.query = target.substr(question + 1);
        target.resize(std::min(question, target.size()));
        message.path = std::move(target);
        message.body = std::move(body);
        message.headers = std::move(headers);
        return message;
    }

    void declare(core::object_kind kind, std::string name, const std::vector<core::field>& fields)
    {
        const core::object_key key{kind, std::move(name)};
        bool written = false;
        adapter::object_store writer{
            this->loop, {{"127.0.0.1", this->platform.port()}}, [&](core::event&& event) {
                const auto* answer = std::get_if<core::platform_answered>(&event);
                REQUIRE(answer != nullptr);
                CHECK(std::holds_alternative<core::platform_written>(answer->result));
                written = true;
            }};
        const core::object value = core::parse_object(key, fields).value();
        writer.start(core::call_platform{{1}, core::platform_put{value, {}, "change-" + key.name}});
        run_until(this->loop, [&] { return written; });
    }

    /// Declares one tier, one team, the engine, an engine's route `chat`, a service's route
    /// `lookup` and a service's route `payment`, whose calls may not be repeated.
    void declare_all() { this->declare_all(this->engine.port(), this->service.port()); }
    /// The same with another engine and another service.
    void declare_all(std::uint16_t engine_port, std::uint16_t service_port)
    {
        using core::object_kind;
        const std::string service_address = "127.0.0.1:" + std::to_string(service_port);
        this->declare(object_kind::tier, "first", {{"rank", "0"}});
        this->declare(object_kind::team, "default", {{"weight", "1"}});
        this->declare(object_kind::version, "v1", {{"target", "model-a"}});
        this->declare(object_kind::version, "s1", {{"target", "members"}});
        this->declare_engine("engine-1", engine_port);
        this->declare(object_kind::upstream, "service-1",
                      {{"kind", "service"},
                       {"address", service_address},
                       {"region", "ch"},
                       {"failure_domain", "zurich"},
                       {"target", "members"},
                       {"version", "s1"}});
        this->declare(object_kind::route, "chat",
                      {{"target", "model-a"}, {"kind", "engine"}, {"tier", "first"}});
        this->declare(object_kind::route, "lookup",
                      {{"target", "members"}, {"kind", "service"}, {"tier", "first"}});
        this->declare(object_kind::route, "payment",
                      {{"target", "members"},
                       {"kind", "service"},
                       {"tier", "first"},
                       {"idempotent", "false"}});
        run_until(this->loop, [this] { return this->knows(object_kind::route, "payment"); });
    }

    void declare_engine(std::string name, std::uint16_t at)
    {
        this->declare(core::object_kind::upstream, std::move(name),
                      {{"kind", "engine"},
                       {"address", "127.0.0.1:" + std::to_string(at)},
                       {"region", "ch"},
                       {"failure_domain", "zurich"},
                       {"target", "model-a"},
                       {"version", "v1"}});
    }

    [[nodiscard]] bool knows(core::object_kind kind, std::string_view name) const
    {
        const core::node_status status = this->daemon->status();
        return status.ready && std::ranges::any_of(status.objects, [&](const core::object& each) {
                   return each.key.kind == kind && each.key.name == name;
               });
    }

    [[nodiscard]] std::uint32_t open_requests() const
    {
        return this->daemon->status().open_requests;
    }

private:
    std::vector<std::unique_ptr<reply>> replies;
};

} // namespace ragwortcove::daemon::test
