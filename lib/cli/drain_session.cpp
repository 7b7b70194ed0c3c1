#include "ragwortcove/cli/drain_session.hpp"

#include "platform/announcement.hpp"
#include "platform/drain_document.hpp"

#include <map>
#include <utility>
#include <variant>

namespace ragwortcove::cli {

using adapter::document_kind;
using adapter::store_failure;

static std::map<core::failure_domain_name, std::size_t>
count_upstreams(const adapter::document_list& announcements)
{
    std::map<core::failure_domain_name, std::size_t> counts;
    for (const adapter::store_document& document : announcements.documents) {
        if (const auto upstream = adapter::read_upstream(document, core::time_point{}))
            ++counts[upstream->failure_domain];
    }
    return counts;
}

std::optional<stored_drains> drain_session::list()
{
    do {
        const auto orders = this->store.list(document_kind::domain_drains);
        // A store that does not know the kind has no order.
        if (!orders.documents && orders.error.failure == store_failure::missing)
            return stored_drains{};
        const auto announcements = this->store.list(document_kind::upstreams).documents;
        if (!orders.documents || !announcements)
            continue;
        const auto counts = count_upstreams(*announcements);
        stored_drains result;
        for (const adapter::store_document& document : orders.documents->documents) {
            auto parsed = adapter::read_drain_document(document);
            auto* domain = std::get_if<core::failure_domain_name>(&parsed);
            if (domain == nullptr) {
                result.unreadable.push_back(document.name);
                continue;
            }
            const auto known = counts.find(*domain);
            const std::size_t upstreams = known == counts.end() ? 0 : known->second;
            result.drains.push_back({std::move(*domain), document.at, upstreams});
        }
        return result;
    } while (this->store.wait_to_retry());
    return std::nullopt;
}

/// Whether the name can be that of a domain, and stand in a path of the store.
static bool is_domain_name(const core::failure_domain_name& domain)
{
    const bool is_readable = std::holds_alternative<core::failure_domain_name>(
        adapter::read_drain_document(adapter::write_drain_document(domain)));
    return is_readable && domain.value.find_first_of("/?#% ") == std::string::npos;
}

/// Whether a call failed in a way in which it would fail again.
static bool is_final(const adapter::store_error& error)
{
    return error.failure == store_failure::rejected;
}

// A call whose response was lost may have taken effect: the order then stands, which is what was
// wanted.
drain_result drain_session::drain(const core::failure_domain_name& domain)
{
    if (!is_domain_name(domain))
        return drain_result::invalid_name;
    const adapter::store_document order = adapter::write_drain_document(domain);
    const std::string kind(adapter::store_name(document_kind::domain_drains));
    do {
        const auto written = this->store.call(adapter::create_document{kind, order});
        if (written.document)
            return drain_result::done;
        if (written.error.failure == store_failure::conflict)
            return drain_result::unchanged;
        if (is_final(written.error))
            return drain_result::rejected;
    } while (this->store.wait_to_retry());
    return drain_result::unreachable;
}

drain_result drain_session::undo(const core::failure_domain_name& domain)
{
    if (!is_domain_name(domain))
        return drain_result::invalid_name;
    const std::string kind(adapter::store_name(document_kind::domain_drains));
    do {
        const auto removed =
            this->store.call(adapter::remove_document{kind, domain.value, std::nullopt});
        if (removed.document)
            return drain_result::done;
        if (removed.error.failure == store_failure::missing)
            return drain_result::unchanged;
        if (is_final(removed.error))
            return drain_result::rejected;
    } while (this->store.wait_to_retry());
    return drain_result::unreachable;
}

} // namespace ragwortcove::cli
