/// \file
/// Decides which of two versions of a document is the newer one, also when the store has come back
/// from an older copy and has lost changes that it had acknowledged.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <compare>
#include <cstdint>

namespace ragwortcove::core {

/// A document's place among those of its writer, as its content states. Equal for all documents of
/// a writer that does not count them.
struct writer_sequence {
    /// Start of the writer's process.
    std::int64_t run = 0;
    /// Count within the process.
    std::uint64_t number = 0;
    /// Whether the document is the writer's last one, apart from repetitions.
    bool is_last = false;
    auto operator<=>(const writer_sequence&) const = default;
};

/// Where a document stands in the store's history, and in its writer's.
struct document_order {
    store_position position;
    writer_sequence sequence;
};

/// Whether `candidate` is newer than `known`.
[[nodiscard]] bool is_newer(const document_order& candidate, const document_order& known);

} // namespace ragwortcove::core
