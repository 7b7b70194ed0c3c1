#include "platform/rules.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/gateway/gateway.hpp"

#include <utility>

// How a gateway applies the operator's roll-outs and stores their states.

namespace ragwortcove::gateway {

using daemon::log_event;

rollout_dependencies gateway::make_rollout_dependencies()
{
    rollout_dependencies functions;
    functions.self = this->settings.name;
    functions.run = this->nodes->run();
    functions.now = [this] { return this->now(); };
    functions.owner_of = [this](std::string_view key) { return this->nodes->owner_of(key); };
    functions.serving_node_count = [this] { return this->nodes->serving_node_count(); };
    functions.send = [this](const core::node_name& to, wire::PeerDatagram& message) {
        this->nodes->send(to, message);
    };
    functions.send_to_all = [this](wire::PeerDatagram& message) {
        this->nodes->send_to_all(message);
    };
    functions.store_state = [this](const core::rollout_order& order, core::rollout_state state,
                                   state_write_handler&& done) {
        this->store_rollout_state(order, state, std::move(done));
    };
    functions.place_upstreams = [this](std::span<const core::announced_upstream> all) {
        this->placement->set_upstreams(all);
    };
    functions.limits = this->settings.rollouts;
    return functions;
}

void gateway::apply_rollouts()
{
    std::vector<core::rollout_order> orders;
    for (const adapter::store_document& document :
         this->feed->all_documents(adapter::document_kind::rollouts).documents) {
        if (document.deleting)
            continue;
        auto parsed = adapter::read_rollout_order(document);
        if (const auto* error = std::get_if<adapter::document_error>(&parsed)) {
            daemon::write_log(log_event::rollout_unreadable,
                              {{"order", document.name},
                               {"revision", std::to_string(document.at.value)},
                               {"place", error->location},
                               {"expected", error->expected}});
            continue;
        }
        orders.push_back(std::move(std::get<core::rollout_order>(parsed)));
    }
    this->rollouts->set_orders(orders);
}

void gateway::store_rollout_state(const core::rollout_order& order, core::rollout_state state,
                                  state_write_handler&& done)
{
    // In a later era, the order's revision may be that of another change.
    if (this->feed->position_of(adapter::document_kind::rollouts).era != order.at.era) {
        done(state_write_result::conflict);
        return;
    }
    this->store.send(adapter::write_rollout_state(order, state),
                     [this, done = std::move(done), era = order.at.era](
                         const adapter::store_document* stored, const adapter::store_error& error) {
                         const core::store_era stated = stored != nullptr ? stored->era : error.era;
                         this->feed->on_store_era(stated);
                         const bool is_later_era = stated > era;
                         if (stored != nullptr && !is_later_era)
                             done(state_write_result::stored);
                         else if (is_later_era || error.failure == adapter::store_failure::conflict)
                             done(state_write_result::conflict);
                         else
                             done(state_write_result::failed);
                     });
}

} // namespace ragwortcove::gateway
