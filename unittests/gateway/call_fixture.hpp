/// \file
/// One node that serves callers on loopback, and upstreams that do as they are told.
#pragma once

#include "../http/loopback.hpp"
#include "gateway.pb.h"
#include "ragwortcove/core/domain_drain.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/gateway/call_handler.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace ragwortcove::gateway::test {

using namespace std::chrono_literals;
using http::test::raw_client;
using http::test::raw_connection;
using http::test::raw_server;
using http::test::run_until;

/// One node that serves callers on loopback in front of raw upstreams.
struct gateway_fixture {
    http::loop event_loop;
    http::outbound_client upstreams{event_loop, 5s};
    core::repeat_budget repeats{core::repeat_limits{0.2, 100.0, 10s}};
    gateway_metrics metrics;
    std::unique_ptr<rollout_service> rollouts;
    std::shared_ptr<const core::rule_index> rules;
    std::vector<core::announced_upstream> announced;
    /// Another node, so that tests send its directives.
    core::node_name controller{"m"};
    std::unique_ptr<placement_service> placement;
    std::unique_ptr<part_guard> parts;
    std::unique_ptr<http::inbound_server> callers;
    std::unique_ptr<call_handler> calls;
    /// Node that accounts for the quotas; no other node than "n" answers.
    core::node_name quota_owner{"n"};
    /// Upstreams of which a response has said that they leave.
    std::vector<std::string> told_leaving;
    core::domain_drain drains;
    /// Slots that the test itself has taken.
    std::vector<placement_number> held;

    gateway_fixture()
    {
        http::inbound_handlers handlers;
        handlers.requested = [this](http::inbound_exchange id, http::inbound_request&& request) {
            this->calls->handle_request(id, std::move(request));
        };
        handlers.abandoned = [this](http::inbound_exchange id) {
            this->calls->on_caller_disconnected(id);
        };
        this->callers = std::make_unique<http::inbound_server>(
            this->event_loop, http::socket_address{"127.0.0.1", 0}, http::inbound_limits{},
            std::move(handlers));
        placement_dependencies dependencies;
        dependencies.self.value = "n";
        dependencies.run.value = 1;
        dependencies.now = [this] { return core::time_point{this->event_loop.now()}; };
        dependencies.owner_of = [](std::string_view) { return core::node_name{"n"}; };
        dependencies.quota_owner_of = [this](std::string_view) { return this->quota_owner; };
        dependencies.is_settled = [] { return true; };
        dependencies.mark_unreachable = [](const core::node_name&) {};
        dependencies.send = [](const core::node_name&, wire::PeerDatagram&) {};
        dependencies.serving_node_count = [] { return 1; };
        dependencies.lost_node_count = [] { return 0; };
        dependencies.running_node_count = [] { return 1; };
        this->placement = std::make_unique<placement_service>(std::move(dependencies));
        rollout_dependencies functions;
        functions.self.value = "n";
        functions.run.value = 1;
        functions.now = [this] { return core::time_point{this->event_loop.now()}; };
        functions.owner_of = [this](std::string_view) { return this->controller; };
        functions.serving_node_count = [] { return 2; };
        functions.send = [](const core::node_name&, wire::PeerDatagram&) {};
        functions.send_to_all = [](wire::PeerDatagram&) {};
        functions.store_state = [](const core::rollout_order&, core::rollout_state,
                                   state_write_handler&&) {};
        functions.place_upstreams = [this](std::span<const core::announced_upstream> all) {
            this->placement->set_upstreams(all);
        };
        this->rollouts = std::make_unique<rollout_service>(std::move(functions));
        this->rollouts->set_orders({});
        this->parts = std::make_unique<part_guard>(
            part_guard_dependencies{this->event_loop,
                                    {"n"},
                                    [](std::string_view) { return core::node_name{"n"}; },
                                    [] { return true; },
                                    [](const core::node_name&, wire::PeerDatagram&) {},
                                    [](wire::PeerDatagram&) {},
                                    [] { return core::node_name{}; },
                                    [this](const core::upstream_name& name) {
                                        return this->upstreams.has_connection(name.value);
                                    }});
        this->calls = std::make_unique<call_handler>(
            call_dependencies{this->event_loop,
                              *this->callers,
                              this->upstreams,
                              *this->placement,
                              this->repeats,
                              this->metrics,
                              {"a"},
                              [this] { return this->rules; },
                              [this](const core::upstream_name& name) { return this->find(name); },
                              [] { return 1; },
                              *this->rollouts,
                              *this->parts,
                              [this](const core::upstream_process& process) {
                                  this->told_leaving.push_back(process.name.value);
                              },
                              [this](const core::failure_domain_name& domain) {
                                  return this->drains.is_drained(domain);
                              }});
        this->set_test_rules();
    }

