#include "ragwortcove/cli/common_options.hpp"

#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/settings/ini_document.hpp"

#include <sstream>

namespace ragwortcove::cli {

static constexpr const char* version = "0.1.0";
static constexpr std::string_view settings_section = "cli";
static constexpr std::uint32_t connections = 4;

core::endpoint parse_address(std::string_view text)
{
    const auto address = core::parse_endpoint(text);
    if (!address)
        throw invalid_arguments(std::string(text) +
                                ": expected an IP address and port such as 10.0.0.7:8000");
    return *address;
}

/// Value of a key of `[cli]` in a settings file; empty when the file does not hold it.
static std::string read_setting(const std::string& file, std::string_view key)
{
    const auto document = settings::load_ini(file);
    if (!document.errors.empty())
        throw invalid_arguments(settings::format_error(document.errors.front()));
    const auto* section = settings::find_section(document, settings_section);
    const auto* entry = section == nullptr ? nullptr : settings::find_entry(*section, key);
    return entry == nullptr ? std::string() : entry->value;
}

command_line::command_line(const std::string& name, const std::string& description,
                           const std::string& example)
    : program("ragwortcove " + name), line(description + "\n\nExample: " + example, ' ', version),
      known_formats(this->formats),
      format("o", "output", "form of the output", false, "table", &this->known_formats, this->line)
{
    this->line.setExceptionHandling(false);
}

void command_line::parse(std::vector<std::string> words)
{
    words.insert(words.begin(), this->program);
    this->line.parse(words);
}

output_format command_line::output() const
{
    return this->format.getValue() == "json" ? output_format::json : output_format::table;
}

platform_option::platform_option(command_line& line)
    : platform("p", "platform", "address and port of the object API", false, "", "ip:port",
               line.arguments()),
      settings("s", "settings", "INI file with [cli] platform = ip:port", false, "", "file",
               line.arguments())
{
}

core::endpoint platform_option::address() const
{
    if (this->platform.isSet())
        return parse_address(this->platform.getValue());
    if (!this->settings.isSet())
        throw invalid_arguments("--platform or --settings: expected one of them");
    const auto text = read_setting(this->settings.getValue(), "platform");
    if (text.empty())
        throw invalid_arguments(this->settings.getValue() + ": [cli] platform: expected ip:port");
    return parse_address(text);
}

daemon_option::daemon_option(command_line& line)
    : daemons("d", "daemon", "address and port of a daemon; may be repeated", false, "ip:port",
              line.arguments()),
      token_text("", "token", "bearer token of operators", false, "", "token", line.arguments()),
      authority("", "authority", "PEM file of the authority of daemons' certificates; turns on TLS",
                false, "", "file", line.arguments()),
      certificate("", "certificate", "PEM file of an operator's certificate", false, "", "file",
                  line.arguments()),
      private_key("", "private-key", "PEM file of its private key", false, "", "file",
                  line.arguments()),
      settings("s", "settings",
               "INI file; [cli] daemons, token, authority, certificate, private_key", false, "",
               "file", line.arguments())
{
}

std::vector<core::endpoint> daemon_option::addresses() const
{
    std::vector<core::endpoint> addresses;
    for (const auto& text : this->daemons.getValue())
        addresses.push_back(parse_address(text));
    if (!addresses.empty())
        return addresses;
    if (!this->settings.isSet())
        throw invalid_arguments("--daemon or --settings: expected one of them");
    std::istringstream listed(read_setting(this->settings.getValue(), "daemons"));
    for (std::string text; std::getline(listed >> std::ws, text, ',');)
        addresses.push_back(parse_address(text));
    if (addresses.empty())
        throw invalid_arguments(this->settings.getValue() + ": [cli] daemons: expected ip:port");
    return addresses;
}

std::string daemon_option::value_of(const TCLAP::ValueArg<std::string>& argument,
                                    std::string_view key) const
{
    if (argument.isSet() || !this->settings.isSet())
        return argument.getValue();
    return read_setting(this->settings.getValue(), key);
}

std::string daemon_option::token() const
{
    return this->value_of(this->token_text, "token");
}

http::client_settings daemon_option::connection() const
{
    http::client_settings made;
    made.pool_size = connections;
    made.authority_file = this->value_of(this->authority, "authority");
    made.certificate_file = this->value_of(this->certificate, "certificate");
    made.private_key_file = this->value_of(this->private_key, "private_key");
    made.tls = !made.authority_file.empty();
    if (!made.tls && !made.certificate_file.empty())
        throw invalid_arguments("--certificate: expected --authority as well");
    return made;
}

} // namespace ragwortcove::cli
