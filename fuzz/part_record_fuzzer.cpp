// What other nodes and the store say of prompt parts is taken or refused, and what is taken keeps
// within its bounds. A sound record beside any other is taken all the same.
#include "../lib/gateway/part_messages.hpp"
#include "gateway.pb.h"
#include "platform/headers.hpp"
#include "platform/part_document.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

using namespace ragwortcove;
using namespace std::chrono_literals;

static constexpr core::time_point now{std::chrono::hours{100}};

static void require(bool holds)
{
    if (!holds)
        std::abort();
}

static core::part_record make_sound_record()
{
    core::part_record record;
    record.part.value = 0x50;
    record.ends = {{{{"i-1"}, 1}, now - 2s}, {{{"i-2"}, 2}, now - 1s}};
    return record;
}

static void take(core::part_quarantine& parts, const core::part_record& record)
{
    parts.merge(record, now);
    require(!parts.merge(record, now));
    const std::vector<core::part_id> wanted{record.part, {0x50}};
    static_cast<void>(parts.decide(wanted, now));
    const core::part_record* const known = parts.find(record.part);
    require(known == nullptr || known->ends.size() <= core::max_ends_of_part);
    require(known == nullptr || known->trials_sent <= core::max_trial_number);
}

static void read_message(std::string_view bytes)
{
    wire::PeerDatagram message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return;
    core::part_quarantine parts;
    for (const wire::PartRecord& each : message.part_records().records()) {
        if (const auto record = gateway::read_part_record(each, now))
            take(parts, *record);
    }
    if (const auto record = gateway::read_part_record(message.part_trial_ask().record(), now))
        take(parts, *record);
    wire::PartRecord sound;
    gateway::write_part_record(make_sound_record(), now, sound);
    const auto read = gateway::read_part_record(sound, now);
    require(read.has_value() && *read == make_sound_record());
    take(parts, *read);
    require(parts.find({0x50}) != nullptr);
}

static void read_stored(std::string_view text)
{
    auto document = adapter::read_document(text);
    if (!document)
        return;
    const auto parsed = adapter::read_part_document(*document, now);
    if (const auto* record = std::get_if<core::part_record>(&parsed)) {
        core::part_quarantine parts;
        take(parts, *record);
        const auto again = adapter::read_part_document(adapter::write_part_document(*record), now);
        require(std::get<core::part_record>(again) == *record);
    }
}

static void read_prompt(std::string_view list)
{
    http::request_line_and_headers head;
    head.headers = {{"X-Prefix-Hash", std::string(list) + ",bad:1,7:1"}};
    const auto parts = adapter::read_call(head).parts;
    require(parts.size() >= 2 && parts[parts.size() - 2].id == 0xbad);
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    read_message(bytes);
    read_stored(bytes);
    read_prompt(bytes);
    return 0;
}
