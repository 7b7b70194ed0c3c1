#include "ragwortcove/core/domain_drain.hpp"
#include "ragwortcove/core/placement_scheduler.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace ragwortcove::core {

using namespace std::chrono_literals;

static const failure_domain_name north{"north"};
static const failure_domain_name south{"south"};
static const target_name target{"answers"};
static constexpr time_point start{100s};

/// Twenty upstreams in each of two domains.
static std::vector<announced_upstream> make_upstreams()
{
    std::vector<announced_upstream> all;
    for (const failure_domain_name& domain : {north, south}) {
        for (int number = 0; number < 20; ++number) {
            announced_upstream made;
            made.name.value = domain.value + std::to_string(number);
            made.target = target;
            made.failure_domain = domain;
            made.slots = 2;
            all.push_back(made);
        }
    }
    return all;
}

static std::vector<announced_upstream> marked(const domain_drain& drains, time_point now)
{
    std::vector<announced_upstream> all = make_upstreams();
    drains.mark(all, now);
    return all;
}

static std::ptrdiff_t count_usable(const domain_drain& drains, const failure_domain_name& domain,
                                   time_point now)
{
    const std::vector<announced_upstream> all = marked(drains, now);
    return std::count_if(all.begin(), all.end(), [&](const announced_upstream& each) {
        return each.failure_domain == domain && !each.leaving;
    });
}

static void order(domain_drain& drains, std::vector<failure_domain_name> domains, time_point now)
{
    static_cast<void>(drains.set_orders(domains, now));
}

// Guards against a domain that is used on although the operator has it drained, and against all of
// its upstreams coming back in the same moment.
TEST_CASE("the upstreams of a drained domain get nothing until the order is gone")
{
    domain_drain drains;
    SUBCASE("without an order nothing changes")
    {
        order(drains, {}, start);
        CHECK(marked(drains, start) == make_upstreams());
        CHECK_FALSE(drains.tick(start + 1s));
    }
    SUBCASE("an order holds at once, for its domain alone")
    {
        const std::vector<failure_domain_name> domains{south};
        const drain_changes changes = drains.set_orders(domains, start);
        CHECK(changes.drained == domains);
        CHECK(changes.released.empty());
        CHECK(drains.is_drained(south));
        CHECK_FALSE(drains.is_drained(north));
        CHECK(count_usable(drains, south, start) == 0);
        CHECK(count_usable(drains, north, start) == 20);
        CHECK(drains.set_orders(domains, start + 1s).empty());
        SUBCASE("and a domain without upstreams may be drained, too")
        {
            order(drains, {south, {"nowhere"}}, start + 1s);
            CHECK(drains.domains().size() == 2);
            CHECK(count_usable(drains, north, start + 1s) == 20);
        }
        SUBCASE("the upstreams come back one after the other")
        {
            const time_point released = start + 5s;
            CHECK(drains.set_orders({}, released).released == domains);
            CHECK_FALSE(drains.is_drained(south));
            std::ptrdiff_t before = count_usable(drains, south, released);
            CHECK(before <= 1);
            int steps = 0;
            for (duration after{0}; after <= domain_return_time; after += 25ms) {
                if (!drains.tick(released + after))
                    continue;
                ++steps;
                const std::ptrdiff_t usable = count_usable(drains, south, released + after);
                CHECK(usable >= before);
                CHECK(usable - before <= 5);
                before = usable;
            }
            CHECK(steps == domain_return_time / domain_return_step);
            CHECK(before == 20);
            CHECK(marked(drains, released + domain_return_time) == make_upstreams());
            CHECK_FALSE(drains.tick(released + domain_return_time + 1s));
        }
        SUBCASE("two nodes have the same upstreams come back first")
        {
            domain_drain other;
            order(other, domains, start + 1s);
            order(drains, {}, start + 5s);
            order(other, {}, start + 5s);
            CHECK(marked(drains, start + 6s) == marked(other, start + 6s));
        }
        SUBCASE("an order that comes while they return holds at once")
        {
            order(drains, {}, start + 5s);
            order(drains, domains, start + 6s);
            CHECK(count_usable(drains, south, start + 6s) == 0);
            CHECK(count_usable(drains, south, start + 10s) == 0);
        }
    }
}

