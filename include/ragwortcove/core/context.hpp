/// \file
/// Context that one step of a node passes to its modules.
#pragma once

#include "ragwortcove/core/effect.hpp"
#include "ragwortcove/core/types.hpp"

#include <random>

namespace ragwortcove::core {

/// The seeded generator used for all randomness in the core.
using random_engine = std::mt19937_64;

/// Time, randomness and the effects that this step has produced so far.
struct step_context {
    time_point now;
    unix_millis wall;
    random_engine& random;
    effect_list& effects;

    /// Sends to a member by name; the node fills in the address.
    void send(const node_name& to, peer_message&& message)
    {
        this->effects.emplace_back(send_peer{to, {}, std::move(message)});
    }
    void log(decision_kind kind, const request_id& request, std::string subject,
             std::string detail = {})
    {
        this->effects.emplace_back(
            log_decision{kind, request, std::move(subject), std::move(detail)});
    }
};

/// Uniform in [0, 1).
[[nodiscard]] double uniform(random_engine& random);
/// Uniform in [0, bound); `bound` must not be zero.
[[nodiscard]] std::uint64_t uniform_below(random_engine& random, std::uint64_t bound);
/// Full-jitter delay: uniform between zero and `base` doubled `attempt` times, limited to
/// `max_delay`.
[[nodiscard]] duration full_jitter(random_engine& random, duration base, std::uint32_t attempt,
                                   duration max_delay);

} // namespace ragwortcove::core