    [[nodiscard]] const core::announced_upstream* find(const core::upstream_name& name) const
    {
        for (const core::announced_upstream& each : this->announced) {
            if (each.name == name)
                return &each;
        }
        return nullptr;
    }

    /// Sets routes /once/, /again/ and /stream/ of host h, and two of them with a longer time-out
    /// under /long/, for a team with key k.
    void set_test_rules(std::uint64_t version = 3)
    {
        core::ruleset ruleset;
        ruleset.version = version;
        const auto add = [&](std::string prefix, bool idempotent, bool streams,
                             core::duration timeout = 2s) {
            core::http_route route;
            route.name.value = prefix;
            route.host = "h";
            route.prefix = std::move(prefix);
            route.targets = {{{"t"}, 1.0}};
            route.idempotent = idempotent;
            route.streams = streams;
            route.resumable = streams;
            route.max_upstreams = 2;
            route.timeout = timeout;
            route.goal = 200ms;
            ruleset.routes.push_back(route);
        };
        add("/once/", false, false);
        add("/again/", true, false);
        add("/stream/", true, true);
        add("/long/again/", true, false, 6s);
        add("/long/stream/", true, true, 6s);
        core::team_rule team;
        team.name.value = "team";
        team.keys = {"k"};
        ruleset.teams = {team};
        this->rules = std::make_shared<const core::rule_index>(std::move(ruleset));
        this->placement->set_rules(this->rules);
    }

    /// Orders a roll-out to version v2 and lets its controller give v2 a share of the requests.
    void begin_rollout(std::uint32_t share_permille)
    {
        const core::rollout_order order{{"t"}, {"v2"}, 12s, core::rollout_state::running, {5}};
        this->rollouts->set_orders({&order, 1});
        wire::PeerDatagram message;
        message.mutable_rollout_directive()->set_target("t");
        message.mutable_rollout_directive()->set_version("v2");
        message.mutable_rollout_directive()->set_share_permille(share_permille);
        this->rollouts->receive_message(this->controller, message);
    }
    [[nodiscard]] core::rollout_report report() const
    {
        const auto reports =
            this->rollouts->split().reports(core::time_point{this->event_loop.now()});
        REQUIRE(reports.size() == 1);
        return reports[0];
    }
    /// Sum over all routes of a count of the new version.
    [[nodiscard]] std::uint32_t count_of(std::uint32_t core::version_counts::*count) const
    {
        std::uint32_t total = 0;
        for (const core::rollout_route_counts& each : this->report().routes)
            total += each.new_version.*count;
        return total;
    }
    /// Takes all slots of the canaries.
    std::vector<placement_number> occupy_canaries()
    {
        std::vector<placement_number> granted;
        bool is_full = false;
        while (!is_full) {
            core::placement_request request;
            request.pool = core::canary_pool_of({"t"});
            request.max_wait = 150ms;
            bool is_granted = false;
            const placement_number number = this->placement->place(
                std::move(request),
                [&](placement_number, const core::placement_response& response) {
                    is_granted = std::holds_alternative<core::placement_grant>(response);
                });
            static_cast<void>(run_until(
                this->event_loop,
                [&] {
                    this->placement->tick();
                    return is_granted;
                },
                200ms));
            is_full = !is_granted;
            if (is_granted)
                granted.push_back(number);
        }
        return granted;
    }

