#include "credentials.hpp"
#include "peer.pb.h"
#include "transport_state.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace ragwortcove::peer {

/// Messages in one envelope.
static constexpr std::size_t most_messages_an_envelope = 512;
/// Exponential delay between streams that fail; the real delay is drawn below it.
static constexpr microseconds first_retry_delay = std::chrono::milliseconds{100};
static constexpr microseconds longest_retry_delay = std::chrono::seconds{2};

std::map<stream_id, open_stream>::iterator transport::state::stream_for(const core::node_name& peer)
{
    auto chosen = this->streams.end();
    for (auto each = this->streams.begin(); each != this->streams.end(); ++each) {
        const open_stream& stream = each->second;
        if (stream.peer != peer || !stream.takes_messages())
            continue;
        // Both ends prefer the stream that the lesser name opened.
        const bool preferred = stream.outbound() == (this->settings.name < peer);
        if (chosen == this->streams.end() || preferred)
            chosen = each;
    }
    return chosen;
}

bool transport::state::has_outbound(const core::node_name& peer) const
{
    return std::any_of(this->streams.begin(), this->streams.end(), [&](const auto& entry) {
        const open_stream& stream = entry.second;
        return stream.peer == peer && stream.outbound() && !stream.said_last;
    });
}

void transport::state::take_reports()
{
    for (stream_report& report : this->reports->take())
        std::visit(*this, report);
}

void transport::state::operator()(stream_accepted& report)
{
    open_stream stream;
    stream.call = report.call;
    stream.opened_at = this->loop.now();
    stream.used_at = stream.opened_at;
    open_stream& placed = this->streams.emplace(report.stream, std::move(stream)).first->second;
    ++this->counters.streams_opened;
    report.call->read();
    this->write(placed, {greeting{this->settings.name, this->settings.run}, {}, false});
}

void transport::state::open_outbound(const core::node_name& peer, peer_link& link)
{
    const auto channel = open_channel(link.address, this->settings);
    const stream_id id = channel ? this->reports->enter() : 0;
    if (id == 0)
        return;
    auto* call = new outbound_stream(id, this->reports, channel);
    open_stream stream;
    stream.call = call;
    stream.peer = peer;
    stream.address = link.address;
    stream.opened_at = this->loop.now();
    stream.used_at = stream.opened_at;
    open_stream& placed = this->streams.emplace(id, std::move(stream)).first->second;
    ++this->counters.streams_opened;
    call->start();
    this->write(placed, {greeting{this->settings.name, this->settings.run}, {}, false});
}

void transport::state::write(open_stream& stream, const envelope& value)
{
    wire::Envelope out;
    stream.sender.encode(value, out);
    for (std::size_t position = 0; position != value.messages.size(); ++position) {
        traffic& sent = this->counters.sent[value.messages[position].index()];
        ++sent.messages;
        sent.bytes += out.messages(static_cast<int>(position)).ByteSizeLong();
    }
    ++this->counters.envelopes_sent.messages;
    this->counters.envelopes_sent.bytes += out.ByteSizeLong();
    stream.writing = true;
    stream.writing_since = this->loop.now();
    std::visit([&](auto* call) { call->write(std::move(out)); }, stream.call);
}

void transport::state::write_next(stream_id, open_stream& stream)
{
    if (stream.writing || stream.said_last)
        return;
    if (stream.wants_close) {
        stream.said_last = true;
        this->write(stream, {{}, {}, true});
        return;
    }
    const auto link = this->links.find(stream.peer);
    if (!stream.greeted || link == this->links.end() || link->second.waiting.empty())
        return;
    envelope next;
    auto& waiting = link->second.waiting;
    while (!waiting.empty() && next.messages.size() != most_messages_an_envelope) {
        next.messages.push_back(std::move(waiting.front().message));
        waiting.pop_front();
    }
    stream.used_at = this->loop.now();
    this->write(stream, next);
}

void transport::state::operator()(const envelope_written& report)
{
    const auto found = this->streams.find(report.stream);
    if (found == this->streams.end())
        return;
    open_stream& stream = found->second;
    stream.writing = false;
    // The peer opened this stream and has said its last word, as we now have.
    if (stream.said_last && !stream.outbound()) {
        std::get<inbound_stream*>(stream.call)->finish();
        this->streams.erase(found);
        return;
    }
    this->write_next(report.stream, stream);
}

