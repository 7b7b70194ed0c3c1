#include "ragwortcove/cli/part_session.hpp"

#include "platform/part_document.hpp"

#include <random>
#include <utility>
#include <variant>

namespace ragwortcove::cli {

using namespace std::chrono_literals;
using adapter::document_kind;
using adapter::store_failure;

static constexpr std::chrono::milliseconds idle_timeout{3000};
static constexpr std::chrono::milliseconds response_timeout{1500};

part_session::part_session(const core::endpoint& address, std::chrono::microseconds patience)
    : connections(this->loop, idle_timeout),
      store(this->loop, this->connections,
            {{address.address, address.port}, response_timeout, [](std::string_view) {}}),
      delays(std::random_device{}()), give_up_at(this->loop.now() + patience)
{
}

bool part_session::wait_to_retry()
{
    const auto delay = this->delays.next();
    if (this->loop.now() + delay >= this->give_up_at)
        return false;
    this->loop.after(delay, [this] { this->loop.stop(); });
    this->wait();
    return true;
}

std::optional<stored_parts> part_session::list()
{
    do {
        std::optional<adapter::document_list> all;
        this->store.list(document_kind::held_parts,
                         [&](const adapter::document_list* read, const adapter::store_error&) {
                             if (read != nullptr)
                                 all = *read;
                             this->loop.stop();
                         });
        this->wait();
        if (!all)
            continue;
        stored_parts result;
        for (const adapter::store_document& document : all->documents) {
            auto parsed = adapter::read_part_document(document, core::time_point{});
            auto* record = std::get_if<core::part_record>(&parsed);
            if (record == nullptr)
                result.unreadable.push_back(document.name);
            else if (core::is_held_back(*record))
                result.parts.push_back(std::move(*record));
        }
        return result;
    } while (this->wait_to_retry());
    return std::nullopt;
}

part_session::document_result part_session::call(const adapter::store_call& wanted)
{
    document_result result;
    this->store.send(
        wanted, [&](const adapter::store_document* document, const adapter::store_error& error) {
            if (document != nullptr)
                result.document = *document;
            result.error = error;
            this->loop.stop();
        });
    this->wait();
    return result;
}

// A document of a later generation clears the part at every node, and its owner then removes it.
// Written on condition, it does not replace what a node has found out meanwhile.
release_result part_session::release(core::part_id part)
{
    const std::string kind(adapter::store_name(document_kind::held_parts));
    do {
        const document_result stored =
            this->call(adapter::get_document{kind, adapter::part_document_name(part), false});
        if (!stored.document && stored.error.failure == store_failure::missing)
            return release_result::not_held_back;
        if (!stored.document)
            continue;
        const auto parsed = adapter::read_part_document(*stored.document, core::time_point{});
        const auto* record = std::get_if<core::part_record>(&parsed);
        if (record == nullptr || !core::is_held_back(*record))
            return release_result::not_held_back;
        const core::part_record released{part, record->generation + 1, {}, 0, {}};
        const document_result written = this->call(adapter::replace_document{
            kind, adapter::write_part_document(released), stored.document->at});
        if (written.document)
            return release_result::released;
    } while (this->wait_to_retry());
    return release_result::unreachable;
}

} // namespace ragwortcove::cli
