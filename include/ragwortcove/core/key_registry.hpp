/// \file
/// Idempotency keys built on this incarnation's tickets, and keys handed over by other entries.
#pragma once

#include "ragwortcove/core/request.hpp"
#include "ragwortcove/core/types.hpp"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace ragwortcove::core {

/// What a key's one right to be dispatched is worth here.
enum class key_status {
    /// The right is here and unused.
    free,
    /// A request with this key is open.
    in_progress,
    /// A request with this key may have run or was answered.
    used,
    /// The right was given to another incarnation.
    handed_over,
};

/// Rights of keys, kept as long as a ticket can be used. A right is given away once at most.
class key_registry {
public:
    /// Longest time from a ticket's minting to the first use of a key built on it.
    static constexpr duration ticket_lifetime = std::chrono::minutes{10};
    /// Bits of a ticket's nonce below the wall-clock time of its minting, in milliseconds.
    static constexpr unsigned nonce_random_bits = 20;

    [[nodiscard]] bool knows(const std::string& key) const { return this->keys.contains(key); }
    [[nodiscard]] key_status standing(const std::string& key) const;
    /// Opens a request with a free key.
    void begin(const std::string& key, time_point now);
    /// The key's request ended; a key whose request did not run is free again.
    void end(const std::string& key, bool may_have_run);
    /// Gives the right away; tells whether it was free or had been given to the same incarnation.
    bool hand_over(const std::string& key, incarnation to, time_point now);
    /// Forgets keys whose tickets can no longer be used.
    void expire(time_point now);
    [[nodiscard]] std::size_t size() const { return this->keys.size(); }

private:
    struct key_record {
        key_status standing = key_status::free;
        incarnation holder;
    };
    key_record& touch(const std::string& key, time_point now);

    std::map<std::string, key_record> keys;
    std::deque<std::pair<time_point, std::string>> by_age;
};

} // namespace ragwortcove::core
