/// \file
/// Records which requests this entry has dispatched and whether they may have run.
#pragma once

#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/verdict.hpp"

#include <map>
#include <optional>

namespace ragwortcove::core {

/// Dispatch of one request; recorded before the first byte is sent.
struct ledger_entry {
    attempt_id attempt;
    upstream_name upstream;
    /// Set once it is proven that the upstream did not run the request.
    bool proven_not_run = false;
};

/// Ledger of dispatches within one incarnation. A request has at most one current dispatch that is
/// not proven to have had no effect.
class dispatch_ledger {
public:
    /// Whether a dispatch would be the request's only one that may have run.
    [[nodiscard]] bool may_dispatch(const request_id& request) const;
    /// Records a dispatch; `may_dispatch` must be true.
    void record(const request_id& request, attempt_id attempt, const upstream_name& upstream);
    /// Records that the upstream or the transport has proven that the dispatch had no effect.
    void prove_not_run(const request_id& request);
    /// Closes a dispatch that may have run and has ended, and whose route allows a repeat.
    void allow_repeat(const request_id& request);
    /// Verdict for a caller that did not get a complete response.
    [[nodiscard]] verdict verdict_of(const request_id& request) const;
    void forget(const request_id& request);
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    struct record_state {
        std::optional<ledger_entry> open;
        /// Whether an earlier dispatch may have run.
        bool ran_before = false;
    };
    std::map<request_id, record_state> entries;
};

} // namespace ragwortcove::core
