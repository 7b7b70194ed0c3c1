#include "ragwortcove/settings/located_error.hpp"

namespace ragwortcove::settings {

std::string format_error(const located_error& error)
{
    std::string text = error.file;
    if (error.line != 0)
        text += ":" + std::to_string(error.line);
    text += ": ";
    if (!error.key.empty())
        text += error.key;
    if (!error.found.empty())
        text += (error.key.empty() ? "\"" : " = \"") + error.found + "\"";
    if (!error.key.empty() || !error.found.empty())
        text += ": ";
    return text + "expected " + error.expected;
}

} // namespace ragwortcove::settings
