/// \file
/// Rules for HTTP traffic: routes by host and path, teams with keys and quotas, limits on callers.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::core {

/// One of the targets among which a route's requests are split.
struct target_weight {
    target_name target;
    double weight = 1.0;
    bool operator==(const target_weight&) const = default;
};

/// A route that is chosen by host and path.
struct http_route {
    route_name name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// Never empty.
    std::vector<target_weight> targets;
    /// Whether the response is a stream of events.
    bool streams = false;
    /// Whether a request may run more than once.
    bool idempotent = false;
    /// Whether a stream may be resumed at another upstream.
    bool resumable = false;
    /// Whether requests need no key.
    bool is_public = false;
    /// Maximum number of upstreams to which one request may be sent.
    std::uint32_t max_upstreams = 1;
    /// Zero is the most urgent.
    std::uint32_t rank = 0;
    /// Longest time that a request waits for its response.
    duration timeout = std::chrono::seconds{60};
    /// Time within which the response, or a stream's first event, has its full value.
    duration goal = std::chrono::seconds{1};
    /// Longest pause between two events of a stream that still counts as on time; zero for no
    /// limit.
    duration longest_pause{0};
    bool operator==(const http_route&) const = default;
};

/// Configuration of the upstreams of one target.
struct target_rule {
    target_name name;
    bool is_engine = false;
    /// Requests that one engine runs concurrently; zero when each upstream states its own number.
    std::uint32_t slots = 0;
    /// Tokens that fit into one engine's memory.
    std::uint32_t cache_tokens = 0;
    /// Tokens in one event of a stream.
    std::uint32_t event_tokens = 1;
    /// Requests a second that an upstream bears while it is warming up; zero for no limit.
    double warmup_rate = 0.0;
    /// Length of the warm-up after a start.
    duration warmup_time{0};
    bool operator==(const target_rule&) const = default;
};

/// A team's keys and quota.
struct team_rule {
    team_name name;
    std::vector<std::string> keys;
    /// Takes precedence over the route's rank, if stated.
    std::optional<std::uint32_t> rank;
    /// Whether requests count by their tokens; otherwise each counts as one.
    bool counts_tokens = false;
    /// Tokens that a request without a stated size counts as.
    std::uint32_t default_tokens = 1;
    /// Units per second; zero for no limit.
    double rate = 0.0;
    double burst = 0.0;
    bool operator==(const team_rule&) const = default;
};

/// What callers may send and how long they may take.
struct caller_limits {
    std::uint32_t header_bytes = 16U << 10U;
    std::uint64_t body_bytes = 4U << 20U;
    duration header_time = std::chrono::seconds{3};
    duration idle_time = std::chrono::seconds{15};
    bool operator==(const caller_limits&) const = default;
};

/// One version of all rules.
struct ruleset {
    std::uint64_t version = 0;
    std::vector<http_route> routes;
    std::vector<target_rule> targets;
    std::vector<team_rule> teams;
    caller_limits limits;
    bool operator==(const ruleset&) const = default;
};

/// A ruleset with the look-ups that each request needs.
class rule_index {
public:
    explicit rule_index(ruleset&& rules);
    rule_index(const rule_index&) = delete;
    rule_index& operator=(const rule_index&) = delete;

    [[nodiscard]] const ruleset& rules() const { return this->all; }
    /// Route with the longest prefix that matches the start of the path; null when none matches.
    [[nodiscard]] const http_route* find_route(std::string_view host, std::string_view path) const;
    /// Team that holds the key; null when none does.
    [[nodiscard]] const team_rule* find_team_by_key(std::string_view key) const;
    [[nodiscard]] const team_rule* find_team(const team_name& name) const;
    [[nodiscard]] const target_rule* find_target(const target_name& name) const;
    [[nodiscard]] bool has_teams() const { return !this->all.teams.empty(); }
    /// Keys of all teams.
    [[nodiscard]] std::size_t key_count() const { return this->by_key.size(); }

private:
    ruleset all;
    /// Routes of a host, longest prefix first.
    std::map<std::string, std::vector<const http_route*>, std::less<>> by_host;
    std::map<std::string, const team_rule*, std::less<>> by_key;
};

/// Units of a team's quota that a request uses; `tokens` is unset when it states no size.
[[nodiscard]] double quota_cost(const team_rule& team, std::optional<std::uint64_t> tokens);

} // namespace ragwortcove::core
