#include "ragwortcove/core/configuration_feed.hpp"

#include "ragwortcove/core/rendezvous.hpp"

#include <algorithm>
#include <string>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Number of nodes of a region that watch the platform.
static constexpr std::size_t readers_per_region = 2;
/// Number of peers that a change is pushed to at once; the others receive it from them, or request
/// it after a heartbeat.
static constexpr std::size_t push_fanout = 3;
/// How long a peer may take to respond to a request for changes.
static constexpr duration request_timeout = 500ms;
/// Time within which a sound platform answers.
static constexpr duration list_response_time = 2s;
static constexpr duration list_retry_base = 250ms;
static constexpr duration list_retry_max = 5s;
/// Time between two checks of whether this node should read the platform.
static constexpr duration role_check_period = 500ms;

static bool is_among_first(const std::string& self, std::span<const std::string> candidates,
                           std::string_view key, std::size_t count)
{
    const std::vector<std::size_t> order = rendezvous_order(key, candidates);
    const std::size_t considered = std::min(count, order.size());
    return std::any_of(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(considered),
                       [&](std::size_t index) { return candidates[index] == self; });
}

// A node without any configuration reads the platform whatever its role: it cannot serve requests,
// and it may be the first node.
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
        this->next_list_at = context.now;
}

void configuration_feed::start_list(step_context& context)
{
    this->list_call = this->calls.call(call_purpose::configuration, platform_list{}, context);
    this->list_late_at = context.now + list_response_time;
}

void configuration_feed::on_list_failed(step_context& context)
{
    if (this->list_failures == 0)
        context.log(decision_kind::platform_lost, {}, "configuration");
    // Full jitter, so that the nodes do not all retry at once when the platform has recovered.
    this->next_list_at =
        context.now + list_retry_base / 2 +
        full_jitter(context.random, list_retry_base, this->list_failures, list_retry_max);
    ++this->list_failures;
}

bool configuration_feed::on_listed(call_id call, const platform_result& result,
                                   step_context& context)
{
    const bool is_late = this->late_lists.erase(call) > 0;
    if (!is_late && this->list_call != call)
        return false;
    if (!is_late)
        this->list_call.reset();
    const platform_listed* found = std::get_if<platform_listed>(&result);
    if (found == nullptr) {
        if (!is_late)
            this->on_list_failed(context);
        return false;
    }
    // The other lists that are open have no use any more.
    this->list_call.reset();
    this->late_lists.clear();
    if (this->list_failures > 0)
        context.log(decision_kind::platform_regained, {}, "configuration");
    this->list_failures = 0;
    const bool changed = this->config.apply(feed_snapshot{found->store, found->at, found->objects});
    if (changed)
        this->announce_applied(context);
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
    // Listing again costs a call, but shows at once whether the platform is available and which
    // changes were missed; the wait is jittered for the same reason as above.
    (void)message;
    this->next_list_at = context.now + full_jitter(context.random, list_retry_base,
                                                   this->list_failures, list_retry_max);
}

bool configuration_feed::on_watch_changed(const watch_changed& message, step_context& context)
{
    // Changes between the revision in force and these were lost: the watch is opened again at the
    // revision in force.
    if (this->watching && message.changes.after > this->config.at())
        context.effects.emplace_back(open_watch{this->config.at()});
    if (!this->config.apply(message.changes))
        return false;
    this->announce_applied(context);
    return true;
}

bool configuration_feed::receive(const node_name& from, const feed_delta& message,
                                 step_context& context)
{
    this->request_deadline = time_point{};
    if (this->config.apply(message)) {
        this->announce_applied(context);
        return true;
    }
    const bool has_gap = !this->config.empty() && message.after > this->config.at();
    if (has_gap && message.store == this->config.store()) {
        this->request_deadline = context.now + request_timeout;
        context.send(from, feed_request{this->config.store(), this->config.at()});
    }
    return false;
}

bool configuration_feed::receive(const feed_snapshot& message, step_context& context)
{
    this->request_deadline = time_point{};
    if (!this->config.apply(message))
        return false;
    this->announce_applied(context);
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

// A change is pushed to a few random peers: it reaches all nodes in about log3(n) hops, and costs a
// node the same at any number of nodes. Only the last change is sent: a peer's known revision is as
// old as its last heartbeat. A peer that misses an earlier change requests it.
void configuration_feed::announce_applied(step_context& context)
{
    this->applied_at = context.now;
    context.log(decision_kind::configuration_applied, {}, this->config.store().value,
                std::to_string(this->config.at().value));
    const feed_delta* change = this->config.last_change();
    if (change == nullptr)
        return;
    std::vector<const member*> outdated;
    for (const member* other : this->peers.others()) {
        if (other->configuration < this->config.at())
            outdated.push_back(other);
    }
    for (std::size_t sent = 0; sent < push_fanout && !outdated.empty(); ++sent) {
        const auto index = static_cast<std::size_t>(uniform_below(context.random, outdated.size()));
        const member* chosen = outdated[index];
        outdated.erase(outdated.begin() + static_cast<std::ptrdiff_t>(index));
        context.send(chosen->claim.name, feed_delta{*change});
    }
}

void configuration_feed::on_heartbeat(const heartbeat& message, step_context& context)
{
    const bool newer = message.configuration > this->config.at();
    const bool same_store = this->config.empty() || message.store == this->config.store();
    if (!newer || !same_store || this->request_deadline > context.now)
        return;
    this->request_deadline = context.now + request_timeout;
    context.send(message.sender.name, feed_request{this->config.store(), this->config.at()});
}

void configuration_feed::on_resumed(step_context& context)
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
    // A watch that was open during the pause may have ended without notice.
    if (!this->watching)
        return;
    this->watching = false;
    context.effects.emplace_back(close_watch{});
    this->next_list_at = context.now;
}

// A platform may be slower than it should be. Whoever gives a call up each time and makes it anew
// never gets a response, so a late one stays open.
void configuration_feed::check_list(step_context& context)
{
    if (!this->list_call || context.now < this->list_late_at)
        return;
    this->late_lists.insert(*this->list_call);
    this->list_call.reset();
    this->on_list_failed(context);
}

void configuration_feed::tick(step_context& context)
{
    this->check_list(context);
    if (this->next_role_check_at <= context.now) {
        this->next_role_check_at = context.now + role_check_period;
        this->choose_role(context);
    }
    const bool due = this->reading && !this->watching && !this->list_call;
    if (due && this->next_list_at <= context.now)
        this->start_list(context);
}

time_point configuration_feed::next_wakeup() const
{
    time_point next = this->next_role_check_at;
    if (this->reading && !this->watching && !this->list_call)
        next = std::min(next, this->next_list_at);
    if (this->list_call)
        next = std::min(next, this->list_late_at);
    return next;
}

} // namespace ragwortcove::core