    void add_upstream(const std::string& name, const raw_server& server,
                      const std::string& version = "v1")
    {
        this->add_upstream(name, server.port(), version);
    }

    void add_upstream(const std::string& name, std::uint16_t port,
                      const std::string& version = "v1")
    {
        core::announced_upstream upstream;
        upstream.name.value = name;
        upstream.target.value = "t";
        upstream.version.value = version;
        upstream.address = {"127.0.0.1", port};
        upstream.slots = 4;
        this->announced.push_back(upstream);
        this->rollouts->set_upstreams(std::vector(this->announced));
    }

    /// Takes all free slots of an upstream.
    void fill_slots(const std::string& name)
    {
        for (bool granted = true; granted;) {
            core::placement_request wanted;
            wanted.pool.value = "t";
            wanted.max_wait = 1s;
            for (const core::announced_upstream& each : this->announced) {
                if (each.name.value != name)
                    wanted.avoid.push_back(each.name);
            }
            granted = false;
            const placement_number number = this->placement->place(
                std::move(wanted),
                [&granted](placement_number, const core::placement_response& response) {
                    granted = std::holds_alternative<core::placement_grant>(response);
                });
            // A new owner grants nothing at first.
            this->run([&] { return granted; }, 100ms);
            if (granted)
                this->held.push_back(number);
            else
                this->placement->withdraw(number);
        }
    }

    void free_slots()
    {
        for (const placement_number number : this->held)
            this->placement->withdraw(number);
        this->held.clear();
    }

    /// Runs the node until `done` holds; false when that takes longer than `limit`.
    bool run(const std::function<bool()>& done, std::chrono::microseconds limit = 20s)
    {
        return run_until(
            this->event_loop,
            [&] {
                this->placement->tick();
                this->parts->tick();
                return done();
            },
            limit);
    }

    /// Changes the rules in force.
    void change_rules(const std::function<void(core::ruleset&)>& change)
    {
        core::ruleset changed = this->rules->rules();
        ++changed.version;
        change(changed);
        this->rules = std::make_shared<const core::rule_index>(std::move(changed));
        this->placement->set_rules(this->rules);
    }

    /// Whether no call is open, and no slot taken or requested for one.
    [[nodiscard]] bool is_empty() const
    {
        const core::placement_scheduler& scheduler = this->placement->owned_placements();
        return this->calls->open_calls() == 0 && scheduler.in_flight() == this->held.size() &&
               scheduler.waiting() == 0;
    }

    /// Sends one request as a caller and returns the bytes of the response.
    std::string send_request(const std::string& path,
                             const std::string& headers = "Authorization: Bearer k\r\n",
                             int deadline_ms = 1500, const std::string& attempt = "id7")
    {
        std::string response;
        raw_client caller(this->callers->port(), [&](raw_connection& connection) {
            connection.send("GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + attempt +
                            "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                            "\r\nConnection: close\r\n" + headers + "\r\n");
            response = connection.receive_all();
        });
        REQUIRE(this->run([&] { return caller.done(); }));
        return response;
    }
};

inline std::string make_response(int status, const std::string& body,
                                 const std::string& headers = "",
                                 const std::string& attempt = "id7")
{
    return "HTTP/1.1 " + std::to_string(status) + " Any\r\nX-Attempt-Id: " + attempt + "\r\n" +
           "X-Server-Signature: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
           headers + "\r\n" + body;
}

/// An upstream that responds to its requests with the given bytes, one after another.
struct scripted_upstream {
    std::vector<std::string> requests;
    std::deque<std::string> responses;
    std::atomic<int> request_count{0};
    raw_server server;

