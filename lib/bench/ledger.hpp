/// \file
/// Truth about dispatches and answers, kept outside the core, and the promises checked against it.
#pragma once

#include "call_log.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace ragwortcove::bench {

/// Notes what truly happens and which promises it breaks.
class ledger {
public:
    void break_promise(promise broken, core::time_point at, std::string detail);

    /// An upstream takes a call from its start. `live_elsewhere` is an upstream on which an earlier
    /// start of the same try still waits or runs.
    void started(call_record& call, const call_start& start, bool live_elsewhere,
                 core::time_point now);
    /// A node sends a call to an upstream. What is accepted elsewhere could not reach the node
    /// before `reachable_since`.
    void admitted(const call_record& call, const core::upstream_name& upstream,
                  core::time_point reachable_since, core::time_point now);
    /// A node refuses a try that reached it at `arrived`.
    void refused(call_record& call, const try_id& tried, const core::refusal& answer,
                 core::time_point arrived, core::time_point now);
    void marked_leaving(const core::upstream_name& upstream, core::time_point now);
    void saw_revision(const core::node_name& node, core::incarnation run, core::revision at,
                      core::time_point now);
    /// A key's runs over all services.
    void check_runs(const std::map<std::string, std::uint32_t>& runs_by_key, core::time_point now);

    [[nodiscard]] const std::vector<violation>& violations() const { return this->found; }

private:
    struct admission {
        core::time_point at;
        core::target_name target;
        std::uint32_t rank = 0;
        call_number call = 0;
    };

    void check_tier_order(const call_record& call, core::time_point arrived, core::time_point now);

    std::vector<violation> found;
    std::deque<admission> admissions;
    std::map<core::upstream_name, core::time_point> leaving_since;
    std::map<core::incarnation, core::revision> revisions;
    std::map<std::string, std::uint32_t> reported_runs;
};

} // namespace ragwortcove::bench
