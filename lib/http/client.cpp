#include "ragwortcove/http/client.hpp"

#include "client_state.hpp"
#include "loop_state.hpp"

#include <utility>

namespace ragwortcove::http {

/// Time that an exchange waits for a connection of the pool before it gets one of its own.
static constexpr std::chrono::milliseconds longest_pool_wait{20};
/// Connections outside the pool, not counting those that callers ask for.
static constexpr std::uint32_t most_single_connections = 1024;

static void serve_waiting(client::state& self);

/// Frees the slot in a later turn, when libwebsockets is done with the ended exchange.
static void free_slot(client::state& self, std::optional<std::size_t> slot)
{
    if (!slot)
        return;
    run_after_turn(self.on, [&self, slot] {
        self.pool[*slot].busy = false;
        serve_waiting(self);
    });
}

static std::unique_ptr<open_exchange> take(client::state& self, client_exchange id)
{
    const auto found = self.exchanges.find(id);
    std::unique_ptr<open_exchange> taken = std::move(found->second);
    self.exchanges.erase(found);
    self.on.cancel(taken->idle_timer);
    if (taken->connection)
        taken->connection->serves = nullptr;
    free_slot(self, taken->slot);
    if (taken->single) {
        --self.single_connections;
        run_after_turn(self.on, [&self] { serve_waiting(self); });
    }
    return taken;
}

void end_whole(client::state& self, open_exchange& each)
{
    const std::unique_ptr<open_exchange> taken = take(self, each.id);
    if (!self.ended && taken->handlers.ended)
        taken->handlers.ended();
}

void end_failed(client::state& self, open_exchange& each, client_error error)
{
    const std::unique_ptr<open_exchange> taken = take(self, each.id);
    if (!self.ended && taken->handlers.failed)
        taken->handlers.failed(error);
}

static void close_connection_of(const open_exchange& each)
{
    if (each.connection)
        close_connection(*each.connection);
}

static void watch_idle(open_exchange& each);

static void check_idle(open_exchange& each)
{
    each.idle_timer = 0;
    client::state& self = *each.owner;
    if (self.on.now() - each.last_activity < each.wanted.idle_limit) {
        watch_idle(each);
        return;
    }
    close_connection_of(each);
    end_failed(self, each, each.written ? client_error::silent : client_error::not_sent);
}

/// The timer is not moved on each byte; it looks at the last activity when it fires.
static void watch_idle(open_exchange& each)
{
    loop& on = each.owner->on;
    const auto due = each.last_activity + each.wanted.idle_limit;
    each.idle_timer = on.after(due - on.now(), [&each] { check_idle(each); });
}

client::client(loop& on, const client_settings& settings)
    : self(std::make_unique<state>(state{on, settings}))
{
    this->self->vhost = create_client_vhost(*this->self);
    if (settings.tls)
        this->self->trusted = load_tls_context(settings);
    this->self->pool.resize(settings.pool_size);
}

client::~client()
{
    this->self->ended = true;
    for (auto& [id, each] : this->self->exchanges)
        this->self->on.cancel(each->idle_timer);
    for (const client_connection_pointer& each : this->self->connections) {
        if (each->wsi == nullptr)
            continue;
        lws_set_opaque_user_data(each->wsi, nullptr);
        lws_set_timeout(each->wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_SYNC);
    }
    lws_vhost_destroy(this->self->vhost);
    loop& on = this->self->on;
    retain_until_context_ends(on, std::shared_ptr<state>(std::move(this->self)));
}

/// A free slot, if possible one with an open connection to that upstream.
static std::optional<std::size_t> choose_slot(const client::state& self,
                                              const std::string& upstream)
{
    std::optional<std::size_t> any;
    for (std::size_t index = 0; index < self.pool.size(); ++index) {
        const pool_slot& slot = self.pool[index];
        if (slot.busy)
            continue;
        if (slot.kept && slot.kept->upstream == upstream)
            return index;
        if (!any || !slot.kept)
            any = index;
    }
    return any;
}

static void connect_pooled(client::state& self, open_exchange& each, std::size_t index)
{
    pool_slot& slot = self.pool[index];
    each.slot = index;
    slot.busy = true;
    const client_connection_pointer kept = std::exchange(slot.kept, nullptr);
    if (kept && kept->upstream == each.upstream) {
        reuse(kept, each);
        return;
    }
    if (kept)
        close_connection(*kept);
    connect(self, each);
}

static void connect_single(client::state& self, open_exchange& each)
{
    each.single = true;
    ++self.single_connections;
    connect(self, each);
}

/// Long streams may hold the whole pool, so an exchange waits for it only for a while.
static bool may_leave_pool(const client::state& self, const open_exchange& each)
{
    return self.single_connections < most_single_connections &&
           self.on.now() - each.started >= longest_pool_wait;
}

static void serve_waiting(client::state& self)
{
    while (!self.waiting.empty() && !self.ended) {
        const auto found = self.exchanges.find(self.waiting.front());
        if (found == self.exchanges.end()) {
            self.waiting.pop_front();
            continue;
        }
        open_exchange& each = *found->second;
        const std::optional<std::size_t> slot = choose_slot(self, each.upstream);
        if (!slot && !may_leave_pool(self, each))
            return;
        self.waiting.pop_front();
        if (slot)
            connect_pooled(self, each, *slot);
        if (!slot)
            connect_single(self, each);
    }
}

static void wait_for_connection(client::state& self, const open_exchange& each)
{
    self.waiting.push_back(each.id);
    self.on.after(longest_pool_wait, [&self] { serve_waiting(self); });
}

static std::unique_ptr<open_exchange> make_exchange(client::state& self, client_request&& request,
                                                    client_handlers&& handlers)
{
    auto made = std::make_unique<open_exchange>();
    made->id = ++self.last_exchange;
    made->owner = &self;
    made->wanted = std::move(request);
    made->handlers = std::move(handlers);
    made->upstream = made->wanted.address + ":" + std::to_string(made->wanted.port);
    made->started = self.on.now();
    made->last_activity = made->started;
    return made;
}

client_exchange client::start(client_request&& request, client_handlers&& handlers)
{
    state& pooled = *this->self;
    auto made = make_exchange(pooled, std::move(request), std::move(handlers));
    open_exchange& each = *made;
    const client_exchange id = each.id;
    pooled.exchanges.emplace(id, std::move(made));
    watch_idle(each);
    if (each.wanted.fresh_connection) {
        connect_single(pooled, each);
        return id;
    }
    const std::optional<std::size_t> slot =
        pooled.waiting.empty() ? choose_slot(pooled, each.upstream) : std::nullopt;
    if (slot)
        connect_pooled(pooled, each, *slot);
    if (!slot)
        wait_for_connection(pooled, each);
    return id;
}

void client::cancel(client_exchange exchange)
{
    const auto found = this->self->exchanges.find(exchange);
    if (found == this->self->exchanges.end())
        return;
    close_connection_of(*found->second);
    take(*this->self, exchange);
}

} // namespace ragwortcove::http
