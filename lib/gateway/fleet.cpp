#include "ragwortcove/gateway/fleet.hpp"

#include "../../lib/peer/datagram_socket.hpp"
#include "gateway.pb.h"
#include "ragwortcove/core/rendezvous.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/peer/codec.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;

/// Interval between checks of the membership.
static constexpr core::duration tick_period = 100ms;
/// Interval between heartbeats to seeds and to nodes that are considered dead. After a partition,
/// nothing else would let the two sides discover each other.
static constexpr core::duration greet_period = 1s;
/// How long a node that did not respond is excluded from the owners.
static constexpr core::duration unreachable_duration = 1s;
/// How long a starting node waits to discover other nodes.
static constexpr core::duration discovery_timeout = 1s;
/// Minimum interval between sending all member claims to nodes whose view differs.
static constexpr core::duration reconcile_period = 100ms;
/// Maximum number of nodes that are notified at once when this node starts or stops serving; the
/// others learn of the change by gossip.
static constexpr std::size_t max_broadcast = 32;
/// First byte of a datagram, which gives the type of the rest.
static constexpr char heartbeat_tag = 'H';
static constexpr char message_tag = 'M';

static core::node_settings make_node_settings(const gateway_settings& from, core::incarnation run)
{
    core::node_settings result;
    result.name = from.name;
    result.run = run;
    result.callers = from.callers;
    result.peers = from.peers;
    result.region = from.region;
    result.failure_domain = from.failure_domain;
    result.seeds = from.seeds;
    return result;
}

/// A suspect may still be serving: a node stops counting as serving only when it ends or announces
/// that it is leaving.
static bool is_serving(const core::member_claim& claim)
{
    return claim.state == core::member_state::live || claim.state == core::member_state::suspect;
}

fleet::fleet(http::loop& loop, const gateway_settings& settings, core::incarnation run,
             fleet_handlers&& given)
    : event_loop(loop), self(make_node_settings(settings, run)), handlers(std::move(given)),
      random(run.value), members(this->self)
{
    this->datagram_socket = peer::open_datagram_socket(settings.peers);
    if (this->datagram_socket < 0)
        return;
    http::descriptor_handlers socket_handlers;
    socket_handlers.readable = [this] {
        peer::receive_datagrams(this->datagram_socket,
                                [this](std::string_view bytes) { this->receive_datagram(bytes); });
    };
    socket_handlers.writable = [] {};
    socket_handlers.closed = [] {};
    loop.watch(this->datagram_socket, std::move(socket_handlers));
    this->started_at = this->now();
    this->rebuild_owners();
    this->tick();
}

fleet::~fleet()
{
    this->event_loop.cancel(this->timer);
}

void fleet::tick()
{
    core::step_context context{this->now(), {}, this->random, this->effects};
    for (const core::node_name& target : this->members.due(context)) {
        const core::member* known = this->members.find(target);
        if (known != nullptr)
            this->send_heartbeat(target, known->claim.peers, true);
    }
    if (this->now() >= this->next_greeting_at) {
        this->next_greeting_at = this->now() + greet_period;
        this->greet_seeds();
    }
    std::erase_if(this->unreachable_until,
                  [this](const auto& each) { return each.second <= this->now(); });
    this->apply_membership_changes();
    this->timer = this->event_loop.after(tick_period, [this] { this->tick(); });
}

void fleet::greet_seeds()
{
    std::vector<core::endpoint> candidates;
    for (const core::endpoint& seed : this->self.seeds) {
        if (seed != this->self.peers)
            candidates.push_back(seed);
    }
    for (const core::member_claim& claim : this->members.all()) {
        if (claim.name == this->self.name)
            continue;
        std::erase(candidates, claim.peers);
        if (claim.state == core::member_state::dead)
            candidates.push_back(claim.peers);
    }
    constexpr std::size_t max_greeted = 3;
    while (candidates.size() > max_greeted)
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(core::uniform_below(
                                                  this->random, candidates.size())));
    for (const core::endpoint& candidate : candidates)
        this->send_heartbeat({}, candidate, true);
}

