/// \file
/// Tables of text with aligned columns.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace ragwortcove::cli {

struct table {
    std::vector<std::string> headings;
    std::vector<std::vector<std::string>> rows;
};

void print(std::ostream& to, const table& what);

} // namespace ragwortcove::cli
