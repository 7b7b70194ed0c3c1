// What the store lists of orders to drain failure domains is taken or refused, entry by entry: a
// sound order beside any others holds.
#include "platform/drain_document.hpp"
#include "ragwortcove/core/domain_drain.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <utility>
#include <vector>

using namespace ragwortcove;

static constexpr core::time_point now{std::chrono::hours{100}};

static void require(bool holds)
{
    if (!holds)
        std::abort();
}

static void apply(std::vector<adapter::store_document> documents)
{
    const core::failure_domain_name sound{"sound"};
    const std::size_t count = documents.size();
    documents.push_back(adapter::write_drain_document(sound));
    const adapter::drain_orders orders = adapter::read_drain_orders(documents);
    require(orders.domains.size() + orders.unreadable.size() == count + 1);
    core::domain_drain drains;
    static_cast<void>(drains.set_orders(orders.domains, now));
    require(drains.is_drained(sound));
    require(!drains.is_drained({}));
    require(drains.set_orders(orders.domains, now).empty());
    static_cast<void>(drains.set_orders({}, now));
    require(!drains.is_drained(sound));
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    if (auto document = adapter::read_document(bytes))
        apply({std::move(*document)});
    if (auto page = adapter::read_page(bytes))
        apply(std::move(page->part.documents));
    return 0;
}
