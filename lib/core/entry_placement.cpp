#include "ragwortcove/core/entry.hpp"

#include <algorithm>
#include <cassert>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Time after which a permit request without a response is sent again; owners ignore duplicates.
static constexpr duration permit_request_retry_after = 1s;
static constexpr duration retry_base_delay = 50ms;
static constexpr duration max_retry_delay = 1s;
static constexpr std::uint32_t max_retries = 3;
/// Time between two attempts of an entry to find a free upstream, for placement without owners.
static constexpr duration placement_retry_after = 20ms;
/// Time between two polls of every upstream's load, for placement without owners.
static constexpr duration poll_period = 1s;

static bool contains(const std::vector<cell_id>& cells, const cell_id& id)
{
    return std::find(cells.begin(), cells.end(), id) != cells.end();
}

static bool has_other_upstream(const cell& candidate, const open_request& request)
{
    return std::any_of(candidate.upstreams.begin(), candidate.upstreams.end(),
                       [&](const cell_upstream& upstream) {
                           return serves(upstream, request.route, request.version) &&
                                  std::find(request.avoid.begin(), request.avoid.end(),
                                            upstream.name) == request.avoid.end();
                       });
}

// Regions are tens of milliseconds apart and sometimes lose the connection to each other, so cells
// of another region are used only when those of this region have denied the request or none exist.
static void keep_local_candidates(std::vector<const cell*>& candidates, const region_name& region)
{
    const auto is_local = [&](const cell* candidate) { return candidate->region == region; };
    if (!std::any_of(candidates.begin(), candidates.end(), is_local))
        return;
    std::erase_if(candidates, [&](const cell* candidate) { return !is_local(candidate); });
}

void entry::choose_version(open_request& request, step_context& context)
{
    version_choice chosen =
        this->env.moves.choose(request.call.route, request.route, request.idempotent, context);
    request.version = std::move(chosen.version);
    request.canary_move = std::move(chosen.move);
}

void entry::fall_back_to_old_version(open_request& request)
{
    if (request.canary_move.empty())
        return;
    request.version = this->env.moves.old_version(request.canary_move);
    this->env.moves.release_in_flight(request.canary_move);
    request.canary_move = {};
}

bool entry::may_use(const open_request& request, const upstream_spec& upstream,
                    const step_context& context) const
{
    if (upstream.leaving)
        return false;
    if (!request.version.empty() && upstream.version != request.version)
        return false;
    return request.canary_move.empty() || !this->env.moves.is_stopped(request.canary_move, context);
}

void entry::leave_halted_versions(step_context& context)
{
    std::vector<exchange_id> affected;
    for (const auto& [exchange, request] : this->requests) {
        if (!request.canary_move.empty() && request.phase != request_phase::running &&
            this->env.moves.is_stopped(request.canary_move, context))
            affected.push_back(exchange);
    }
    for (const exchange_id exchange : affected) {
        open_request& request = this->requests.at(exchange);
        this->fall_back_to_old_version(request);
        if (request.phase != request_phase::awaiting_permit)
            continue;
        this->withdraw_permit_request(request, context);
        request.denied_by.clear();
        this->place(request, context);
    }
}

// A cell that denied the request is not tried again. When every cell has denied it, the caller gets
// the refusal at once, with the time after which to retry.
void entry::place(open_request& request, step_context& context)
{
    // The policies other than permits place without owners; permits are compared with them as
    // baselines.
    if (this->direct.active()) {
        this->place_direct(request, context);
        return;
    }
    std::vector<const cell*> candidates = this->env.cells.serving(request.route, request.version);
    std::erase_if(candidates, [&](const cell* candidate) {
        return contains(request.denied_by, candidate->id);
    });
    // Upstreams that failed this request are used again only when there is no other.
    if (!std::any_of(candidates.begin(), candidates.end(), [&](const cell* candidate) {
            return has_other_upstream(*candidate, request);
        }))
        request.avoid.clear();
    std::erase_if(candidates,
                  [&](const cell* candidate) { return !has_other_upstream(*candidate, request); });
    keep_local_candidates(candidates, this->env.self.region);
    const cell* chosen = this->env.view.choose(candidates, request.call.prefix);
    if (chosen == nullptr && !request.canary_move.empty()) {
        // The new version has no free slot or no upstream, so the old version serves the request.
        this->fall_back_to_old_version(request);
        request.denied_by.clear();
        this->place(request, context);
        return;
    }
    if (chosen == nullptr) {
        if (request.denied_by.empty())
            this->refuse(request, refusal_reason::no_upstream, 1s, context);
        else
            this->refuse(request, request.last_denial.reason, request.last_denial.retry_after,
                         context);
        return;
    }
    request.cell = chosen->id;
    context.log(decision_kind::placed, request.id, chosen->key);
    this->env.view.count_request(chosen->id, request.output_estimate);
    this->request_permit(request, context);
}

