#include "ragwortcove/core/move_watch.hpp"

#include "ragwortcove/core/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::core {

/// Label that distinguishes upstreams of different speed.
static constexpr std::string_view hardware_label = "hardware";
/// Period, in wall-clock time, after which the entries that get the remainder of a canary limit are
/// chosen anew.
static constexpr std::int64_t canary_period_ms = 30'000;

static std::string hardware_of(const configuration& config, const upstream_name& upstream)
{
    const auto found = config.objects().find(object_key{object_kind::upstream, upstream.value});
    if (found == config.objects().end())
        return {};
    const auto label = found->second.labels.find(std::string(hardware_label));
    return label == found->second.labels.end() ? std::string{} : label->second;
}

void move_watch::find_old_hardware()
{
    this->old_hardware.clear();
    for (const auto& [key, value] : this->config.objects()) {
        const upstream_spec* spec = std::get_if<upstream_spec>(&value.spec);
        if (spec == nullptr)
            continue;
        const std::string hardware = hardware_of(this->config, upstream_name{key.name});
        for (const auto& [route, move] : this->by_route.all()) {
            if (spec->version == move.spec.from)
                this->old_hardware[move.name].insert(hardware);
        }
    }
}

void move_watch::refresh()
{
    this->by_route.rebuild(this->config);
    this->find_old_hardware();
    this->routes.clear();
    for (const auto& [route, move] : this->by_route.all()) {
        this->routes[move.name] = route;
        const auto found = this->evidence.find(move.name);
        if (found != this->evidence.end() && found->second.due() == move.spec.finish_by)
            continue;
        this->evidence.insert_or_assign(move.name, move_evidence{move.name, move.spec.finish_by});
    }
    std::erase_if(this->evidence,
                  [&](const auto& entry) { return !this->routes.contains(entry.first); });
}

const route_move* move_watch::find(const move_name& move) const
{
    const auto route = this->routes.find(move);
    return route == this->routes.end() ? nullptr : this->by_route.find(route->second);
}

move_standing move_watch::standing(const move_name& move, time_point now) const
{
    const auto found = this->evidence.find(move);
    if (found == this->evidence.end())
        return {};
    const move_evidence& seen = found->second;
    return {seen.halted, seen.level(now) != evidence_level::clear, seen.passed()};
}

std::uint32_t move_watch::pairs(const move_name& move) const
{
    const auto found = this->evidence.find(move);
    return found == this->evidence.end() ? 0 : found->second.pairs();
}

std::vector<std::string> move_watch::entries() const
{
    std::vector<std::string> names{this->members.self().name.value};
    for (const member* other : this->members.others()) {
        if (other->claim.state == member_state::live)
            names.push_back(other->claim.name.value);
    }
    std::sort(names.begin(), names.end());
    return names;
}

// The move's limit of requests in flight is for the whole system. Each entry gets an equal part,
// and the remainder goes to entries that are chosen anew in each period, so that the move
// progresses also when some entries receive no requests of the route.
void move_watch::set_canary_quota(const route_move& move, unix_millis wall,
                                  split_request& request) const
{
    const std::vector<std::string> names = this->entries();
    const auto count = static_cast<std::uint32_t>(names.size());
    const std::uint32_t remainder = move.spec.canary_in_flight % count;
    request.canary_quota = move.spec.canary_in_flight / count;
    // With a smaller limit than entries, only `remainder` entries send canaries. Each of them sends
    // a share that is larger by this factor, so that the whole system still sends the canary's
    // share.
    if (request.canary_quota == 0)
        request.entries_per_quota_holder = static_cast<double>(count) / remainder;
    const std::string key =
        "canary/" + move.name.value + "/" + std::to_string(wall.value / canary_period_ms);
    const std::vector<std::size_t> order = rendezvous_order(key, names);
    for (std::uint32_t index = 0; index < remainder; ++index)
        request.canary_quota += names[order[index]] == this->members.self().name.value ? 1 : 0;
}

// Requests that are not idempotent are not the first to test a new version: idempotent requests of
// other routes of the same target, if there are any, assist by serving as canaries of a move that
// is not their route's. A route whose own move is under way does not assist. Assistance ends when
// the new version has sent enough complete responses for requests that are not idempotent.
version_choice move_watch::choose(const route_name& route, const route_spec& spec, bool idempotent,
                                  step_context& context)
{
    const route_move* own = this->by_route.find(route);
    const version_name fallback = own == nullptr                                  ? spec.version
                                  : own->status.phase != move_phase::done         ? own->spec.from
                                  : this->standing(own->name, context.now).halted ? own->spec.from
                                                                                  : own->spec.to;
    const route_move* move = own;
    if ((own == nullptr || own->ended()) && idempotent)
        move = this->by_route.find_assisted_move(route);
    if (move == nullptr || move->ended())
        return {fallback, {}};
    const move_standing seen = this->standing(move->name, context.now);
    const bool assists = move != own;
    if (assists && seen.passed >= passes_before_non_idempotent)
        return {fallback, {}};
    if (share_permille(*move, seen, context.wall) == 0)
        return {fallback, {}};
    split_request request;
    request.idempotent = idempotent;
    request.canaries_in_flight = this->in_flight[move->name];
    if (is_canary(seen))
        this->set_canary_quota(*move, context.wall, request);
    request.draw = uniform(context.random);
    const bool chosen = pick_version(*move, seen, request, context.wall) == move->spec.to;
    if (!chosen || this->cells.serving(spec, move->spec.to).empty())
        return {fallback, {}};
    ++this->in_flight[move->name];
    return {move->spec.to, move->name};
}

