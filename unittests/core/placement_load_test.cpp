// Answers the question whether requests are late or denied in one cell while another has places in
// time. Compared by the number of its queued requests, a full cell that has lost half of its
// engines looks like any other.

#include "fleet_load.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::core::test {

/// The cell with fewer or slower engines.
static constexpr cell_index weak_cell = 2;
/// By how much the cell that a request is sent to may change its chance to be in time.
static constexpr double max_difference = 0.1;

static load_options make_options(double usual_load, bool cell_waits)
{
    load_options options;
    options.usual_load = usual_load;
    options.cell_waits = cell_waits;
    return options;
}

static void lose_half(fleet_load& fleet)
{
    std::vector<upstream_name> lost = fleet.upstreams_of(weak_cell);
    lost.resize(lost.size() / 2);
    fleet.remove_upstreams(lost);
}

static int count_on_time(const fleet_load& fleet)
{
    int total = 0;
    for (const load_result& each : fleet.by_team)
        total += each.on_time;
    return total;
}

static double mean_of_other_cells(const fleet_load& fleet)
{
    double total = 0.0;
    for (cell_index cell = 0; cell != fleet.by_cell.size(); ++cell)
        total += cell == weak_cell ? 0.0 : fleet.by_cell[cell].on_time_share();
    return total / static_cast<double>(fleet.by_cell.size() - 1);
}

TEST_CASE("a cell that has lost half of its engines gets no more requests than it can serve")
{
    fleet_load fleet(make_options(1.2, true));
    lose_half(fleet);
    fleet.run();
    CHECK(fleet.by_cell[weak_cell].on_time_share() >= mean_of_other_cells(fleet) - max_difference);
    fleet_load compared_by_count(make_options(1.2, false));
    lose_half(compared_by_count);
    compared_by_count.run();
    CHECK(count_on_time(fleet) > count_on_time(compared_by_count));
}

TEST_CASE("a cell whose engines are slow costs fewer requests their time")
{
    const auto run = [](bool cell_waits) {
        fleet_load fleet(make_options(1.2, cell_waits));
        for (const upstream_name& each : fleet.upstreams_of(weak_cell))
            fleet.slow_down(each, 3.0);
        fleet.run();
        return count_on_time(fleet);
    };
    CHECK(run(true) > run(false));
}

TEST_CASE("while a cell has no owner, the other cells serve what comes to them in time")
{
    load_options options = make_options(0.8, true);
    options.owner_dies = 7s;
    options.owner_returns = 8s;
    fleet_load fleet(options);
    fleet.run();
    for (cell_index cell = 1; cell != fleet.by_cell.size(); ++cell)
        CHECK(fleet.by_cell[cell].on_time_share() > 0.99);
}

} // namespace ragwortcove::core::test
