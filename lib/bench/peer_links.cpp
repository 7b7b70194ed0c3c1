// Streams between nodes: in order, and lost as a whole.
#include "ragwortcove/peer/codec.hpp"
#include "run_state.hpp"

#include <algorithm>

namespace ragwortcove::bench {

using namespace std::chrono_literals;
using core::duration;

/// How long a stream's ends take to see that it carries nothing.
static constexpr duration silence_seen_after = 2s;
static constexpr duration refused_after = 2ms;

node_process* runner::state::find_node(const core::endpoint& peers)
{
    const auto wanted = [&](const node_process& node) { return node.plan.peers == peers; };
    const auto found = std::find_if(this->nodes.begin(), this->nodes.end(), wanted);
    return found == this->nodes.end() ? nullptr : &*found;
}

void runner::state::send_on_stream(node_process& from, node_process& to,
                                   const core::peer_message& message)
{
    if (!to.core) {
        const duration seen_after = to.vm_lost ? silence_seen_after : refused_after;
        this->deliver_event(from.index, from.run, core::peer_disconnected{to.plan.name},
                            seen_after);
        return;
    }
    peer_stream& stream = this->streams[{from.index, to.index}];
    if (stream.lost) {
        return;
    }
    const place here{place_kind::node, from.index};
    const place there{place_kind::node, to.index};
    if (!this->links.carries(here, there, this->now())) {
        this->lose_stream(from.index, to.index);
        return;
    }
    const auto at = this->now() + this->links.draw_delay(here, there);
    stream.last_delivery = std::max(stream.last_delivery, at);
    this->deliver_event(to.index, to.run, core::peer_received{from.plan.name, from.run, message},
                        stream.last_delivery - this->now());
}

void runner::state::lose_stream(std::size_t from, std::size_t to)
{
    this->streams[{from, to}].lost = true;
    this->queue.after(silence_seen_after, [this, from, to] {
        this->streams.erase({from, to});
        node_process& sender = this->nodes[from];
        node_process& receiver = this->nodes[to];
        if (sender.core) {
            this->step(sender, core::peer_disconnected{receiver.plan.name});
        }
        if (receiver.core) {
            this->step(receiver, core::peer_disconnected{sender.plan.name});
        }
    });
}

static bool is_permit_message(const core::peer_message& message)
{
    return std::holds_alternative<core::permit_request>(message) ||
           std::holds_alternative<core::permit_grant>(message) ||
           std::holds_alternative<core::permit_denial>(message) ||
           std::holds_alternative<core::permit_withdrawal>(message) ||
           std::holds_alternative<core::permit_started>(message) ||
           std::holds_alternative<core::permit_release>(message) ||
           std::holds_alternative<core::permit_report>(message);
}

void runner::state::count_message(const core::peer_message& message)
{
    traffic_result& counted =
        is_permit_message(message) ? this->figures.permits : this->figures.control;
    ++counted.messages;
    if (this->settings.count_bytes) {
        counted.bytes += peer::encode_datagram(message).size();
    }
}

} // namespace ragwortcove::bench
