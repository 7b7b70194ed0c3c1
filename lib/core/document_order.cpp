#include "ragwortcove/core/document_order.hpp"

namespace ragwortcove::core {

// Within an era the store's order holds. A later era begins with a copy in which changes are
// missing that are known here, so the writer's own count goes first.
bool is_newer(const document_order& candidate, const document_order& known)
{
    if (candidate.position.era == known.position.era)
        return candidate.position > known.position;
    if (candidate.sequence != known.sequence)
        return candidate.sequence > known.sequence;
    return candidate.position > known.position;
}

} // namespace ragwortcove::core
