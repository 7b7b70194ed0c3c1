/// \file
/// The documents of one kind that are in force at this node, and what lists and changes do to them.
/// Has no input or output.
#pragma once

#include "platform/store_document.hpp"
#include "ragwortcove/core/types.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::gateway {

[[nodiscard]] std::string_view to_text(adapter::document_kind kind);

/// A change of the documents of one kind.
struct document_update {
    adapter::document_kind kind = adapter::document_kind::rules;
    /// Whether `documents` holds all documents of the kind.
    bool is_full_list = false;
    std::vector<adapter::store_document> documents;
    std::vector<std::string> removed;
    core::store_position position;
};

/// What a list changed.
struct list_result {
    /// Unset when the documents in force stay the same.
    std::optional<document_update> update;
    /// Changes that lead from the documents before to the ones now, for a node that has the former.
    adapter::document_changes changes;
    /// Whether the list is of a later era than all before: the store has come back from a copy.
    bool begins_era = false;
    /// Names of documents that are kept although the store has none, or an older version.
    std::vector<std::string> kept;
};

/// A document older than the one in force is ignored. When the store has come back from a copy, in
/// which some changes are missing, what is known here stays in force until it is written again.
class document_set {
public:
    explicit document_set(adapter::document_kind of) : kind(of) {}

    /// Applies a list of the store's, or of another node's.
    [[nodiscard]] list_result apply_list(const adapter::document_list& all, core::time_point now);
    /// Applies changes of the era in force. Unset when none of them is newer.
    [[nodiscard]] std::optional<document_update>
    apply_changes(const adapter::document_changes& changes, core::time_point now);
    /// Records that no change up to `position` is missing here.
    void advance(core::store_position position);

    [[nodiscard]] bool is_loaded() const { return this->loaded; }
    /// Position of the newest change in force.
    [[nodiscard]] core::store_position position() const { return this->newest; }
    [[nodiscard]] adapter::document_list all() const;
    /// When the documents are to be listed again, since what the store has lost has been written
    /// again by then, or never will be; unset when nothing is kept for that.
    [[nodiscard]] std::optional<core::time_point> settles_at() const;

private:
    using documents_by_name = std::map<std::string, adapter::store_document>;
    struct removed_document {
        core::document_order order;
        core::time_point forget_at;
    };

    [[nodiscard]] bool is_settling(core::time_point now) const;
    /// Whether a document that the store has lost stays in force.
    [[nodiscard]] bool keeps_missing(const adapter::store_document& known, core::store_era list_era,
                                     core::time_point now) const;
    /// Whether a document is newer than what is known of its name, in force or removed.
    [[nodiscard]] bool is_newer_than_known(const adapter::store_document& candidate) const;
    /// Whether a listed document takes effect, beside what is known of that name.
    [[nodiscard]] bool accepts(const adapter::store_document& listed, core::time_point now) const;
    [[nodiscard]] documents_by_name merge(const adapter::document_list& all, core::time_point now,
                                          list_result& result) const;
    [[nodiscard]] list_result apply_older_list(const adapter::document_list& all,
                                               core::time_point now);
    void begin_era(core::time_point now);
    void remember_removals(const adapter::document_changes& changes, core::time_point now);
    /// Records the documents that are missing from the copy that begins an era, but whose writers
    /// have said that they are their last ones.
    void remember_last(const adapter::document_changes& changes, core::time_point now);

    adapter::document_kind kind;
    documents_by_name documents;
    /// Documents that were removed lately, which a copy of the store may still hold.
    std::map<std::string, removed_document> removed;
    core::store_position newest;
    core::time_point settled_at;
    bool must_settle = false;
    bool loaded = false;
};

} // namespace ragwortcove::gateway
