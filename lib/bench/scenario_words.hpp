/// \file
/// Words of one statement, taken one after another.
#pragma once

#include "ragwortcove/bench/scenario.hpp"
#include "ragwortcove/core/types.hpp"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::bench {

/// Reads a statement word by word. The first mistake is kept and the rest reads as empty, so that
/// a statement is read in one pass and judged at its end.
class word_reader {
public:
    explicit word_reader(std::string_view statement);

    [[nodiscard]] bool empty() const { return this->words.empty(); }
    [[nodiscard]] bool at_end() const { return this->next == this->words.size(); }
    /// Takes the next word if it is this one.
    [[nodiscard]] bool accept(std::string_view word);
    void require(std::string_view word);
    [[nodiscard]] std::string word(std::string_view expected);
    /// One of the names; `expected` says of what.
    [[nodiscard]] std::string one_of(const std::set<std::string>& names, std::string_view expected);
    [[nodiscard]] core::duration time();
    /// `within TIME`, or zero when it is not there.
    [[nodiscard]] core::duration within();
    [[nodiscard]] double number(std::string_view expected, double least, double most);
    /// A share: `0.5` or `50%`.
    [[nodiscard]] double share();
    [[nodiscard]] std::uint64_t whole_number(std::string_view expected);
    void fail(std::string_view expected);
    /// A word too many is a mistake as well.
    void require_end();
    /// What was expected and what was found, of the first mistake.
    struct mistake {
        std::string expected;
        std::string found;
    };
    [[nodiscard]] const std::optional<mistake>& fault() const { return this->first_fault; }

private:
    std::vector<std::string> words;
    std::size_t next = 0;
    std::optional<mistake> first_fault;
};

} // namespace ragwortcove::bench