void entry::place_direct(open_request& request, step_context& context)
{
    std::vector<const cell_upstream*> candidates;
    for (const cell* serving : this->env.cells.serving(request.route, request.version)) {
        for (const cell_upstream& upstream : serving->upstreams) {
            if (serves(upstream, request.route, request.version))
                candidates.push_back(&upstream);
        }
    }
    if (candidates.empty()) {
        this->refuse(request, refusal_reason::no_upstream, 1s, context);
        return;
    }
    const std::size_t entries = this->env.members.others().size() + 1;
    const std::optional<upstream_name> chosen =
        this->direct.choose(candidates, entries, context.random);
    if (!chosen) {
        request.phase = request_phase::backing_off;
        this->set_wakeup(request, context.now + placement_retry_after);
        return;
    }
    context.log(decision_kind::placed, request.id, chosen->value);
    this->dispatch(request, *chosen, 0, context);
}

void entry::poll_loads(step_context& context)
{
    if (!this->direct.active() || this->next_poll > context.now)
        return;
    this->next_poll = context.now + poll_period;
    for (const auto& [id, cell] : this->env.cells.all()) {
        for (const cell_upstream& upstream : cell.upstreams)
            context.effects.emplace_back(poll_upstream{upstream.name, upstream.spec.address, 0});
    }
}

void entry::request_permit(open_request& request, step_context& context)
{
    if (this->env.cells.find(*request.cell) == nullptr) {
        this->place(request, context);
        return;
    }
    request.phase = request_phase::awaiting_permit;
    request.owner = this->env.owners.owner_of(*request.cell);
    permit_request wanted_permit;
    wanted_permit.request = request.id;
    wanted_permit.cell = *request.cell;
    wanted_permit.route = request.call.route;
    wanted_permit.team = request.call.team;
    wanted_permit.tier = request.route.tier;
    wanted_permit.version = request.version;
    wanted_permit.prefill_tokens = request.call.prompt_tokens;
    wanted_permit.output_tokens = request.output_estimate;
    wanted_permit.prefix = request.call.prefix;
    wanted_permit.time_left = request.deadline - context.now;
    wanted_permit.avoid = request.avoid;
    context.send(request.owner, std::move(wanted_permit));
    this->set_wakeup(request, context.now + permit_request_retry_after);
}

void entry::withdraw_permit_request(open_request& request, step_context& context)
{
    if (request.phase != request_phase::awaiting_permit || !request.cell)
        return;
    context.send(request.owner, permit_withdrawal{request.id, *request.cell});
}

