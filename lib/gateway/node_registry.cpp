#include "ragwortcove/gateway/node_registry.hpp"

#include "ragwortcove/daemon/event_log.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using daemon::log_event;

/// Time from the start within which seeds that run respond.
static constexpr core::duration first_look_delay = 400ms;
/// Interval of the calls of an isolated node, and once it has found out that it is the only one.
static constexpr core::duration search_interval = 1s;
static constexpr core::duration idle_search_interval = 5s;
/// Longest time that a call may take: one that is late is made anew and not given up, or a slow
/// store would keep a node from ever knowing whether it is the only one.
static constexpr std::chrono::milliseconds max_call_time{12000};
/// Time within which nodes that run respond after they were found.
static constexpr core::duration contact_time = 500ms;
/// Interval at which an entry is written anew, and its age from which on nobody keeps it.
static constexpr core::duration refresh_interval = 20min;
static constexpr std::chrono::milliseconds entry_lifetime = 1h;

static std::string kind_name()
{
    return std::string(adapter::store_name(adapter::document_kind::own_nodes));
}

node_registry::node_registry(node_registry_dependencies&& dependencies)
    : env(std::move(dependencies)), next_call_at(this->now() + first_look_delay)
{
}

void node_registry::tick()
{
    const core::time_point at = this->now();
    if (this->has_left)
        return;
    const bool is_isolated = this->env.is_isolated();
    if (is_isolated && this->confirms_at && at >= *this->confirms_at && !this->is_confirmed) {
        this->is_confirmed = true;
        this->env.confirm_isolation();
    }
    if (at < this->next_call_at)
        return;
    this->next_call_at = at + (this->is_confirmed ? idle_search_interval : search_interval);
    const bool must_refresh = this->written_at && at - *this->written_at >= refresh_interval;
    if (must_refresh || (is_isolated && !this->written_at))
        this->write_entry();
    else if (is_isolated)
        this->list_entries();
}

/// Logs a call that has failed; the next one that is due repeats it.
static void log_failed_call(std::string_view call, const adapter::store_error& error)
{
    daemon::write_log(log_event::node_entry_call_failed,
                      {{"call", call}, {"status", std::to_string(error.status)}});
}

adapter::store_document node_registry::make_entry() const
{
    return adapter::write_node_document({this->env.self, this->env.peers, this->env.wall_time()});
}

void node_registry::write_entry()
{
    this->env.store.send(
        adapter::create_document{kind_name(), this->make_entry()},
        [this](const adapter::store_document* written, const adapter::store_error& error) {
            const bool is_there = error.failure == adapter::store_failure::conflict;
            if (written == nullptr && is_there)
                this->replace_entry();
            else
                this->on_written(written, error);
        },
        max_call_time);
}

// The entry of an earlier process of this node.
void node_registry::replace_entry()
{
    this->env.store.send(
        adapter::replace_document{kind_name(), this->make_entry(), std::nullopt},
        [this](const adapter::store_document* written, const adapter::store_error& error) {
            this->on_written(written, error);
        },
        max_call_time);
}

// A node that has left meanwhile must not leave an entry behind. The entry is read after it is
// written: so one of two nodes finds the other.
void node_registry::on_written(const adapter::store_document* written,
                               const adapter::store_error& error)
{
    if (written == nullptr) {
        log_failed_call("write", error);
        return;
    }
    this->written_at = this->now();
    if (this->has_left)
        this->remove_entry(this->env.self.value);
    else if (this->env.is_isolated())
        this->list_entries();
}

void node_registry::list_entries()
{
    this->env.store.list(
        adapter::document_kind::own_nodes,
        [this](const adapter::document_list* all, const adapter::store_error& error) {
            if (all != nullptr)
                this->take_entries(*all);
            else
                log_failed_call("list", error);
        },
        max_call_time);
}

void node_registry::take_entries(const adapter::document_list& all)
{
    std::vector<core::endpoint> found;
    const std::chrono::milliseconds wall = this->env.wall_time();
    for (const adapter::store_document& document : all.documents) {
        const auto parsed = adapter::read_node_document(document);
        if (const auto* error = std::get_if<adapter::document_error>(&parsed)) {
            daemon::write_log(log_event::node_entry_unreadable, {{"document", document.name},
                                                                 {"place", error->location},
                                                                 {"expected", error->expected}});
            continue;
        }
        const auto& entry = std::get<adapter::node_entry>(parsed);
        if (entry.name == this->env.self)
            continue;
        if (wall - entry.written_at >= entry_lifetime)
            this->remove_entry(document.name);
        else
            found.push_back(entry.peers);
    }
    daemon::write_log(log_event::nodes_sought, {{"found", std::to_string(found.size())}});
    if (!this->confirms_at)
        this->confirms_at = this->now() + (found.empty() ? core::duration{0} : contact_time);
    this->env.add_seeds(found);
}

void node_registry::remove_entry(const std::string& name)
{
    // An entry that stays is removed by the next node that reads it too late.
    this->env.store.send(
        adapter::remove_document{kind_name(), name, std::nullopt},
        [](const adapter::store_document* removed, const adapter::store_error& error) {
            const bool is_gone =
                removed != nullptr || error.failure == adapter::store_failure::missing;
            if (!is_gone)
                log_failed_call("remove", error);
        });
}

void node_registry::leave()
{
    if (std::exchange(this->has_left, true) || !this->written_at)
        return;
    this->remove_entry(this->env.self.value);
}

} // namespace ragwortcove::gateway