namespace {

/// A scheduler of all upstreams, and what it has granted.
struct placed_fixture {
    domain_drain drains;
    placement_scheduler scheduler;
    placement_scheduler::responses out;
    std::uint64_t last_request = 0;

    placed_fixture()
    {
        // The first request of each cell begins the time in which a new owner grants nothing.
        this->apply(start);
        this->place(start);
        this->settle(start + 1s);
        this->out.clear();
    }
    void apply(time_point now)
    {
        this->scheduler.set_upstreams(marked(this->drains, now), nullptr);
    }
    [[nodiscard]] cell_index cell_count() const { return count_cells(make_upstreams()).at(target); }
    /// Asks for more places than there are, in every cell.
    void place(time_point now)
    {
        for (cell_index cell = 0; cell < this->cell_count(); ++cell) {
            for (int count = 0; count < 100; ++count) {
                placement_request request;
                request.id = {{"n"}, {1}, ++this->last_request};
                request.pool = target;
                request.cell = cell;
                request.max_wait = 500ms;
                request.latency_budget = 500ms;
                this->scheduler.submit(request, now, this->out);
            }
        }
        this->settle(now + 100ms);
    }
    void settle(time_point now) { this->scheduler.tick(now, this->out); }
    [[nodiscard]] std::ptrdiff_t grants_in(const failure_domain_name& domain) const
    {
        return std::count_if(this->out.begin(), this->out.end(), [&](const auto& each) {
            const auto* grant = std::get_if<placement_grant>(&each);
            return grant != nullptr && grant->upstream.value.starts_with(domain.value);
        });
    }
    /// Ends everything that is in flight.
    void end_all(time_point now)
    {
        this->scheduler.on_entry_ended({1}, now, this->out);
        this->out.clear();
    }
};

} // namespace

// Guards against a scheduler that places on a drained domain, ends what runs there, or has requests
// wait for it.
TEST_CASE("a drained domain gets no grant and keeps what runs there")
{
    placed_fixture fixture;
    fixture.end_all(start + 10s);
    fixture.place(start + 10s);
    const std::ptrdiff_t places = fixture.grants_in(north);
    REQUIRE(places >= 40);
    REQUIRE(fixture.grants_in(south) == places);
    const time_point drained = start + 11s;
    order(fixture.drains, {south}, drained);
    fixture.apply(drained);
    SUBCASE("requests in flight there go on")
    {
        CHECK(fixture.scheduler.in_flight() == static_cast<std::size_t>(2 * places));
    }
    SUBCASE("later requests go to the other domain alone")
    {
        fixture.end_all(drained);
        fixture.place(drained + 1s);
        CHECK(fixture.grants_in(south) == 0);
        CHECK(fixture.grants_in(north) == places);
        SUBCASE("until the order is gone and the upstreams have come back")
        {
            order(fixture.drains, {}, drained + 5s);
            fixture.apply(drained + 5s + domain_return_time);
            fixture.end_all(drained + 8s);
            fixture.place(drained + 8s);
            CHECK(fixture.grants_in(south) == places);
        }
    }
    SUBCASE("with all domains drained, a request is denied at once")
    {
        fixture.end_all(drained);
        order(fixture.drains, {north, south}, drained + 1s);
        fixture.apply(drained + 1s);
        fixture.place(drained + 1s);
        CHECK(fixture.grants_in(north) + fixture.grants_in(south) == 0);
        REQUIRE_FALSE(fixture.out.empty());
        for (const placement_response& each : fixture.out) {
            const auto* denial = std::get_if<placement_denial>(&each);
            REQUIRE(denial != nullptr);
            CHECK(denial->reason == denial_reason::no_upstream);
        }
        CHECK(fixture.scheduler.waiting() == 0);
    }
}

} // namespace ragwortcove::core
