#include "peer.pb.h"
#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/peer/codec.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>

namespace ragwortcove::peer {

namespace {

using name_table = std::map<std::string, std::uint32_t, std::less<>>;
using run_table = std::map<core::incarnation, std::uint32_t>;

/// Writes messages into one envelope and adds to the stream's tables on the way.
class message_writer {
public:
    message_writer(name_table& table_of_names, run_table& table_of_runs, wire::Envelope& envelope)
        : names(table_of_names), runs(table_of_runs), out(envelope)
    {
    }

    void operator()(const core::permit_request& value);
    void operator()(const core::permit_grant& value);
    void operator()(const core::permit_denial& value);
    void operator()(const core::permit_withdrawal& value);
    void operator()(const core::permit_started& value);
    void operator()(const core::permit_release& value);
    void operator()(const core::permit_report& value);
    void operator()(const core::key_query& value);
    void operator()(const core::key_response& value);
    void operator()(const core::heartbeat& value);
    void operator()(const core::feed_request& value);
    void operator()(const core::feed_delta& value);
    void operator()(const core::feed_snapshot& value);

private:
    std::uint32_t number_of(std::string_view name);
    std::uint32_t number_of(core::incarnation run);
    void write(const core::request_id& value, wire::RequestId& to);
    void write(const core::cell_id& value, wire::CellId& to);
    void write(const core::cell_digest& value, wire::CellDigest& to);
    void write(const core::version_evidence& value, wire::VersionEvidence& to);
    void write(const core::member_claim& value, wire::MemberClaim& to);
    void write(const core::object& value, wire::Object& to);

