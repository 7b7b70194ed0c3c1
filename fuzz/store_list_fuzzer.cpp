// Reads a list, a watch's changes and a document from any bytes, and what they describe. A sound
// entry beside any other text must come out as it went in.
#include "platform/announcement.hpp"
#include "platform/json_items.hpp"
#include "platform/node_document.hpp"
#include "platform/rules.hpp"
#include "platform/store_document.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <variant>

using namespace ragwortcove;

static constexpr std::string_view sound_entry =
    R"({"meta":{"name":"sound","revision":8},"spec":{"service":"lm","addr":"10.1.0.9:80",)"
    R"("zone":"a","version":"v1","slots":10,"state":"ready","born":17,"seq":4}})";

static void require(bool holds)
{
    if (!holds)
        std::abort();
}

static void read_content(adapter::store_document document)
{
    static_cast<void>(adapter::read_upstream(document, core::time_point{}));
    static_cast<void>(adapter::order_of(adapter::document_kind::upstreams, document));
    static_cast<void>(adapter::order_of(adapter::document_kind::rules, document));
    static_cast<void>(adapter::read_ruleset(document.content));
    static_cast<void>(adapter::read_rollout_order(document));
    const auto entry = adapter::read_node_document(document);
    if (const auto* node = std::get_if<adapter::node_entry>(&entry))
        require(adapter::read_node_document(adapter::write_node_document(*node)) == entry);
    document.name = "lm";
    static_cast<void>(adapter::read_rollout_order(document));
    // What one node sends on, another one reads.
    adapter::document_list list;
    list.documents.push_back(document);
    require(adapter::read_page(adapter::write_page(list)).has_value());
}

/// An entry whose brackets and strings end must not cost its neighbour anything.
static void read_beside_sound_entry(std::string_view entry)
{
    const std::string alone = "[" + std::string(entry) + "]";
    const auto elements = adapter::split_array(alone);
    if (!elements || elements->size() != 1)
        return;
    const auto page = adapter::read_page(R"({"current_rev":1,"entries":[)" + std::string(entry) +
                                         "," + std::string(sound_entry) + "]}");
    require(page.has_value() && !page->part.documents.empty());
    const auto upstream = adapter::read_upstream(page->part.documents.back(), core::time_point{});
    require(upstream.has_value() && upstream->name.value == "sound");
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    if (const auto page = adapter::read_page(text)) {
        for (const adapter::store_document& document : page->part.documents)
            read_content(document);
    }
    if (const auto changes = adapter::read_changes(text)) {
        for (const adapter::document_change& change : changes->changes)
            read_content(change.document);
    }
    if (const auto document = adapter::read_document(text))
        read_content(*document);
    read_beside_sound_entry(text);
    return 0;
}
