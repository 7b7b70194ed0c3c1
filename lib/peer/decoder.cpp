#include "peer.pb.h"
#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/peer/codec.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <limits>

namespace ragwortcove::peer {

namespace {

/// Reads messages with a stream's tables. The first fault is kept and the rest read as empty, so
/// that each message is read in one pass and judged at its end.
class message_reader {
public:
    message_reader(const std::vector<std::string>& table_of_names,
                   const std::vector<core::incarnation>& table_of_runs)
        : names(table_of_names), runs(table_of_runs)
    {
    }

    [[nodiscard]] core::peer_message read(const wire::Message& from);
    [[nodiscard]] const std::optional<codec_error>& fault() const { return this->first_fault; }

private:
    void fail(std::string_view place, std::string_view expected);
    [[nodiscard]] std::string text(std::uint32_t number, std::string_view place);
    template <class Name> [[nodiscard]] Name name(std::uint32_t number, std::string_view place);
    [[nodiscard]] core::incarnation run(std::uint32_t number, std::string_view place);
    [[nodiscard]] core::duration time(std::uint64_t microseconds, std::string_view place);
    template <class Enum>
    [[nodiscard]] Enum enumerator(std::uint32_t number, Enum last, std::string_view place);
    [[nodiscard]] core::endpoint address(const wire::Endpoint& from, std::string_view place);
    template <class Message>
    [[nodiscard]] core::request_id request(const Message& from, std::string_view place);
    template <class Message>
    [[nodiscard]] core::cell_id cell(const Message& from, std::string_view place);
    [[nodiscard]] core::object_key key(std::uint32_t kind, const std::string& name,
                                       std::string_view place);

    [[nodiscard]] core::permit_request read(const wire::PermitAsk& from);
    [[nodiscard]] core::permit_grant read(const wire::PermitGrant& from);
    [[nodiscard]] core::permit_denial read(const wire::PermitDenial& from);
    [[nodiscard]] core::permit_withdrawal read(const wire::PermitWithdrawal& from);
    [[nodiscard]] core::permit_started read(const wire::PermitStarted& from);
    [[nodiscard]] core::permit_release read(const wire::PermitRelease& from);
    [[nodiscard]] core::permit_report read(const wire::PermitReport& from);
    [[nodiscard]] core::key_query read(const wire::KeyAsk& from);
    [[nodiscard]] core::key_response read(const wire::KeyAnswer& from);
    [[nodiscard]] core::cell_digest read(const wire::CellDigest& from);
    [[nodiscard]] core::version_evidence read(const wire::VersionEvidence& from);
    [[nodiscard]] core::member_claim read(const wire::MemberClaim& from);
    [[nodiscard]] core::heartbeat read(const wire::Heartbeat& from);
    [[nodiscard]] core::feed_request read(const wire::FeedAsk& from);
    [[nodiscard]] core::object read(const wire::Object& from);
    [[nodiscard]] core::feed_delta read(const wire::FeedDelta& from);
    [[nodiscard]] core::feed_snapshot read(const wire::FeedSnapshot& from);