    name_table& names;
    run_table& runs;
    wire::Envelope& out;
};

} // namespace

static std::uint64_t to_microseconds(core::duration value)
{
    const core::duration bounded = std::clamp(value, core::duration{0}, most_duration);
    return static_cast<std::uint64_t>(bounded.count());
}

template <class Enum> static std::uint32_t to_number(Enum value)
{
    return static_cast<std::uint32_t>(value);
}

static std::string pack_address(const std::string& text)
{
    std::array<char, sizeof(in6_addr)> packed{};
    if (::inet_pton(AF_INET, text.c_str(), packed.data()) == 1)
        return {packed.data(), sizeof(in_addr)};
    if (::inet_pton(AF_INET6, text.c_str(), packed.data()) == 1)
        return {packed.data(), sizeof(in6_addr)};
    return {};
}

static void write_endpoint(const core::endpoint& value, wire::Endpoint& to)
{
    to.set_address(pack_address(value.address));
    to.set_port(value.port);
}

std::uint32_t message_writer::number_of(std::string_view name)
{
    if (name.empty())
        return 0;
    const auto known = this->names.find(name);
    if (known != this->names.end())
        return known->second;
    const auto number = static_cast<std::uint32_t>(this->names.size() + 1);
    this->names.emplace(name, number);
    this->out.add_new_names(std::string{name});
    return number;
}

std::uint32_t message_writer::number_of(core::incarnation run)
{
    if (run.value == 0)
        return 0;
    const auto known = this->runs.find(run);
    if (known != this->runs.end())
        return known->second;
    const auto number = static_cast<std::uint32_t>(this->runs.size() + 1);
    this->runs.emplace(run, number);
    this->out.add_new_runs(run.value);
    return number;
}

void message_writer::write(const core::request_id& value, wire::RequestId& to)
{
    to.set_entry(this->number_of(value.entry));
    to.set_sequence(value.sequence);
}

void message_writer::write(const core::cell_id& value, wire::CellId& to)
{
    to.set_target(this->number_of(value.target.value));
    to.set_failure_domain(this->number_of(value.failure_domain.value));
    to.set_index(value.index);
}

void message_writer::operator()(const core::permit_request& value)
{
    wire::PermitAsk& to = *this->out.add_messages()->mutable_permit_ask();
    this->write(value.request, *to.mutable_request());
    this->write(value.cell, *to.mutable_cell());
    to.set_route(this->number_of(value.route.value));
    to.set_team(this->number_of(value.team.value));
    to.set_tier(this->number_of(value.tier.value));
    to.set_version(this->number_of(value.version.value));
    to.set_prefill_tokens(value.prefill_tokens);
    to.set_output_tokens(value.output_tokens);
    for (const core::prefix_hash hash : value.prefix)
        to.add_prefix(hash.value);
    to.set_time_left(to_microseconds(value.time_left));
    for (const core::upstream_name& upstream : value.avoid)
        to.add_avoid(this->number_of(upstream.value));
}

void message_writer::operator()(const core::permit_grant& value)
{
    wire::PermitGrant& to = *this->out.add_messages()->mutable_permit_grant();
    this->write(value.request, *to.mutable_request());
    this->write(value.cell, *to.mutable_cell());
    to.set_grant(value.grant.value);
    to.set_upstream(this->number_of(value.upstream.value));
    to.set_valid_for(to_microseconds(value.valid_for));
    to.set_cached_tokens(value.cached_tokens);
}

void message_writer::operator()(const core::permit_denial& value)
{
    wire::PermitDenial& to = *this->out.add_messages()->mutable_permit_denial();
    this->write(value.request, *to.mutable_request());
    this->write(value.cell, *to.mutable_cell());
    to.set_reason(to_number(value.reason));
    to.set_retry_after(to_microseconds(value.retry_after));
}

void message_writer::operator()(const core::permit_withdrawal& value)
{
    wire::PermitWithdrawal& to = *this->out.add_messages()->mutable_permit_withdrawal();
    this->write(value.request, *to.mutable_request());
    this->write(value.cell, *to.mutable_cell());
}

void message_writer::operator()(const core::permit_started& value)
{
    wire::PermitStarted& to = *this->out.add_messages()->mutable_permit_started();
    this->write(value.request, *to.mutable_request());
    this->write(value.cell, *to.mutable_cell());
    to.set_upstream(this->number_of(value.upstream.value));
}

void message_writer::operator()(const core::permit_release& value)
{
    wire::PermitRelease& to = *this->out.add_messages()->mutable_permit_release();
    this->write(value.request, *to.mutable_request());
    this->write(value.cell, *to.mutable_cell());
    to.set_upstream(this->number_of(value.upstream.value));
    to.set_outcome(to_number(value.outcome));
    to.set_prefill_tokens(value.prefill_tokens);
    to.set_cached_tokens(value.cached_tokens);
    to.set_output_tokens(value.output_tokens);
    to.set_first_token_after(to_microseconds(value.first_token_after));
    to.set_between_tokens(to_microseconds(value.between_tokens));
}

void message_writer::operator()(const core::permit_report& value)
{
    wire::PermitReport& to = *this->out.add_messages()->mutable_permit_report();
    this->write(value.request, *to.mutable_request());
    this->write(value.cell, *to.mutable_cell());
    to.set_upstream(this->number_of(value.upstream.value));
    to.set_prefill_tokens(value.prefill_tokens);
    to.set_output_tokens(value.output_tokens);
    to.set_team(this->number_of(value.team.value));
    to.set_tier(this->number_of(value.tier.value));
}

void message_writer::operator()(const core::key_query& value)
{
    wire::KeyAsk& to = *this->out.add_messages()->mutable_key_ask();
    this->write(value.request, *to.mutable_request());
    to.set_key(value.key);
}

void message_writer::operator()(const core::key_response& value)
{
    wire::KeyAnswer& to = *this->out.add_messages()->mutable_key_answer();
    this->write(value.request, *to.mutable_request());
    to.set_state(to_number(value.state));
}

void message_writer::write(const core::cell_digest& value, wire::CellDigest& to)
{
    this->write(value.cell, *to.mutable_cell());
    to.set_free_permits(value.free_permits);
    to.set_queued(value.queued);
    to.set_lowest_rank_queued(value.lowest_rank_queued);
    to.set_queued_tokens(value.queued_tokens);
}

void message_writer::write(const core::version_evidence& value, wire::VersionEvidence& to)
{
    to.set_move(this->number_of(value.move.value));
    to.set_finish_by(value.finish_by.value);
    to.set_upstream(this->number_of(value.upstream.value));
    to.set_brake(value.brake);
    to.set_pairs(value.pairs);
    to.set_new_completed(value.new_completed);
    to.set_new_failed(value.new_failed);
    to.set_new_slow(value.new_slow);
    to.set_old_completed(value.old_completed);
    to.set_old_failed(value.old_failed);
    to.set_old_slow(value.old_slow);
}

void message_writer::write(const core::member_claim& value, wire::MemberClaim& to)
{
    to.set_name(this->number_of(value.name.value));
    to.set_run(this->number_of(value.run));
    to.set_version(value.version);
    to.set_state(to_number(value.state));
    write_endpoint(value.callers, *to.mutable_callers());
    write_endpoint(value.peers, *to.mutable_peers());
    to.set_region(this->number_of(value.region.value));
    to.set_failure_domain(this->number_of(value.failure_domain.value));
}

void message_writer::operator()(const core::heartbeat& value)
{
    wire::Heartbeat& to = *this->out.add_messages()->mutable_heartbeat();
    this->write(value.sender, *to.mutable_sender());
    for (const core::member_claim& claim : value.known)
        this->write(claim, *to.add_known());
    for (const core::cell_digest& digest : value.cells)
        this->write(digest, *to.add_cells());
    for (const core::version_evidence& evidence : value.evidence)
        this->write(evidence, *to.add_evidence());
    to.set_store(this->number_of(value.store.value));
    to.set_configuration(value.configuration.value);
    to.set_wants_answer(value.wants_answer);
    to.set_view(value.view);
    to.set_is_settled(value.is_settled);
}

void message_writer::operator()(const core::feed_request& value)
{
    wire::FeedAsk& to = *this->out.add_messages()->mutable_feed_ask();
    to.set_store(this->number_of(value.store.value));
    to.set_after(value.after.value);
}

void message_writer::write(const core::object& value, wire::Object& to)
{
    to.set_kind(to_number(value.key.kind));
    to.set_name(value.key.name);
    for (const core::field& entry : core::to_fields(value)) {
        wire::Field& field = *to.add_fields();
        field.set_key(this->number_of(entry.key));
        field.set_value(entry.value);
    }
    to.set_written_at(value.written_at.value);
}

void message_writer::operator()(const core::feed_delta& value)
{
    wire::FeedDelta& to = *this->out.add_messages()->mutable_feed_delta();
    to.set_store(this->number_of(value.store.value));
    to.set_after(value.after.value);
    to.set_upto(value.upto.value);
    for (const core::object& changed : value.changed)
        this->write(changed, *to.add_changed());
    for (const core::feed_delta::removal& removed : value.removed) {
        wire::Removal& removal = *to.add_removed();
        removal.set_kind(to_number(removed.key.kind));
        removal.set_name(removed.key.name);
        removal.set_at(removed.at.value);
    }
}

void message_writer::operator()(const core::feed_snapshot& value)
{
    wire::FeedSnapshot& to = *this->out.add_messages()->mutable_feed_snapshot();
    to.set_store(this->number_of(value.store.value));
    to.set_at(value.at.value);
    for (const core::object& present : value.objects)
        this->write(present, *to.add_objects());
}

// Tables are numbered per stream rather than per node, so that a new stream needs no agreement on
// what the other end remembers. They restart when full, so that their memory is bounded.
void encoder::encode(const envelope& value, wire::Envelope& out)
{
    out.Clear();
    const std::size_t entries = std::max(this->names.size(), this->runs.size());
    if (entries >= table_entries_before_restart) {
        this->names.clear();
        this->runs.clear();
        out.set_tables_restart(true);
    }
    if (value.hello) {
        out.mutable_greeting()->set_name(value.hello->name.value);
        out.mutable_greeting()->set_run(value.hello->run.value);
    }
    out.set_last(value.last);
    message_writer writer{this->names, this->runs, out};
    for (const core::peer_message& message : value.messages)
        std::visit(writer, message);
}

std::string encode_datagram(const core::peer_message& message)
{
    wire::Envelope out;
    envelope single;
    single.messages.push_back(message);
    encoder{}.encode(single, out);
    return out.SerializeAsString();
}

} // namespace ragwortcove::peer
