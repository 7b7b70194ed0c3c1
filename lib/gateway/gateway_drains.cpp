#include "platform/drain_document.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/gateway/gateway.hpp"

#include <algorithm>
#include <utility>

// How a gateway drains failure domains that the operator takes out of use.

namespace ragwortcove::gateway {

using daemon::log_event;

void gateway::apply_domain_drains()
{
    const adapter::document_list all =
        this->feed->all_documents(adapter::document_kind::domain_drains);
    const adapter::drain_orders orders = adapter::read_drain_orders(all.documents);
    for (const adapter::document_error& error : orders.unreadable)
        daemon::write_log(log_event::domain_drain_unreadable,
                          {{"order", error.location},
                           {"revision", std::to_string(all.at.value)},
                           {"expected", error.expected}});
    const core::drain_changes changes = this->drains.set_orders(orders.domains, this->now());
    if (changes.empty())
        return;
    const std::vector<core::announced_upstream> upstreams = this->directory.all();
    const auto count_in = [&](const core::failure_domain_name& domain) {
        return std::count_if(upstreams.begin(), upstreams.end(),
                             [&](const auto& each) { return each.failure_domain == domain; });
    };
    const auto left = std::count_if(
        upstreams.begin(), upstreams.end(), [&](const core::announced_upstream& each) {
            return !each.leaving && !this->drains.is_drained(each.failure_domain);
        });
    const auto log_domains = [&](log_event event,
                                 const std::vector<core::failure_domain_name>& domains) {
        for (const core::failure_domain_name& domain : domains)
            daemon::write_log(event, {{"domain", domain.value},
                                      {"upstreams", std::to_string(count_in(domain))},
                                      {"left", std::to_string(left)},
                                      {"revision", std::to_string(all.at.value)}});
    };
    log_domains(log_event::domain_drained, changes.drained);
    log_domains(log_event::domain_drain_ended, changes.released);
    this->offer_upstreams();
}

void gateway::offer_upstreams()
{
    std::vector<core::announced_upstream> all = this->directory.all();
    this->drains.mark(all, this->now());
    this->rollouts->set_upstreams(std::move(all));
}

} // namespace ragwortcove::gateway