    explicit scripted_upstream(std::deque<std::string> given)
        : responses(std::move(given)), server([this](raw_connection& connection) {
              while (true) {
                  const std::string request = connection.receive_until("\r\n\r\n");
                  if (request.empty() || this->responses.empty())
                      return;
                  this->requests.push_back(request);
                  ++this->request_count;
                  const std::string response = this->responses.front();
                  this->responses.pop_front();
                  if (response.empty())
                      return;
                  connection.send(response);
                  if (response.find("Content-Length") == std::string::npos)
                      return;
              }
          })
    {
    }
};

inline bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

inline const std::string stream_head =
    "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Attempt-Id: id7\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string last_chunk = "0\r\n\r\n";

inline std::string make_chunk(const std::string& text)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return std::string(size.data()) + text + "\r\n";
}

inline std::string make_event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

/// Bytes that an upstream sends after a pause.
struct paced_bytes {
    std::chrono::milliseconds pause{0};
    std::string bytes;
};

/// What an upstream does once it has sent all its bytes.
enum class ending { closes, hangs };

/// An upstream that responds to every request with the same bytes.
struct paced_upstream {
    using clock = std::chrono::steady_clock;

    std::atomic<int> request_count{0};
    /// The last request, and when it came.
    std::string request;
    std::atomic<clock::time_point> requested_at{clock::time_point{}};
    /// When the other side closed the connection of an upstream that hangs.
    std::atomic<clock::time_point> closed_at{clock::time_point{}};
    raw_server server;

    explicit paced_upstream(std::vector<paced_bytes> given, ending end = ending::closes)
        : server([this, steps = std::move(given), end](raw_connection& connection) {
              const std::string received = connection.receive_until("\r\n\r\n");
              if (received.empty())
                  return;
              this->request = received;
              this->requested_at = clock::now();
              ++this->request_count;
              for (const paced_bytes& each : steps) {
                  std::this_thread::sleep_for(each.pause);
                  connection.send(each.bytes);
              }
              if (end == ending::closes)
                  return;
              static_cast<void>(connection.receive_all());
              this->closed_at = clock::now();
          })
    {
    }
};

/// Collects the log of the process while it exists.
class captured_log {
public:
    captured_log()
        : path(std::filesystem::temp_directory_path() /
               ("call_handler_test_" + std::to_string(::getpid()) + ".log"))
    {
        std::filesystem::remove(this->path);
        daemon::configure_log({daemon::log_level::info, this->path.string()});
    }
    ~captured_log()
    {
        daemon::configure_log({});
        std::filesystem::remove(this->path);
    }
    captured_log(const captured_log&) = delete;
    captured_log& operator=(const captured_log&) = delete;

    /// The first line of an event, or nothing.
    [[nodiscard]] std::string find(const std::string& event) const
    {
        std::ifstream file(this->path);
        std::string line;
        while (std::getline(file, line)) {
            if (contains(line, " name=" + event + " "))
                return line;
        }
        return {};
    }

    /// Value of a field that is written without quotes.
    [[nodiscard]] static std::string field(const std::string& line, const std::string& key)
    {
        const std::size_t at = line.find(" " + key + "=");
        if (at == std::string::npos)
            return {};
        const std::size_t start = at + key.size() + 2;
        return line.substr(start, line.find(' ', start) - start);
    }

private:
    std::filesystem::path path;
};

/// An upstream that responds with a head and then sends one piece again and again until the other
/// side closes.
struct endless_upstream {
    std::atomic<std::size_t> sent{0};
    raw_server server;

    endless_upstream(std::string head, std::string piece, std::chrono::milliseconds pause = 0ms)
        : server([this, head = std::move(head), piece = std::move(piece),
                  pause](raw_connection& connection) {
              static_cast<void>(connection.receive_until("\r\n\r\n"));
              connection.send(head);
              while (connection.send(piece)) {
                  this->sent += piece.size();
                  std::this_thread::sleep_for(pause);
              }
          })
    {
    }
};

/// Gives every route that long, so that a busy machine does not reach a deadline.
inline void set_route_timeout(gateway_fixture& node, core::duration timeout)
{
    core::ruleset ruleset = node.rules->rules();
    for (core::http_route& route : ruleset.routes)
        route.timeout = timeout;
    node.rules = std::make_shared<const core::rule_index>(std::move(ruleset));
    node.placement->set_rules(node.rules);
}

} // namespace ragwortcove::gateway::test