void transport::state::operator()(const stream_over& report)
{
    this->break_stream(report.stream);
}

void transport::state::operator()(envelope_read& report)
{
    const auto found = this->streams.find(report.stream);
    if (found == this->streams.end())
        return;
    open_stream& stream = found->second;
    auto value = stream.receiver.decode(*report.value);
    const bool in_order = value && (stream.greeted || value->hello);
    if (!in_order || (value->hello && !this->take_greeting(report.stream, stream, *value->hello))) {
        ++this->counters.malformed;
        this->break_stream(report.stream);
        return;
    }
    ++this->counters.envelopes_received.messages;
    this->counters.envelopes_received.bytes += report.value->ByteSizeLong();
    for (int position = 0; position != report.value->messages_size(); ++position) {
        traffic& received = this->counters.received[value->messages[position].index()];
        ++received.messages;
        received.bytes += report.value->messages(position).ByteSizeLong();
    }
    this->deliver(stream, *value);
    if (!value->last) {
        std::visit([](auto* call) { call->read(); }, stream.call);
        this->write_next(report.stream, stream);
        return;
    }
    if (!stream.outbound()) {
        stream.wants_close = true;
        this->write_next(report.stream, stream);
        return;
    }
    if (!stream.said_last) {
        this->break_stream(report.stream);
        return;
    }
    std::get<outbound_stream*>(stream.call)->finish();
    this->streams.erase(found);
}

void transport::state::deliver(const open_stream& stream, envelope& value)
{
    const core::node_name from = stream.peer;
    const core::incarnation run = stream.run;
    for (core::peer_message& message : value.messages)
        this->happened(core::peer_received{from, run, std::move(message)});
}

bool transport::state::take_greeting(stream_id id, open_stream& stream, const greeting& hello)
{
    const bool expected = !stream.outbound() || stream.peer == hello.name;
    if (stream.greeted || !expected || hello.name == this->settings.name)
        return false;
    peer_link& link = this->links[hello.name];
    if (hello.run < link.run)
        return false;
    stream.peer = hello.name;
    stream.run = hello.run;
    stream.greeted = true;
    stream.used_at = this->loop.now();
    link.run = hello.run;
    link.used_at = stream.used_at;
    link.failures = 0;
    std::vector<stream_id> outlived;
    for (const auto& [other, candidate] : this->streams) {
        if (other != id && candidate.peer == hello.name && candidate.greeted &&
            candidate.run < hello.run)
            outlived.push_back(other);
    }
    for (const stream_id other : outlived)
        this->break_stream(other);
    this->close_surplus(hello.name);
    return true;
}

// Two nodes that open a stream to each other at once end up with two. Both keep the one that the
// lesser name opened, and the other's opener closes its own.
void transport::state::close_surplus(const core::node_name& peer)
{
    if (this->settings.name < peer)
        return;
    const auto kept = this->stream_for(peer);
    if (kept == this->streams.end() || kept->second.outbound())
        return;
    for (auto& [id, stream] : this->streams) {
        if (stream.peer != peer || !stream.outbound() || !stream.greeted)
            continue;
        stream.wants_close = true;
        this->write_next(id, stream);
    }
}

void transport::state::break_stream(stream_id id)
{
    const auto found = this->streams.find(id);
    if (found == this->streams.end())
        return;
    const open_stream broken = std::move(found->second);
    this->streams.erase(found);
    std::visit([](auto* call) { call->end(); }, broken.call);
    ++this->counters.streams_broken;
    if (broken.peer.empty())
        return;
    if (broken.outbound()) {
        peer_link& link = this->links[broken.peer];
        const auto shift = std::min<std::uint32_t>(link.failures, 8);
        const microseconds most = std::min(first_retry_delay * (1U << shift), longest_retry_delay);
        std::uniform_int_distribution<microseconds::rep> delay(0, most.count());
        link.retry_at = this->loop.now() + microseconds{delay(this->jitter)};
        ++link.failures;
    }
    this->drop_waiting(broken.peer);
}

void transport::state::drop_waiting(const core::node_name& peer)
{
    const auto link = this->links.find(peer);
    if (link != this->links.end()) {
        this->counters.messages_dropped += link->second.waiting.size();
        link->second.waiting.clear();
    }
    this->happened(core::peer_disconnected{peer});
}

} // namespace ragwortcove::peer
