#include "ragwortcove/gateway/fleet.hpp"

#include "../../lib/peer/datagram_socket.hpp"
#include "datagram_bounds.hpp"
#include "gateway.pb.h"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/peer/codec.hpp"

#include <cerrno>
#include <unistd.h>
#include <utility>
#include <variant>

namespace ragwortcove::gateway {

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
    result.confirms_isolation = true;
    return result;
}

fleet::fleet(http::loop& loop, const gateway_settings& settings, core::incarnation run,
             fleet_handlers&& given)
    : event_loop(loop), self(make_node_settings(settings, run)), handlers(std::move(given)),
      random(run.value), view(this->self, this->now())
{
    this->tick();
}

// Another process may hold the address for a while, or the VM may not have it yet.
void fleet::open_socket()
{
    const int opened = peer::open_datagram_socket(this->self.peers);
    if (opened < 0) {
        this->bind_error = errno;
        return;
    }
    http::descriptor_handlers socket_handlers;
    socket_handlers.readable = [this, opened] {
        peer::receive_datagrams(opened,
                                [this](std::string_view bytes) { this->receive_datagram(bytes); });
    };
    socket_handlers.writable = [] {};
    socket_handlers.closed = [this] {
        this->datagram_socket = -1;
        this->bind_error = ECONNABORTED;
    };
    if (this->event_loop.watch(opened, std::move(socket_handlers)) == 0) {
        ::close(opened);
        this->bind_error = EMFILE;
        return;
    }
    this->datagram_socket = opened;
    this->bind_error = 0;
}

fleet::~fleet()
{
    this->event_loop.cancel(this->timer);
}

template <class Step> void fleet::update_view(Step&& step)
{
    core::step_context context{this->now(), {}, this->random, this->effects};
    step(context);
    this->apply_effects();
    const bool has_changed = this->view.refresh_owners(context.now);
    const bool is_settled = this->view.is_settled(context.now);
    if (std::exchange(this->was_settled, is_settled) != is_settled)
        daemon::write_log(daemon::log_event::fleet_view_changed,
                          {{"settled", is_settled ? "true" : "false"},
                           {"serving", std::to_string(this->serving_node_count())},
                           {"lost", std::to_string(this->lost_node_count())}});
    for (const core::incarnation ended : this->view.take_ended())
        this->handlers.ended(ended);
    if (has_changed)
        this->handlers.owners_changed();
}

// A failure to send is treated like a datagram that the network lost.
void fleet::apply_effects()
{
    for (const core::effect& each : std::exchange(this->effects, {})) {
        if (const auto* line = std::get_if<core::log_decision>(&each))
            daemon::write_log(daemon::event_of(line->kind),
                              {{"subject", line->subject}, {"detail", line->detail}});
        const auto* sent = std::get_if<core::send_peer>(&each);
        if (sent == nullptr)
            continue;
        const std::string bytes = heartbeat_tag + peer::encode_datagram(sent->message);
        static_cast<void>(peer::send_datagram(this->datagram_socket, sent->address, bytes));
    }
}

void fleet::tick()
{
    if (!this->listening())
        this->open_socket();
    if (this->listening())
        this->update_view([this](core::step_context& context) { this->view.tick(context); });
    this->timer = this->event_loop.after(core::fleet_view::tick_interval, [this] { this->tick(); });
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
        message.ParseFromArray(bytes.data() + 1, static_cast<int>(bytes.size() - 1)) &&
        is_within_bounds(message);
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
    const core::incarnation run_before = this->view.nodes().self().run;
    this->update_view(
        [&](core::step_context& context) { this->view.receive(*heartbeat, context); });
    const core::incarnation run_after = this->view.nodes().self().run;
    if (run_after != run_before)
        daemon::write_log(daemon::log_event::incarnation_raised,
                          {{"incarnation", std::to_string(run_after.value)}});
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
    for (const core::member* other : this->view.nodes().others())
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
    this->update_view([this](core::step_context& context) { this->view.become_live(context); });
}

void fleet::leave()
{
    this->update_view([this](core::step_context& context) { this->view.leave(context); });
}

void fleet::add_seeds(std::span<const core::endpoint> addresses)
{
    this->view.add_seeds(addresses);
}

void fleet::confirm_isolation()
{
    this->view.confirm_isolation();
}

void fleet::mark_unreachable(const core::node_name& name)
{
    this->update_view(
        [&](core::step_context& context) { this->view.mark_unreachable(name, context.now); });
}

std::vector<core::endpoint> fleet::entry_addresses() const
{
    std::vector<core::endpoint> result;
    for (const core::member_claim& claim : this->view.nodes().all()) {
        if (claim.state == core::member_state::live)
            result.push_back(claim.callers);
    }
    return result;
}

core::endpoint fleet::peer_address(const core::node_name& name) const
{
    const core::member* known = this->view.nodes().find(name);
    return known == nullptr ? core::endpoint{} : known->claim.peers;
}

core::failure_domain_name fleet::failure_domain_of(const core::node_name& name) const
{
    const core::member* known = this->view.nodes().find(name);
    return known == nullptr ? core::failure_domain_name{} : known->claim.failure_domain;
}

core::node_name fleet::random_other_node()
{
    const std::vector<const core::member*> others = this->view.nodes().others();
    if (others.empty())
        return {};
    return others[core::uniform_below(this->random, others.size())]->claim.name;
}

} // namespace ragwortcove::gateway