void entry::on_permit_granted(const node_name& from, const permit_grant& message,
                              step_context& context)
{
    open_request* request = this->find_request(message.request);
    const bool is_awaited = request != nullptr &&
                            request->phase == request_phase::awaiting_permit && request->cell &&
                            *request->cell == message.cell;
    const upstream_spec* upstream = this->env.config.find_upstream(message.upstream);
    // The node suspends dispatches after its process was paused, since its state may be out of
    // date.
    const bool is_suspended = context.now < this->dispatch_suspended_until;
    if (is_suspended || !is_awaited || upstream == nullptr ||
        !this->may_use(*request, *upstream, context)) {
        permit_release unused;
        unused.request = message.request;
        unused.cell = message.cell;
        unused.upstream = message.upstream;
        unused.outcome = attempt_outcome::unused;
        // The owner has one permit per request: if the same permit is granted a second time while
        // the first grant is in use, the second grant must not be released.
        const bool in_use = request != nullptr && request->running && request->owner == from &&
                            request->running->upstream == message.upstream;
        if (!in_use)
            context.send(from, std::move(unused));
        if (is_suspended && is_awaited)
            this->set_wakeup(*request, this->dispatch_suspended_until);
        if (is_suspended)
            return;
        if (is_awaited && upstream != nullptr && !upstream->leaving)
            this->leave_halted_versions(context);
        else if (is_awaited)
            this->retry(*request, refusal_reason::no_upstream, context);
        return;
    }
    // The grant may come from a previous owner of the cell. The request is then withdrawn from the
    // owner that it was sent to last, which would otherwise grant it, too.
    if (request->owner != from)
        this->withdraw_permit_request(*request, context);
    request->owner = from;
    this->dispatch(*request, message.upstream, message.cached_tokens, context);
}

void entry::on_permit_denied(const node_name& from, const permit_denial& message,
                             step_context& context)
{
    open_request* request = this->find_request(message.request);
    if (request == nullptr || request->phase != request_phase::awaiting_permit ||
        *request->cell != message.cell || request->owner != from)
        return;
    // An owner that has just lost the cell denies the request; the request goes to the new owner.
    if (this->env.cells.find(message.cell) != nullptr &&
        this->env.owners.owner_of(message.cell) != from) {
        this->request_permit(*request, context);
        return;
    }
    request->denied_by.push_back(message.cell);
    request->last_denial = refusal{verdict::not_run, message.reason, message.retry_after};
    this->place(*request, context);
}

void entry::retry(open_request& request, refusal_reason reason_if_refused, step_context& context)
{
    request.running.reset();
    const duration delay =
        full_jitter(context.random, retry_base_delay, request.retries, max_retry_delay);
    const bool allowed = request.retries < max_retries && context.now + delay < request.deadline &&
                         this->retries.spend();
    if (!allowed) {
        this->refuse(request, reason_if_refused, max_retry_delay, context);
        return;
    }
    // A request that failed on a new version is not tried on that version again.
    this->fall_back_to_old_version(request);
    ++request.retries;
    request.phase = request_phase::backing_off;
    request.cell.reset();
    request.denied_by.clear();
    context.log(decision_kind::retried, request.id, request.call.route.value);
    this->set_wakeup(request, context.now + delay);
}

void entry::report_permit(open_request& request, step_context& context)
{
    permit_report report;
    report.request = request.id;
    report.cell = *request.cell;
    report.upstream = request.running->upstream;
    report.prefill_tokens = request.call.prompt_tokens;
    report.output_tokens = request.output_estimate;
    report.team = request.call.team;
    report.tier = request.route.tier;
    context.send(request.owner, std::move(report));
}

void entry::on_owners_changed(step_context& context)
{
    // Requests may end during the loop, so the identifiers of their exchanges are copied first.
    std::vector<exchange_id> exchanges;
    for (const auto& [exchange, request] : this->requests)
        exchanges.push_back(exchange);
    for (const exchange_id exchange : exchanges) {
        const auto found = this->requests.find(exchange);
        if (found == this->requests.end() || !found->second.cell)
            continue;
        open_request& request = found->second;
        if (this->env.cells.find(*request.cell) == nullptr) {
            if (request.phase == request_phase::awaiting_permit)
                this->place(request, context);
            continue;
        }
        const node_name& owner = this->env.owners.owner_of(*request.cell);
        if (owner == request.owner)
            continue;
        if (request.phase == request_phase::awaiting_permit) {
            this->withdraw_permit_request(request, context);
            this->request_permit(request, context);
            continue;
        }
        if (request.phase != request_phase::running)
            continue;
        request.owner = owner;
        this->report_permit(request, context);
    }
}

void entry::report_all_permits(step_context& context)
{
    for (auto& [exchange, request] : this->requests) {
        if (request.phase == request_phase::running && request.cell)
            this->report_permit(request, context);
        else if (request.phase == request_phase::awaiting_permit)
            this->set_wakeup(request, context.now);
    }
}

} // namespace ragwortcove::core
