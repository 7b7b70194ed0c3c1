/// \file
/// Options that several subcommands share.
#pragma once

#include "ragwortcove/core/types.hpp"
#include "ragwortcove/http/client.hpp"

#include <tclap/CmdLine.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::cli {

/// Arguments that cannot be used; the message goes to the user.
class invalid_arguments : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

enum class output_format { table, json };

/// Command line of one subcommand, with `--output` and `--help`.
class command_line {
public:
    command_line(const std::string& name, const std::string& description,
                 const std::string& example);
    command_line(const command_line&) = delete;
    command_line& operator=(const command_line&) = delete;

    [[nodiscard]] TCLAP::CmdLine& arguments() { return this->line; }
    void parse(std::vector<std::string> words);
    [[nodiscard]] output_format output() const;

private:
    std::string program;
    TCLAP::CmdLine line;
    std::vector<std::string> formats{"table", "json"};
    TCLAP::ValuesConstraint<std::string> known_formats;
    TCLAP::ValueArg<std::string> format;
};

/// `--platform` and `--settings`: where the object API is.
class platform_option {
public:
    explicit platform_option(command_line& line);
    /// The address given, or `[cli] platform` of the settings file.
    [[nodiscard]] core::endpoint address() const;

private:
    TCLAP::ValueArg<std::string> platform;
    TCLAP::ValueArg<std::string> settings;
};

/// `--daemon`, repeatable, and `--settings`: daemons to ask first.
class daemon_option {
public:
    explicit daemon_option(command_line& line);
    [[nodiscard]] std::vector<core::endpoint> addresses() const;
    /// Bearer token of operators; empty when none is set.
    [[nodiscard]] std::string token() const;
    /// How to connect: by TLS when an authority is named, with a certificate when one is.
    [[nodiscard]] http::client_settings connection() const;

private:
    /// An argument's value, or else the key's in the settings file.
    [[nodiscard]] std::string value_of(const TCLAP::ValueArg<std::string>& argument,
                                       std::string_view key) const;

    TCLAP::MultiArg<std::string> daemons;
    TCLAP::ValueArg<std::string> token_text;
    TCLAP::ValueArg<std::string> authority;
    TCLAP::ValueArg<std::string> certificate;
    TCLAP::ValueArg<std::string> private_key;
    TCLAP::ValueArg<std::string> settings;
};

/// Reads `ADDRESS:PORT`; throws `invalid_arguments`.
[[nodiscard]] core::endpoint parse_address(std::string_view text);

} // namespace ragwortcove::cli
