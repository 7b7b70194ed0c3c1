#include "ragwortcove/core/placement_policy.hpp"

#include <algorithm>
#include <array>
#include <cassert>

namespace ragwortcove::core {

static constexpr std::array<std::string_view, 6> policy_names{
    "permits", "permits_untiered", "round_robin", "least_load", "two_choices", "fixed_slice"};

std::span<const std::string_view> placement_policy_names()
{
    return policy_names;
}

std::optional<placement_policy> parse_placement_policy(std::string_view name)
{
    if (name == "permits")
        return permit_placement{true};
    if (name == "permits_untiered")
        return permit_placement{false};
    if (name == "round_robin")
        return round_robin_placement{};
    if (name == "least_load")
        return least_load_placement{};
    if (name == "two_choices")
        return two_choices_placement{};
    if (name == "fixed_slice")
        return fixed_slice_placement{};
    return std::nullopt;
}

void direct_placement::released(const upstream_name& upstream)
{
    std::uint32_t& count = this->in_flight[upstream];
    assert(count > 0 && "only a dispatched request is released");
    --count;
}

void direct_placement::on_load_report(const load_reported& report)
{
    this->reports[report.upstream] = reported_load{report.running + report.waiting};
}

// The entry's own recent requests may be missing from the report; requests of other entries are
// known only from the report.
std::uint32_t direct_placement::load_of(const cell_upstream& upstream) const
{
    const auto reported = this->reports.find(upstream.name);
    const auto own = this->in_flight.find(upstream.name);
    return std::max(reported == this->reports.end() ? 0 : reported->second.requests,
                    own == this->in_flight.end() ? 0 : own->second);
}

std::size_t direct_placement::least_loaded(std::span<const cell_upstream* const> candidates) const
{
    std::size_t best = 0;
    for (std::size_t index = 1; index < candidates.size(); ++index) {
        if (this->load_of(*candidates[index]) < this->load_of(*candidates[best]))
            best = index;
    }
    return best;
}

std::optional<upstream_name>
direct_placement::choose(std::span<const cell_upstream* const> candidates, std::size_t entries,
                         random_engine& random)
{
    assert(!candidates.empty() && "placement needs a candidate");
    const std::uint64_t current_turn = this->next_turn++;
    struct visitor {
        const direct_placement& self;
        std::span<const cell_upstream* const> candidates;
        std::size_t entries;
        std::uint64_t next_turn;
        random_engine& random;

        std::optional<upstream_name> operator()(const permit_placement&) const
        {
            return std::nullopt;
        }
        std::optional<upstream_name> operator()(const round_robin_placement&) const
        {
            return this->candidates[this->next_turn % this->candidates.size()]->name;
        }
        std::optional<upstream_name> operator()(const least_load_placement&) const
        {
            return this->candidates[this->self.least_loaded(this->candidates)]->name;
        }
        std::optional<upstream_name> operator()(const two_choices_placement&) const
        {
            const std::array<const cell_upstream*, 2> pair{
                this->candidates[uniform_below(this->random, this->candidates.size())],
                this->candidates[uniform_below(this->random, this->candidates.size())]};
            return pair[this->self.least_loaded(pair)]->name;
        }
        std::optional<upstream_name> operator()(const fixed_slice_placement&) const
        {
            const cell_upstream* chosen = nullptr;
            std::uint32_t max_free = 0;
            for (const cell_upstream* candidate : this->candidates) {
                const std::uint32_t slice = std::max<std::uint32_t>(
                    1, candidate->spec.slots / static_cast<std::uint32_t>(this->entries));
                const auto found = this->self.in_flight.find(candidate->name);
                const std::uint32_t used = found == this->self.in_flight.end() ? 0 : found->second;
                if (used >= slice || slice - used <= max_free)
                    continue;
                max_free = slice - used;
                chosen = candidate;
            }
            return chosen == nullptr ? std::nullopt : std::optional(chosen->name);
        }
    };
    return std::visit(visitor{*this, candidates, entries, current_turn, random}, this->policy);
}

} // namespace ragwortcove::core
