#include "inbound_state.hpp"

#include <algorithm>

// How a server bounds the time and the memory that its clients take.

namespace ragwortcove::http {

using std::chrono::microseconds;

/// How often limits of time are looked at.
static constexpr std::chrono::milliseconds sweep_interval{250};
static constexpr int status_unavailable = 503;

bool inbound_server::state::make_room()
{
    std::shared_ptr<inbound_connection> longest;
    for (const auto& [id, each] : this->connections) {
        const bool is_longer = !longest || each->since < longest->since;
        if (is_longer && is_unused(*each))
            longest = each;
    }
    if (longest)
        this->close(*longest);
    return longest != nullptr;
}

void inbound_server::state::bound_requests(inbound_connection& from)
{
    if (from.dead || from.phase != connection_phase::reading)
        return;
    from.held.set(this->held_request_bytes, from.request.body.capacity());
    if (this->held_request_bytes <= this->limits.max_all_request_bytes)
        return;
    inbound_connection* longest = &from;
    for (const auto& [id, each] : this->connections) {
        if (each->phase == connection_phase::reading && each->held.size() > longest->held.size())
            longest = each.get();
    }
    this->reject(*longest, status_unavailable);
}

bool inbound_server::state::is_slow(const inbound_connection& each) const
{
    if (each.phase != connection_phase::reading)
        return false;
    const microseconds now = this->on.now();
    const microseconds awaited_since = each.head_read ? each.body_at : each.since;
    return now - awaited_since > this->limits.header_time ||
           now - each.since > this->limits.request_time;
}

bool inbound_server::state::is_clogged(inbound_connection& each) const
{
    const std::size_t unsent = each.stream->unsent_bytes();
    const bool progresses = each.stream->sent_bytes() != each.sent_bytes;
    if (progresses || unsent <= this->limits.unsent_bytes) {
        each.sent_bytes = each.stream->sent_bytes();
        each.sent_at = this->on.now();
    }
    return unsent > this->limits.max_unsent_bytes ||
           this->on.now() - each.sent_at > this->limits.clogged_time;
}

// Between two sweeps, a fast link brings more bytes than the limit. What was written since they
// were last counted bounds from above what waits, at no cost for each connection.
void inbound_server::state::on_written(std::size_t bytes)
{
    this->written_since += bytes;
    const bool may_exceed =
        this->counted_unsent_bytes + this->written_since > this->limits.max_all_unsent_bytes;
    if (!may_exceed || this->counting_unsent)
        return;
    this->counting_unsent = true;
    run_after_turn(this->on, [this] {
        this->counting_unsent = false;
        this->cut_off_clogged();
    });
}

std::size_t inbound_server::state::unsent_bytes() const
{
    std::size_t unsent = 0;
    for (const auto& each : this->ending)
        unsent += each->stream->unsent_bytes();
    for (const auto& [id, each] : this->connections)
        unsent += each->stream->unsent_bytes();
    return unsent;
}

std::vector<std::shared_ptr<inbound_connection>> inbound_server::state::find_clogged()
{
    std::vector<std::shared_ptr<inbound_connection>> all = this->ending;
    for (const auto& [id, each] : this->connections)
        all.push_back(each);
    std::vector<std::shared_ptr<inbound_connection>> found;
    for (const auto& each : all) {
        if (this->is_clogged(*each))
            found.push_back(each);
    }
    this->counted_unsent_bytes = this->unsent_bytes();
    this->written_since = 0;
    if (!found.empty() || this->counted_unsent_bytes <= this->limits.max_all_unsent_bytes)
        return found;
    return {*std::ranges::max_element(
        all, {}, [](const auto& each) { return each->stream->unsent_bytes(); })};
}

void inbound_server::state::cut_off_clogged()
{
    for (const auto& each : this->find_clogged()) {
        this->report(*each, closing_reason::clogged);
        each->stream->reset();
        this->ended(*each);
    }
}

void inbound_server::state::sweep()
{
    const microseconds now = this->on.now();
    this->forget_ended();
    std::vector<std::shared_ptr<inbound_connection>> late;
    for (const auto& [id, each] : this->connections) {
        const microseconds age = now - each->since;
        const bool slow = this->is_slow(*each);
        const bool idle_too_long =
            age > std::max<microseconds>(each->idle_time, this->limits.idle_time);
        const bool unused = idle_too_long && is_unused(*each);
        if (slow || unused)
            late.push_back(each);
    }
    for (const auto& each : late) {
        if (each->phase == connection_phase::reading) {
            this->report(*each, closing_reason::slow_request);
            this->reject(*each, 408);
            continue;
        }
        this->close(*each);
    }
    this->cut_off_clogged();
    this->sweep_timer = this->on.after(sweep_interval, [this] { this->sweep(); });
}

} // namespace ragwortcove::http