    const std::vector<std::string>& names;
    const std::vector<core::incarnation>& runs;
    std::optional<codec_error> first_fault;
};

} // namespace

void message_reader::fail(std::string_view place, std::string_view expected)
{
    if (!this->first_fault)
        this->first_fault = codec_error{std::string{place}, std::string{expected}};
}

std::string message_reader::text(std::uint32_t number, std::string_view place)
{
    if (number == 0)
        return {};
    if (number > this->names.size()) {
        this->fail(place, "number of a name that the stream has brought");
        return {};
    }
    return this->names[number - 1];
}

template <class Name> Name message_reader::name(std::uint32_t number, std::string_view place)
{
    return Name{this->text(number, place)};
}

core::incarnation message_reader::run(std::uint32_t number, std::string_view place)
{
    if (number == 0)
        return {};
    if (number > this->runs.size()) {
        this->fail(place, "number of an incarnation that the stream has brought");
        return {};
    }
    return this->runs[number - 1];
}

core::duration message_reader::time(std::uint64_t microseconds, std::string_view place)
{
    if (microseconds > static_cast<std::uint64_t>(most_duration.count())) {
        this->fail(place, "at most 400 days, in microseconds");
        return core::duration{0};
    }
    return core::duration{static_cast<core::duration::rep>(microseconds)};
}

template <class Enum>
Enum message_reader::enumerator(std::uint32_t number, Enum last, std::string_view place)
{
    if (number > static_cast<std::uint32_t>(last)) {
        this->fail(place, "at most " + std::to_string(static_cast<std::uint32_t>(last)));
        return last;
    }
    return static_cast<Enum>(number);
}

static std::string unpack_address(int family, const std::string& packed)
{
    std::array<char, INET6_ADDRSTRLEN> buffer{};
    if (::inet_ntop(family, packed.data(), buffer.data(), buffer.size()) == nullptr)
        return {};
    return buffer.data();
}

core::endpoint message_reader::address(const wire::Endpoint& from, std::string_view place)
{
    if (from.port() > std::numeric_limits<std::uint16_t>::max()) {
        this->fail(place, "port of at most 65535");
        return {};
    }
    const auto port = static_cast<std::uint16_t>(from.port());
    switch (from.address().size()) {
    case 0:
        return {{}, port};
    case sizeof(in_addr):
        return {unpack_address(AF_INET, from.address()), port};
    case sizeof(in6_addr):
        return {unpack_address(AF_INET6, from.address()), port};
    }
    this->fail(place, "address of 4 or 16 bytes");
    return {};
}

template <class Message>
core::request_id message_reader::request(const Message& from, std::string_view place)
{
    if (!from.has_request()) {
        this->fail(place, "request id");
        return {};
    }
    return {this->run(from.request().entry(), place), from.request().sequence()};
}

template <class Message>
core::cell_id message_reader::cell(const Message& from, std::string_view place)
{
    if (!from.has_cell()) {
        this->fail(place, "cell");
        return {};
    }
    const wire::CellId& cell = from.cell();
    return {this->name<core::target_name>(cell.target(), place),
            this->name<core::failure_domain_name>(cell.failure_domain(), place), cell.index()};
}

core::permit_request message_reader::read(const wire::PermitAsk& from)
{
    core::permit_request result;
    result.request = this->request(from, "permit_ask.request");
    result.cell = this->cell(from, "permit_ask.cell");
    result.route = this->name<core::route_name>(from.route(), "permit_ask.route");
    result.team = this->name<core::team_name>(from.team(), "permit_ask.team");
    result.tier = this->name<core::tier_name>(from.tier(), "permit_ask.tier");
    result.version = this->name<core::version_name>(from.version(), "permit_ask.version");
    result.prefill_tokens = from.prefill_tokens();
    result.output_tokens = from.output_tokens();
    for (const std::uint64_t hash : from.prefix())
        result.prefix.push_back(core::prefix_hash{hash});
    result.time_left = this->time(from.time_left(), "permit_ask.time_left");
    for (const std::uint32_t number : from.avoid())
        result.avoid.push_back(this->name<core::upstream_name>(number, "permit_ask.avoid"));
    return result;
}

core::permit_grant message_reader::read(const wire::PermitGrant& from)
{
    core::permit_grant result;
    result.request = this->request(from, "permit_grant.request");
    result.cell = this->cell(from, "permit_grant.cell");
    result.grant = core::grant_id{from.grant()};
    result.upstream = this->name<core::upstream_name>(from.upstream(), "permit_grant.upstream");
    result.valid_for = this->time(from.valid_for(), "permit_grant.valid_for");
    result.cached_tokens = from.cached_tokens();
    return result;
}

core::permit_denial message_reader::read(const wire::PermitDenial& from)
{
    core::permit_denial result;
    result.request = this->request(from, "permit_denial.request");
    result.cell = this->cell(from, "permit_denial.cell");
    result.reason =
        this->enumerator(from.reason(), core::refusal_reason::caller_gone, "permit_denial.reason");
    result.retry_after = this->time(from.retry_after(), "permit_denial.retry_after");
    return result;
}

core::permit_withdrawal message_reader::read(const wire::PermitWithdrawal& from)
{
    core::permit_withdrawal result;
    result.request = this->request(from, "permit_withdrawal.request");
    result.cell = this->cell(from, "permit_withdrawal.cell");
    return result;
}

core::permit_started message_reader::read(const wire::PermitStarted& from)
{
    core::permit_started result;
    result.request = this->request(from, "permit_started.request");
    result.cell = this->cell(from, "permit_started.cell");
    result.upstream = this->name<core::upstream_name>(from.upstream(), "permit_started.upstream");
    return result;
}

core::permit_release message_reader::read(const wire::PermitRelease& from)
{
    core::permit_release result;
    result.request = this->request(from, "permit_release.request");
    result.cell = this->cell(from, "permit_release.cell");
    result.upstream = this->name<core::upstream_name>(from.upstream(), "permit_release.upstream");
    result.outcome =
        this->enumerator(from.outcome(), core::attempt_outcome::unused, "permit_release.outcome");
    result.prefill_tokens = from.prefill_tokens();
    result.cached_tokens = from.cached_tokens();
    result.output_tokens = from.output_tokens();
    result.first_token_after =
        this->time(from.first_token_after(), "permit_release.first_token_after");
    result.between_tokens = this->time(from.between_tokens(), "permit_release.between_tokens");
    return result;
}

core::permit_report message_reader::read(const wire::PermitReport& from)
{
    core::permit_report result;
    result.request = this->request(from, "permit_report.request");
    result.cell = this->cell(from, "permit_report.cell");
    result.upstream = this->name<core::upstream_name>(from.upstream(), "permit_report.upstream");
    result.prefill_tokens = from.prefill_tokens();
    result.output_tokens = from.output_tokens();
    result.team = this->name<core::team_name>(from.team(), "permit_report.team");
    result.tier = this->name<core::tier_name>(from.tier(), "permit_report.tier");
    return result;
}

core::key_query message_reader::read(const wire::KeyAsk& from)
{
    return {this->request(from, "key_ask.request"), from.key()};
}

core::key_response message_reader::read(const wire::KeyAnswer& from)
{
    return {this->request(from, "key_answer.request"),
            this->enumerator(from.state(), core::key_state::used, "key_answer.state")};
}

core::cell_digest message_reader::read(const wire::CellDigest& from)
{
    core::cell_digest result;
    result.cell = this->cell(from, "heartbeat.cells");
    result.free_permits = from.free_permits();
    result.queued = from.queued();
    result.lowest_rank_queued = from.lowest_rank_queued();
    result.queued_tokens = from.queued_tokens();
    return result;
}

core::version_evidence message_reader::read(const wire::VersionEvidence& from)
{
    core::version_evidence result;
    result.move = this->name<core::move_name>(from.move(), "heartbeat.evidence.move");
    result.finish_by = core::unix_millis{from.finish_by()};
    result.upstream =
        this->name<core::upstream_name>(from.upstream(), "heartbeat.evidence.upstream");
    result.brake = from.brake();
    result.pairs = from.pairs();
    result.new_completed = from.new_completed();
    result.new_failed = from.new_failed();
    result.new_slow = from.new_slow();
    result.old_completed = from.old_completed();
    result.old_failed = from.old_failed();
    result.old_slow = from.old_slow();
    return result;
}

core::member_claim message_reader::read(const wire::MemberClaim& from)
{
    core::member_claim result;
    result.name = this->name<core::node_name>(from.name(), "member.name");
    if (result.name.empty())
        this->fail("member.name", "name of a node");
    result.run = this->run(from.run(), "member.run");
    result.version = from.version();
    result.state = this->enumerator(from.state(), core::member_state::dead, "member.state");
    result.callers = this->address(from.callers(), "member.callers");
    result.peers = this->address(from.peers(), "member.peers");
    result.region = this->name<core::region_name>(from.region(), "member.region");
    result.failure_domain =
        this->name<core::failure_domain_name>(from.failure_domain(), "member.failure_domain");
    return result;
}

core::heartbeat message_reader::read(const wire::Heartbeat& from)
{
    core::heartbeat result;
    result.sender = this->read(from.sender());
    for (const wire::MemberClaim& claim : from.known())
        result.known.push_back(this->read(claim));
    for (const wire::CellDigest& digest : from.cells())
        result.cells.push_back(this->read(digest));
    for (const wire::VersionEvidence& evidence : from.evidence())
        result.evidence.push_back(this->read(evidence));
    result.store = this->name<core::store_id>(from.store(), "heartbeat.store");
    result.configuration = core::revision{from.configuration()};
    result.wants_answer = from.wants_answer();
    result.view = from.view();
    result.is_settled = from.is_settled();
    return result;
}

core::feed_request message_reader::read(const wire::FeedAsk& from)
{
    return {this->name<core::store_id>(from.store(), "feed_ask.store"),
            core::revision{from.after()}};
}

core::object_key message_reader::key(std::uint32_t kind, const std::string& name,
                                     std::string_view place)
{
    if (name.empty() || name.size() > most_name_bytes)
        this->fail(place, "name of 1 to 1024 bytes");
    return {this->enumerator(kind, core::object_kind::claim, place), name};
}

static std::string describe(const core::field_error& error)
{
    return error.expected + " for key '" + error.key + "', not '" + error.value + "'";
}

core::object message_reader::read(const wire::Object& from)
{
    const core::object_key key = this->key(from.kind(), from.name(), "object.key");
    std::vector<core::field> fields;
    for (const wire::Field& entry : from.fields())
        fields.push_back({this->text(entry.key(), "object.fields"), entry.value()});
    if (this->first_fault)
        return {};
    core::object result =
        boost::leaf::try_handle_all([&] { return core::parse_object(key, fields); },
                                    [this](const core::field_error& error) {
                                        this->fail("object.fields", describe(error));
                                        return core::object{};
                                    },
                                    [this] {
                                        this->fail("object.fields", "fields of an object");
                                        return core::object{};
                                    });
    result.written_at = core::revision{from.written_at()};
    return result;
}

core::feed_delta message_reader::read(const wire::FeedDelta& from)
{
    core::feed_delta result;
    result.store = this->name<core::store_id>(from.store(), "feed_delta.store");
    result.after = core::revision{from.after()};
    result.upto = core::revision{from.upto()};
    if (result.upto < result.after)
        this->fail("feed_delta.upto", "revision not before feed_delta.after");
    for (const wire::Object& changed : from.changed())
        result.changed.push_back(this->read(changed));
    for (const wire::Removal& removed : from.removed()) {
        result.removed.push_back({this->key(removed.kind(), removed.name(), "feed_delta.removed"),
                                  core::revision{removed.at()}});
    }
    return result;
}

core::feed_snapshot message_reader::read(const wire::FeedSnapshot& from)
{
    core::feed_snapshot result;
    result.store = this->name<core::store_id>(from.store(), "feed_snapshot.store");
    result.at = core::revision{from.at()};
    for (const wire::Object& present : from.objects())
        result.objects.push_back(this->read(present));
    return result;
}

core::peer_message message_reader::read(const wire::Message& from)
{
    switch (from.body_case()) {
    case wire::Message::kPermitAsk:
        return this->read(from.permit_ask());
    case wire::Message::kPermitGrant:
        return this->read(from.permit_grant());
    case wire::Message::kPermitDenial:
        return this->read(from.permit_denial());
    case wire::Message::kPermitWithdrawal:
        return this->read(from.permit_withdrawal());
    case wire::Message::kPermitRelease:
        return this->read(from.permit_release());
    case wire::Message::kPermitReport:
        return this->read(from.permit_report());
    case wire::Message::kKeyAsk:
        return this->read(from.key_ask());
    case wire::Message::kKeyAnswer:
        return this->read(from.key_answer());
    case wire::Message::kHeartbeat:
        return this->read(from.heartbeat());
    case wire::Message::kFeedAsk:
        return this->read(from.feed_ask());
    case wire::Message::kFeedDelta:
        return this->read(from.feed_delta());
    case wire::Message::kFeedSnapshot:
        return this->read(from.feed_snapshot());
    case wire::Message::kPermitStarted:
        return this->read(from.permit_started());
    case wire::Message::BODY_NOT_SET:
        break;
    }
    this->fail("message", "a known kind of message");
    return core::feed_request{};
}

static bool is_not_a_name(const std::string& name)
{
    return name.empty() || name.size() > most_name_bytes;
}

static std::optional<codec_error> check_tables(const wire::Envelope& value, std::size_t names,
                                               std::size_t runs)
{
    if (names + static_cast<std::size_t>(value.new_names_size()) > most_table_entries)
        return codec_error{"envelope.new_names", "at most 65536 names a stream"};
    if (runs + static_cast<std::size_t>(value.new_runs_size()) > most_table_entries)
        return codec_error{"envelope.new_runs", "at most 65536 incarnations a stream"};
    const auto& added = value.new_names();
    if (std::any_of(added.begin(), added.end(), is_not_a_name))
        return codec_error{"envelope.new_names", "names of 1 to 1024 bytes"};
    return std::nullopt;
}

boost::leaf::result<envelope> decoder::decode(const wire::Envelope& value)
{
    if (value.tables_restart()) {
        this->names.clear();
        this->runs.clear();
    }
    if (auto fault = check_tables(value, this->names.size(), this->runs.size()))
        return boost::leaf::new_error(std::move(*fault));
    this->names.insert(this->names.end(), value.new_names().begin(), value.new_names().end());
    for (const std::uint64_t run : value.new_runs())
        this->runs.push_back(core::incarnation{run});

    envelope result;
    if (value.has_greeting()) {
        if (is_not_a_name(value.greeting().name()))
            return boost::leaf::new_error(codec_error{"greeting.name", "name of 1 to 1024 bytes"});
        result.hello = greeting{{value.greeting().name()}, {value.greeting().run()}};
    }
    result.last = value.last();
    message_reader reader{this->names, this->runs};
    for (const wire::Message& message : value.messages()) {
        result.messages.push_back(reader.read(message));
        if (reader.fault())
            return boost::leaf::new_error(*reader.fault());
    }
    return result;
}

boost::leaf::result<core::peer_message> decode_datagram(std::string_view bytes)
{
    wire::Envelope from;
    if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return boost::leaf::new_error(codec_error{"datagram", "protobuf of an envelope"});
    BOOST_LEAF_AUTO(single, decoder{}.decode(from));
    if (single.messages.size() != 1)
        return boost::leaf::new_error(codec_error{"datagram", "exactly one message"});
    return std::move(single.messages.front());
}

} // namespace ragwortcove::peer