void fleet::send_heartbeat(const core::node_name& to, const core::endpoint& address,
                           bool wants_response)
{
    core::step_context context{this->now(), {}, this->random, this->effects};
    const core::heartbeat heartbeat = this->members.make_heartbeat(to, wants_response, context);
    const std::string bytes = heartbeat_tag + peer::encode_datagram(heartbeat);
    // A failure to send is treated like a datagram that the network lost.
    static_cast<void>(peer::send_datagram(this->datagram_socket, address, bytes));
}

void fleet::receive_datagram(std::string_view bytes)
{
    if (bytes.empty())
        return;
    if (bytes.front() == heartbeat_tag) {
        this->receive_heartbeat(bytes.substr(1));
        return;
    }
    wire::PeerDatagram message;
    const bool readable =
        bytes.front() == message_tag &&
        message.ParseFromArray(bytes.data() + 1, static_cast<int>(bytes.size() - 1));
    if (!readable) {
        daemon::write_log(daemon::log_event::peer_message_unreadable,
                          {{"bytes", std::to_string(bytes.size())}});
        return;
    }
    const core::node_name from{message.sender()};
    const bool is_for_this_run =
        message.receiver_run() == 0 || message.receiver_run() == this->self.run.value;
    if (is_for_this_run)
        this->handlers.received(from, message);
}

void fleet::receive_heartbeat(std::string_view bytes)
{
    auto decoded = peer::decode_datagram(bytes);
    const auto* heartbeat = decoded ? std::get_if<core::heartbeat>(&*decoded) : nullptr;
    if (heartbeat == nullptr) {
        daemon::write_log(daemon::log_event::peer_message_unreadable,
                          {{"bytes", std::to_string(bytes.size())}});
        return;
    }
    core::step_context context{this->now(), {}, this->random, this->effects};
    this->members.receive(*heartbeat, context);
    this->unreachable_until.erase(heartbeat->sender.name);
    if (this->members.later_run()) {
        // If the clock was set back before this start, the incarnation must still be later than
        // that of the previous run.
        this->members.raise_run();
        daemon::write_log(daemon::log_event::incarnation_raised,
                          {{"incarnation", std::to_string(this->members.self().run.value)}});
        this->broadcast_heartbeat();
    }
    if (heartbeat->wants_answer) {
        this->send_heartbeat(heartbeat->sender.name, heartbeat->sender.peers, false);
        const bool is_newcomer =
            heartbeat->known.empty() && heartbeat->sender.state == core::member_state::joining;
        if (is_newcomer)
            this->send_all_claims(heartbeat->sender.peers);
    }
    this->reconcile_views(*heartbeat);
    this->apply_membership_changes();
}

void fleet::send_all_claims(const core::endpoint& to)
{
    for (const core::heartbeat& each : this->members.introductions()) {
        const std::string sent = heartbeat_tag + peer::encode_datagram(each);
        static_cast<void>(peer::send_datagram(this->datagram_socket, to, sent));
    }
}

// Nodes with different views of the serving members choose different owners. When all nodes start
// at once, gossip on heartbeats alone takes many periods to make the views agree, so a node whose
// view differs is sent the claims of all members.
void fleet::reconcile_views(const core::heartbeat& heartbeat)
{
    const bool differs = heartbeat.view != 0 && heartbeat.view != this->members.view();
    if (!differs || this->now() < this->next_reconcile_at)
        return;
    this->next_reconcile_at = this->now() + reconcile_period;
    this->send_all_claims(heartbeat.sender.peers);
}

// The effects that membership produces are only log lines; this class sends the messages.
void fleet::apply_membership_changes()
{
    for (const core::effect& each : this->effects) {
        const auto* line = std::get_if<core::log_decision>(&each);
        if (line != nullptr)
            daemon::write_log(daemon::event_of(line->kind),
                              {{"subject", line->subject}, {"detail", line->detail}});
    }
    this->effects.clear();
    const core::membership_changes changes = this->members.take_changes();
    for (const core::incarnation ended : changes.ended)
        this->handlers.ended(ended);
    const auto before = std::pair(this->owner_names, this->serving_names);
    this->rebuild_owners();
    if (before != std::pair(this->owner_names, this->serving_names))
        this->handlers.owners_changed();
}

