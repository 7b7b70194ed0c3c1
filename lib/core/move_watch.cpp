#include "ragwortcove/core/move_watch.hpp"

#include "ragwortcove/core/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::core {

/// Label by which upstreams of unlike speed are told apart.
static constexpr std::string_view hardware_label = "hardware";
/// How long the same entries hold the right to send canaries, by the wall clock.
static constexpr std::int64_t canary_turn_ms = 30'000;

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
    return {seen.braked, seen.level(now) != evidence_level::clear, seen.passed()};
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

// The move's bound is for the whole system. Which entries have a part of it changes from turn to
// turn, since the first may happen to get no request of the route.
void move_watch::share_bound(const route_move& move, unix_millis wall, split_request& request) const
{
    const std::vector<std::string> names = this->entries();
    const auto count = static_cast<std::uint32_t>(names.size());
    const std::uint32_t left_over = move.spec.canary_in_flight % count;
    request.canary_quota = move.spec.canary_in_flight / count;
    if (request.canary_quota == 0)
        request.entries_for_each_holder = static_cast<double>(count) / left_over;
    const std::string key =
        "canary/" + move.name.value + "/" + std::to_string(wall.value / canary_turn_ms);
    const std::vector<std::size_t> order = rendezvous_order(key, names);
    for (std::uint32_t place = 0; place < left_over; ++place)
        request.canary_quota += names[order[place]] == this->members.self().name.value ? 1 : 0;
}

version_choice move_watch::choose(const route_name& route, const route_spec& spec, bool idempotent,
                                  step_context& context)
{
    const route_move* own = this->by_route.find(route);
    const version_name otherwise = own == nullptr                                  ? spec.version
                                   : own->status.phase != move_phase::done         ? own->spec.from
                                   : this->standing(own->name, context.now).braked ? own->spec.from
                                                                                   : own->spec.to;
    const route_move* move = own;
    if ((own == nullptr || own->ended()) && idempotent)
        move = this->by_route.find_lent(route);
    if (move == nullptr || move->ended())
        return {otherwise, {}};
    const move_standing seen = this->standing(move->name, context.now);
    const bool lent = move != own;
    if (lent && seen.passed >= passes_before_non_idempotent)
        return {otherwise, {}};
    if (share_permille(*move, seen, context.wall) == 0)
        return {otherwise, {}};
    split_request request;
    request.idempotent = idempotent;
    request.canaries_in_flight = this->in_flight[move->name];
    if (is_canary(seen))
        this->share_bound(*move, context.wall, request);
    request.draw = uniform(context.random);
    const bool chosen = pick_version(*move, seen, request, context.wall) == move->spec.to;
    if (!chosen || this->cells.serving(spec, move->spec.to).empty())
        return {otherwise, {}};
    ++this->in_flight[move->name];
    return {move->spec.to, move->name};
}

version_name move_watch::old_version(const move_name& move) const
{
    const route_move* found = this->find(move);
    return found == nullptr ? version_name{} : found->spec.from;
}

void move_watch::left(const move_name& move)
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

static attempt_observation describe(const open_request& request, attempt_outcome outcome)
{
    const running_attempt& running = *request.running;
    attempt_observation seen;
    seen.upstream = running.upstream;
    seen.on_new = !request.canary_move.empty();
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
    attempt_observation seen = describe(request, outcome);
    seen.hardware = hardware_of(this->config, seen.upstream);
    if (!this->old_hardware[move->name].contains(seen.hardware))
        seen.hardware.clear();
    const std::size_t senders =
        is_canary(this->standing(move->name, context.now))
            ? std::min<std::size_t>(move->spec.canary_in_flight, this->entries().size())
            : this->entries().size();
    found->second.observe(seen, senders, context.now);
    this->has_news = true;
    this->judge(move->name, context);
}

void move_watch::judge(const move_name& move, step_context& context)
{
    const auto found = this->evidence.find(move);
    if (found != this->evidence.end() && found->second.level(context.now) == evidence_level::bad)
        this->brake(move, context);
}

void move_watch::brake(const move_name& move, step_context& context)
{
    const auto found = this->evidence.find(move);
    if (found == this->evidence.end() || found->second.braked)
        return;
    found->second.braked = true;
    this->brake_set = true;
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
            this->brake(record.move, context);
        const route_move* move = this->find(record.move);
        if (move != nullptr && !move->ended())
            this->judge(record.move, context);
    }
}

// What does not fit on one heartbeat goes on the next ones; the counts are cumulative.
std::vector<version_evidence> move_watch::records(std::size_t most)
{
    std::vector<version_evidence> brakes;
    std::vector<version_evidence> others;
    for (const auto& [name, seen] : this->evidence) {
        const route_move* move = this->find(name);
        if (move == nullptr || move->status.phase == move_phase::reverted)
            continue;
        if (seen.braked) {
            version_evidence on;
            on.move = name;
            on.finish_by = seen.due();
            on.brake = true;
            brakes.push_back(std::move(on));
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
        const std::size_t room = most - std::min(most, brakes.size());
        const std::size_t taken = std::min(room, others.size());
        this->next_record += taken;
        brakes.insert(brakes.end(), std::make_move_iterator(others.begin()),
                      std::make_move_iterator(others.begin() + static_cast<std::ptrdiff_t>(taken)));
    }
    return brakes;
}

bool move_watch::take_brake_set()
{
    return std::exchange(this->brake_set, false);
}

bool move_watch::take_news()
{
    return std::exchange(this->has_news, false);
}

} // namespace ragwortcove::core
