/// \file
/// Operators' files: sections `[kind name]` that declare configuration objects.
#pragma once

#include "ragwortcove/core/object.hpp"
#include "ragwortcove/settings/ini_document.hpp"

#include <span>
#include <vector>

namespace ragwortcove::settings {

/// An object with the place of its declaration.
struct declared_object {
    core::object value;
    std::string file;
    ini_section section;
};

/// What a file declares, and every mistake in it, in the file's order.
struct object_file {
    std::vector<declared_object> objects;
    std::vector<located_error> errors;
};

/// Reads each section by itself; a section with a mistake declares nothing.
[[nodiscard]] object_file read_objects(const ini_document& document);

/// Checks the objects against each other and against those in force: names that nothing declares,
/// a version that no upstream serves, moves that cannot be carried out, a header that stands twice.
/// `now` is the time against which a move's `finish_by` is judged.
[[nodiscard]] std::vector<located_error> check_references(std::span<const declared_object> declared,
                                                          std::span<const core::object> in_force,
                                                          core::unix_millis now);

} // namespace ragwortcove::settings
