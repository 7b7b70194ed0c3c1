#include "ragwortcove/core/dispatch_ledger.hpp"

#include <cassert>

namespace ragwortcove::core {

bool dispatch_ledger::may_dispatch(const request_id& request) const
{
    const auto found = this->entries.find(request);
    return found == this->entries.end() || !found->second.open ||
           found->second.open->proven_not_run;
}

void dispatch_ledger::record(const request_id& request, attempt_id attempt,
                             const upstream_name& upstream)
{
    assert(this->may_dispatch(request) && "a request has at most one current dispatch");
    this->entries[request].open = ledger_entry{attempt, upstream, false};
}

void dispatch_ledger::prove_not_run(const request_id& request)
{
    const auto found = this->entries.find(request);
    assert(found != this->entries.end() && found->second.open &&
           "only a recorded dispatch can be proven not run");
    found->second.open->proven_not_run = true;
}

void dispatch_ledger::allow_repeat(const request_id& request)
{
    const auto found = this->entries.find(request);
    assert(found != this->entries.end() && found->second.open &&
           "only a recorded dispatch can be repeated");
    found->second.open.reset();
    found->second.ran_before = true;
}

verdict dispatch_ledger::verdict_of(const request_id& request) const
{
    const auto found = this->entries.find(request);
    if (found == this->entries.end())
        return verdict::not_run;
    if (found->second.ran_before)
        return verdict::may_have_run;
    const std::optional<ledger_entry>& open = found->second.open;
    return open && !open->proven_not_run ? verdict::may_have_run : verdict::not_run;
}

void dispatch_ledger::forget(const request_id& request)
{
    this->entries.erase(request);
}

} // namespace ragwortcove::core
