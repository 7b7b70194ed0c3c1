/// \file
/// Whether a request leaves the failure domain of its caller. Answers load that is uneven between
/// domains: upstreams of the caller's own domain are preferred while they suffice, and when they
/// don't, a share of the requests leaves that serves the callers of all domains alike.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace ragwortcove::core {

/// Why a request is placed in a failure domain that is not its caller's.
enum class departure : std::uint8_t {
    none,
    /// The own domain has no free slot that is in time.
    too_few,
    sooner,
    /// More of the prompt is cached there.
    cached,
};

[[nodiscard]] std::string_view to_string(departure reason);

struct spill_settings {
    bool enabled = false;
    /// Time that leaving must save the caller for each kilobyte that leaves with the request.
    duration cost_per_kilobyte = std::chrono::milliseconds{2};
};

/// Times that a request is expected to take on the best free upstream of a group.
struct domain_offer {
    /// Until the first event; for a plain service, until the response.
    double first_event_us = 0.0;
    double completion_us = 0.0;
    std::uint32_t uncached_tokens = 0;
};

/// Time that a request takes longer to reach an upstream in another failure domain, as the entries
/// of each domain measure it.
class domain_ways {
public:
    void record(const failure_domain_name& from, const failure_domain_name& to, duration way,
                time_point now);
    /// A typical time while there is no recent measurement.
    [[nodiscard]] duration between(const failure_domain_name& from, const failure_domain_name& to,
                                   time_point now) const;

private:
    struct measurement {
        double way_us = 0.0;
        time_point measured_at;
    };
    std::map<std::pair<failure_domain_name, failure_domain_name>, measurement> by_pair;
};

/// Shortest recent round trips of an entry to nodes of each failure domain.
class round_trips {
public:
    void record(const failure_domain_name& to, duration elapsed, time_point now);
    /// How much longer a round trip to a domain is than one within the own domain; none while
    /// either is unknown.
    [[nodiscard]] std::optional<duration> way(const failure_domain_name& own,
                                              const failure_domain_name& to) const;
    [[nodiscard]] std::vector<failure_domain_name> domains() const;

private:
    struct shortest {
        duration current{0};
        duration previous{0};
        time_point began_at;
    };
    std::map<failure_domain_name, shortest> by_domain;
};

/// Position of a queued request in the order of service, lowest first, without its domain.
struct service_order {
    std::uint32_t rank = 0;
    bool late = false;
    auto operator<=>(const service_order&) const = default;
};

/// Supply and demand of the failure domains in one cell, as its owner sees them.
class domain_demand {
public:
    /// Forgets the queued requests, before they are counted anew. `keeps` says whether free slots
    /// are kept for those of their own domain.
    void clear_waiting(bool keeps);
    void add_waiting(const failure_domain_name& domain, service_order order);
    void record_request(const failure_domain_name& domain, time_point now);
    void record_grant(const failure_domain_name& domain, service_order order, time_point now);
    /// A request at an upstream of the domain has ended.
    void record_release(const failure_domain_name& upstreams, time_point now);

    /// Whether a request may take a slot of another domain, of which `free_slots` are free. The
    /// callers there go first, unless those of `from` are served worse.
    [[nodiscard]] bool may_take(const failure_domain_name& from, service_order order,
                                const failure_domain_name& there, std::uint32_t free_slots,
                                time_point now) const;
    /// Estimated time until a request that waits gets a slot of its own domain; none while nothing
    /// is known of it.
    [[nodiscard]] std::optional<duration> own_wait(const failure_domain_name& domain,
                                                   service_order order, time_point now) const;
    /// Share of the recent requests of a domain's callers that were placed in time.
    [[nodiscard]] double served_share(const failure_domain_name& domain, time_point now) const;

private:
    /// A count that decays over time.
    struct decaying {
        double value = 0.0;
        time_point updated_at;
        void add(time_point now);
        [[nodiscard]] double at(time_point now) const;
    };
    struct domain_counts {
        decaying asked;
        decaying in_time;
        decaying released;
    };
    [[nodiscard]] std::uint32_t waiting_before(const failure_domain_name& domain,
                                               service_order order) const;
    [[nodiscard]] std::uint32_t waiting_at(const failure_domain_name& domain,
                                           service_order order) const;

    std::map<failure_domain_name, domain_counts> by_domain;
    bool keeps_slots = true;
    std::map<failure_domain_name, std::map<service_order, std::uint32_t>> waiting;
};

/// Time that leaving must save a request with this many tokens in its prompt and response.
[[nodiscard]] duration price_of_leaving(const spill_settings& settings, std::uint64_t tokens);
/// What a request must save to leave a free slot of its own domain: the price, and a clear part of
/// the time left until its objective.
[[nodiscard]] duration least_saving(duration price, duration budget_left);
/// Whether a request leaves a free slot of its own domain for one elsewhere; the way is part of the
/// times of `there`.
[[nodiscard]] departure compare_offers(const domain_offer& own, const domain_offer& there,
                                       duration least);
/// Whether a request leaves rather than wait for a slot of its own domain. `waited` is how long it
/// has waited, `wait` how much longer it would.
[[nodiscard]] bool is_worth_leaving(duration waited, std::optional<duration> wait,
                                    duration budget_left, duration way, duration price);

} // namespace ragwortcove::core
