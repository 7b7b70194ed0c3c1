#include "ragwortcove/cli/part_session.hpp"

#include "platform/part_document.hpp"

#include <utility>
#include <variant>

namespace ragwortcove::cli {

using adapter::document_kind;
using adapter::store_failure;

std::optional<stored_parts> part_session::list()
{
    do {
        const auto all = this->store.list(document_kind::held_parts).documents;
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
    } while (this->store.wait_to_retry());
    return std::nullopt;
}

// A document of a later generation clears the part at every node, and its owner then removes it.
// Written on condition, it does not replace what a node has found out meanwhile.
release_result part_session::release(core::part_id part)
{
    const std::string kind(adapter::store_name(document_kind::held_parts));
    do {
        const store_session::document_result stored =
            this->store.call(adapter::get_document{kind, adapter::part_document_name(part), false});
        if (!stored.document && stored.error.failure == store_failure::missing)
            return release_result::not_held_back;
        if (!stored.document)
            continue;
        const auto parsed = adapter::read_part_document(*stored.document, core::time_point{});
        const auto* record = std::get_if<core::part_record>(&parsed);
        if (record == nullptr || !core::is_held_back(*record))
            return release_result::not_held_back;
        const core::part_record released{part, record->generation + 1, {}, 0, {}};
        const store_session::document_result written = this->store.call(adapter::replace_document{
            kind, adapter::write_part_document(released), stored.document->at});
        if (written.document)
            return release_result::released;
    } while (this->store.wait_to_retry());
    return release_result::unreachable;
}

} // namespace ragwortcove::cli