void fleet::rebuild_owners()
{
    this->owner_names = this->members.owners(this->self.region, this->now());
    std::erase_if(this->owner_names, [this](const std::string& name) {
        return this->unreachable_until.contains(core::node_name{name});
    });
    if (this->owner_names.empty())
        this->owner_names.push_back(this->self.name.value);
    std::sort(this->owner_names.begin(), this->owner_names.end());
    this->serving_names.clear();
    for (const core::member_claim& claim : this->members.all()) {
        if (is_serving(claim))
            this->serving_names.push_back(claim.name.value);
    }
    if (this->serving_names.empty())
        this->serving_names.push_back(this->self.name.value);
    std::sort(this->serving_names.begin(), this->serving_names.end());
}

void fleet::send(const core::node_name& to, wire::PeerDatagram& message)
{
    const core::endpoint address = this->peer_address(to);
    if (address.port != 0)
        static_cast<void>(
            peer::send_datagram(this->datagram_socket, address, this->encode(message)));
}

void fleet::send_to_all(wire::PeerDatagram& message)
{
    const std::string bytes = this->encode(message);
    for (const core::member* other : this->members.others())
        static_cast<void>(peer::send_datagram(this->datagram_socket, other->claim.peers, bytes));
}

std::string fleet::encode(wire::PeerDatagram& message) const
{
    message.set_sender(this->self.name.value);
    message.set_run(this->self.run.value);
    std::string bytes(1, message_tag);
    message.AppendToString(&bytes);
    return bytes;
}

void fleet::become_live()
{
    this->members.become_live();
    this->broadcast_heartbeat();
    this->apply_membership_changes();
}

void fleet::broadcast_heartbeat()
{
    std::vector<const core::member*> others = this->members.others();
    while (others.size() > max_broadcast)
        others.erase(others.begin() +
                     static_cast<std::ptrdiff_t>(core::uniform_below(this->random, others.size())));
    for (const core::member* other : others)
        this->send_heartbeat(other->claim.name, other->claim.peers, false);
}

void fleet::leave()
{
    this->members.leave();
    this->broadcast_heartbeat();
    this->apply_membership_changes();
}

void fleet::mark_unreachable(const core::node_name& name)
{
    this->unreachable_until[name] = this->now() + unreachable_duration;
    this->apply_membership_changes();
}

core::node_name fleet::owner_of(std::string_view key) const
{
    return core::node_name{this->owner_names[core::rendezvous_first(key, this->owner_names)]};
}

core::node_name fleet::exclusive_owner_of(std::string_view key) const
{
    return core::node_name{this->serving_names[core::rendezvous_first(key, this->serving_names)]};
}

bool fleet::is_discovery_finished() const
{
    const bool knows_another =
        this->serving_names.size() > 1 || this->serving_names.front() != this->self.name.value;
    return knows_another || this->now() - this->started_at >= discovery_timeout;
}

std::vector<core::endpoint> fleet::entry_addresses() const
{
    std::vector<core::endpoint> result;
    for (const core::member_claim& claim : this->members.all()) {
        if (claim.state == core::member_state::live)
            result.push_back(claim.callers);
    }
    return result;
}

core::endpoint fleet::peer_address(const core::node_name& name) const
{
    const core::member* known = this->members.find(name);
    return known == nullptr ? core::endpoint{} : known->claim.peers;
}

core::node_name fleet::random_other_node()
{
    const std::vector<const core::member*> others = this->members.others();
    if (others.empty())
        return {};
    return others[core::uniform_below(this->random, others.size())]->claim.name;
}

std::size_t fleet::serving_node_count() const
{
    return this->serving_names.size();
}

std::size_t fleet::lost_node_count() const
{
    std::size_t count = 0;
    for (const core::member_claim& claim : this->members.all())
        count += claim.state == core::member_state::dead ? 1 : 0;
    return count;
}

} // namespace ragwortcove::gateway
