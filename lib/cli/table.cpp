#include "ragwortcove/cli/table.hpp"

#include <algorithm>

namespace ragwortcove::cli {

static constexpr std::size_t gap_between_columns = 2;

static std::vector<std::size_t> column_widths(const table& what)
{
    std::vector<std::size_t> widths;
    for (const auto& heading : what.headings)
        widths.push_back(heading.size());
    for (const auto& row : what.rows) {
        for (std::size_t i = 0; i != std::min(row.size(), widths.size()); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    return widths;
}

static void print_row(std::ostream& to, const std::vector<std::string>& row,
                      const std::vector<std::size_t>& widths)
{
    std::string line;
    for (std::size_t i = 0; i != std::min(row.size(), widths.size()); ++i) {
        line += row[i];
        line.append(widths[i] - row[i].size() + gap_between_columns, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    to << line << '\n';
}

void print(std::ostream& to, const table& what)
{
    const auto widths = column_widths(what);
    print_row(to, what.headings, widths);
    for (const auto& row : what.rows)
        print_row(to, row, widths);
}

} // namespace ragwortcove::cli
