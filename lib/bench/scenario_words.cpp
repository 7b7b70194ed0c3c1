#include "scenario_words.hpp"

#include "ragwortcove/core/object_fields.hpp"

#include <boost/tokenizer.hpp>

#include <charconv>

namespace ragwortcove::bench {

static constexpr double no_limit = 1e12;

word_reader::word_reader(std::string_view statement)
{
    const std::string text(statement.substr(0, statement.find('#')));
    const boost::char_separator<char> blanks(" \t\r");
    for (const std::string& word : boost::tokenizer<boost::char_separator<char>>(text, blanks))
        this->words.push_back(word);
}

void word_reader::fail(std::string_view expected)
{
    if (this->first_fault)
        return;
    this->first_fault = mistake{std::string(expected),
                                this->at_end() ? "the end of the line" : this->words[this->next]};
}

bool word_reader::accept(std::string_view word)
{
    if (this->first_fault || this->at_end() || this->words[this->next] != word)
        return false;
    ++this->next;
    return true;
}

void word_reader::require(std::string_view word)
{
    if (!this->accept(word))
        this->fail("'" + std::string(word) + "'");
}

std::string word_reader::word(std::string_view expected)
{
    if (this->first_fault || this->at_end()) {
        this->fail(expected);
        return {};
    }
    return this->words[this->next++];
}

std::string word_reader::one_of(const std::set<std::string>& names, std::string_view expected)
{
    std::string text(expected);
    for (const std::string& name : names)
        text += (name == *names.begin() ? ": " : ", ") + name;
    if (this->first_fault || this->at_end() || !names.contains(this->words[this->next])) {
        this->fail(text);
        return {};
    }
    return this->words[this->next++];
}

core::duration word_reader::time()
{
    const auto value =
        this->at_end() ? std::nullopt : core::parse_duration(this->words[this->next]);
    if (!value || *value > std::chrono::hours{24}) {
        this->fail("a time of at most 24h, such as 250ms or 3s");
        return core::duration{0};
    }
    ++this->next;
    return *value;
}

core::duration word_reader::within()
{
    return this->accept("within") ? this->time() : core::duration{0};
}

double word_reader::number(std::string_view expected, double least, double most)
{
    double value = 0.0;
    const std::string text = this->at_end() ? std::string{} : this->words[this->next];
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = code == std::errc() && end == text.data() + text.size();
    if (!whole || !(value >= least) || !(value <= most)) {
        this->fail(expected);
        return least;
    }
    ++this->next;
    return value;
}

double word_reader::share()
{
    static constexpr std::string_view expected = "a share, such as 0.95";
    return this->number(expected, 0.0, 1.0);
}

std::uint64_t word_reader::whole_number(std::string_view expected)
{
    const double value = this->number(expected, 0.0, no_limit);
    return static_cast<std::uint64_t>(value);
}

void word_reader::require_end()
{
    if (!this->at_end())
        this->fail("the end of the line");
}

} // namespace ragwortcove::bench
