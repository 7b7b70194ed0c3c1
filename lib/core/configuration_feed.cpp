#include "ragwortcove/core/configuration_feed.hpp"

#include "ragwortcove/core/rendezvous.hpp"

#include <algorithm>
#include <string>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Nodes of a region that watch the platform.
static constexpr std::size_t readers_per_region = 2;
/// Peers that hear of a change at once; the others follow from them or by heartbeats.
static constexpr std::size_t push_fanout = 3;
/// How long a peer may take to answer a question for changes.
static constexpr duration ask_limit = 500ms;
static constexpr duration list_retry_base = 250ms;
static constexpr duration list_retry_most = 5s;
/// How often a node looks whether it should read the platform.
static constexpr duration role_period = 500ms;

static bool is_among_first(const std::string& self, std::span<const std::string> candidates,
                           std::string_view key, std::size_t count)
{
    const std::vector<std::size_t> order = rendezvous_order(key, candidates);
    const std::size_t looked_at = std::min(count, order.size());
    return std::any_of(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(looked_at),
                       [&](std::size_t index) { return candidates[index] == self; });
}

// A node without any configuration reads the platform whatever its role: it has nothing to serve by
// and may be the first.
void configuration_feed::choose_role(step_context& context)
{
    const member_claim& self = this->peers.self();
    const std::vector<std::string> candidates = this->peers.owners(self.region, context.now);
    const bool chosen = is_among_first(self.name.value, candidates, "reader/" + self.region.value,
                                       readers_per_region);
    const bool should_read = chosen || this->config.empty();
    if (should_read == this->reading)
        return;
    this->reading = should_read;
    if (!should_read && this->watching) {
        this->watching = false;
        context.effects.emplace_back(close_watch{});
    }
    if (should_read)
        this->list_at = context.now;
}

void configuration_feed::list(step_context& context)
{
    this->listing = this->calls.call(call_purpose::configuration, platform_list{}, context);
}

bool configuration_feed::listed(call_id call, const platform_result& result, step_context& context)
{
    if (!this->listing || *this->listing != call)
        return false;
    this->listing.reset();
    const platform_listed* found = std::get_if<platform_listed>(&result);
    if (found == nullptr) {
        // Full jitter, so that a whole fleet does not come back to a platform that just recovered.
        if (this->list_failures == 0)
            context.log(decision_kind::platform_lost, {}, "configuration");
        this->list_at =
            context.now + list_retry_base / 2 +
            full_jitter(context.random, list_retry_base, this->list_failures, list_retry_most);
        ++this->list_failures;
        return false;
    }
    if (this->list_failures > 0)
        context.log(decision_kind::platform_regained, {}, "configuration");
    this->list_failures = 0;
    const bool changed = this->config.apply(feed_snapshot{found->store, found->at, found->objects});
    if (changed)
        this->applied(context);
    if (this->reading) {
        this->watching = true;
        context.effects.emplace_back(open_watch{this->config.at()});
    }
    return changed;
}

void configuration_feed::watch_ended(const core::watch_ended& message, step_context& context)
{
    this->watching = false;
    if (!this->reading)
        return;
    // Listing again costs a call, but finds out at once whether the platform is there and what was
    // missed; the wait is jittered for the same reason as above.
    (void)message;
    this->list_at = context.now + full_jitter(context.random, list_retry_base, this->list_failures,
                                              list_retry_most);
}

bool configuration_feed::watched(const watch_changed& message, step_context& context)
{
    // Changes between what is in force and these were lost: the watch begins anew from the former.
    if (this->watching && message.changes.after > this->config.at())
        context.effects.emplace_back(open_watch{this->config.at()});
    if (!this->config.apply(message.changes))
        return false;
    this->applied(context);
    return true;
}

bool configuration_feed::receive(const node_name& from, const feed_delta& message,
                                 step_context& context)
{
    this->asked_until = time_point{};
    if (this->config.apply(message)) {
        this->applied(context);
        return true;
    }
    const bool misses_some = !this->config.empty() && message.after > this->config.at();
    if (misses_some && message.store == this->config.store()) {
        this->asked_until = context.now + ask_limit;
        context.send(from, feed_request{this->config.store(), this->config.at()});
    }
    return false;
}

bool configuration_feed::receive(const feed_snapshot& message, step_context& context)
{
    this->asked_until = time_point{};
    if (!this->config.apply(message))
        return false;
    this->applied(context);
    return true;
}

bool configuration_feed::receive(const node_name& from, const feed_request& message,
                                 step_context& context)
{
    if (this->config.empty())
        return false;
    const bool same_store = message.store == this->config.store();
    std::optional<feed_delta> changes =
        same_store ? this->config.changes_after(message.after) : std::nullopt;
    if (changes) {
        context.send(from, std::move(*changes));
        return false;
    }
    context.send(from, this->config.snapshot());
    return false;
}

// A change is pushed on to a few peers at random: it reaches all in about log3(n) hops, and costs a
// node the same at any size. Only the last change goes out: what is known of a peer's revision is
// as old as its last heartbeat. A peer that misses an earlier change asks for it.
void configuration_feed::applied(step_context& context)
{
    this->applied_at = context.now;
    context.log(decision_kind::configuration_applied, {}, this->config.store().value,
                std::to_string(this->config.at().value));
    const feed_delta* change = this->config.last_change();
    if (change == nullptr)
        return;
    std::vector<const member*> behind;
    for (const member* other : this->peers.others()) {
        if (other->configuration < this->config.at())
            behind.push_back(other);
    }
    for (std::size_t sent = 0; sent < push_fanout && !behind.empty(); ++sent) {
        const auto index = static_cast<std::size_t>(uniform_below(context.random, behind.size()));
        const member* chosen = behind[index];
        behind.erase(behind.begin() + static_cast<std::ptrdiff_t>(index));
        context.send(chosen->claim.name, feed_delta{*change});
    }
}

void configuration_feed::heard(const heartbeat& message, step_context& context)
{
    const bool ahead = message.configuration > this->config.at();
    const bool ours = this->config.empty() || message.store == this->config.store();
    if (!ahead || !ours || this->asked_until > context.now)
        return;
    this->asked_until = context.now + ask_limit;
    context.send(message.sender.name, feed_request{this->config.store(), this->config.at()});
}

void configuration_feed::returned(step_context& context)
{
    if (this->config.empty())
        return;
    std::vector<const member*> others = this->peers.others();
    for (std::size_t sent = 0; sent < push_fanout && !others.empty(); ++sent) {
        const auto index = static_cast<std::size_t>(uniform_below(context.random, others.size()));
        context.send(others[index]->claim.name,
                     feed_request{this->config.store(), this->config.at()});
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
    }
    // A watch that was open during the pause may have ended unheard.
    if (!this->watching)
        return;
    this->watching = false;
    context.effects.emplace_back(close_watch{});
    this->list_at = context.now;
}

void configuration_feed::tick(step_context& context)
{
    if (this->role_at <= context.now) {
        this->role_at = context.now + role_period;
        this->choose_role(context);
    }
    const bool due = this->reading && !this->watching && !this->listing;
    if (due && this->list_at <= context.now)
        this->list(context);
}

time_point configuration_feed::next_wakeup() const
{
    time_point next = this->role_at;
    if (this->reading && !this->watching && !this->listing)
        next = std::min(next, this->list_at);
    return next;
}

} // namespace ragwortcove::core