version_name move_watch::old_version(const move_name& move) const
{
    const route_move* found = this->find(move);
    return found == nullptr ? version_name{} : found->spec.from;
}

void move_watch::release_in_flight(const move_name& move)
{
    const auto found = this->in_flight.find(move);
    if (found == this->in_flight.end())
        return;
    if (--found->second == 0)
        this->in_flight.erase(found);
}

bool move_watch::is_stopped(const move_name& move, const step_context& context) const
{
    const route_move* found = this->find(move);
    return found == nullptr ||
           share_permille(*found, this->standing(move, context.now), context.wall) == 0;
}

static attempt_observation make_observation(const open_request& request, attempt_outcome outcome)
{
    const running_attempt& running = *request.running;
    attempt_observation seen;
    seen.upstream = running.upstream;
    seen.on_new_version = !request.canary_move.empty();
    seen.failed = outcome != attempt_outcome::completed;
    seen.connection_failed = running.connection_failed;
    const std::uint32_t prompt = request.call.prompt_tokens;
    seen.computed_tokens = prompt - std::min(prompt, running.cached_tokens);
    if (seen.failed)
        return seen;
    seen.first_token_after = running.first_part_at - running.dispatched_at;
    if (request.route.kind == upstream_kind::engine && request.received > 1)
        seen.between_tokens =
            (running.last_part_at - running.first_part_at) / std::int64_t{request.received - 1};
    return seen;
}

void move_watch::observe(const open_request& request, attempt_outcome outcome,
                         step_context& context)
{
    if (outcome == attempt_outcome::cancelled || outcome == attempt_outcome::unused)
        return;
    const route_move* move = request.canary_move.empty() ? this->by_route.find(request.call.route)
                                                         : this->find(request.canary_move);
    if (move == nullptr || move->ended())
        return;
    const auto found = this->evidence.find(move->name);
    if (found == this->evidence.end())
        return;
    attempt_observation seen = make_observation(request, outcome);
    seen.hardware = hardware_of(this->config, seen.upstream);
    // On hardware that the old version does not run on, there is nothing of the same hardware to
    // compare with. Without a label, the attempt is compared with all upstreams of the old version.
    if (!this->old_hardware[move->name].contains(seen.hardware))
        seen.hardware.clear();
    const std::size_t senders =
        is_canary(this->standing(move->name, context.now))
            ? std::min<std::size_t>(move->spec.canary_in_flight, this->entries().size())
            : this->entries().size();
    found->second.observe(seen, senders, context.now);
    this->has_new_evidence = true;
    this->halt_if_bad(move->name, context);
}

void move_watch::halt_if_bad(const move_name& move, step_context& context)
{
    const auto found = this->evidence.find(move);
    if (found != this->evidence.end() && found->second.level(context.now) == evidence_level::bad)
        this->halt(move, context);
}

void move_watch::halt(const move_name& move, step_context& context)
{
    const auto found = this->evidence.find(move);
    if (found == this->evidence.end() || found->second.halted)
        return;
    found->second.halted = true;
    this->halt_set = true;
    context.log(decision_kind::brake_set, {}, move.value, found->second.describe());
}

void move_watch::merge(incarnation sender, std::span<const version_evidence> records,
                       step_context& context)
{
    for (const version_evidence& record : records) {
        const auto found = this->evidence.find(record.move);
        if (found == this->evidence.end() || found->second.due() != record.finish_by)
            continue;
        found->second.merge(sender, record, context.now);
        if (record.brake)
            this->halt(record.move, context);
        const route_move* move = this->find(record.move);
        if (move != nullptr && !move->ended())
            this->halt_if_bad(record.move, context);
    }
}

// Records that do not fit in one heartbeat are sent in the next ones. The delay loses nothing,
// since the counts are cumulative.
std::vector<version_evidence> move_watch::records(std::size_t max_records)
{
    std::vector<version_evidence> halted_records;
    std::vector<version_evidence> others;
    for (const auto& [name, seen] : this->evidence) {
        const route_move* move = this->find(name);
        if (move == nullptr || move->status.phase == move_phase::reverted)
            continue;
        if (seen.halted) {
            version_evidence halt_record;
            halt_record.move = name;
            halt_record.finish_by = seen.due();
            halt_record.brake = true;
            halted_records.push_back(std::move(halt_record));
        }
        if (move->status.phase != move_phase::shifting && move->status.phase != move_phase::soaking)
            continue;
        for (version_evidence& record : seen.own_records())
            others.push_back(std::move(record));
    }
    if (!others.empty()) {
        this->next_record %= others.size();
        std::rotate(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(this->next_record),
                    others.end());
        const std::size_t free_records = max_records - std::min(max_records, halted_records.size());
        const std::size_t count = std::min(free_records, others.size());
        this->next_record += count;
        halted_records.insert(
            halted_records.end(), std::make_move_iterator(others.begin()),
            std::make_move_iterator(others.begin() + static_cast<std::ptrdiff_t>(count)));
    }
    return halted_records;
}

bool move_watch::take_halt_set()
{
    return std::exchange(this->halt_set, false);
}

bool move_watch::take_new_evidence()
{
    return std::exchange(this->has_new_evidence, false);
}

} // namespace ragwortcove::core
