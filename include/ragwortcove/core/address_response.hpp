/// \file
/// Chooses the entries whose addresses a caller is given.
#pragma once

#include "ragwortcove/core/cell_map.hpp"
#include "ragwortcove/core/cell_owners.hpp"
#include "ragwortcove/core/configuration.hpp"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/effect.hpp"
#include "ragwortcove/core/membership.hpp"
#include "ragwortcove/core/node.hpp"

namespace ragwortcove::core {

/// Live entries for a caller: spread over failure domains, owners of the route's cells preferred,
/// each with a ticket that idempotency keys can be built on.
[[nodiscard]] address_response choose_addresses(const addresses_requested& request,
                                                const node_settings& self,
                                                const configuration& config, const cell_map& cells,
                                                const cell_owners& owners,
                                                const membership& members, step_context& context);

} // namespace ragwortcove::core
