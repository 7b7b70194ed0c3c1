#include "commands.hpp"
#include "ragwortcove/cli/caller.hpp"
#include "ragwortcove/cli/common_options.hpp"
#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/http/percent_encoding.hpp"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

namespace ragwortcove::tool {

using cli::exit_code;

namespace {

/// Arguments of `call` beyond the shared ones.
struct call_options {
    explicit call_options(TCLAP::CmdLine& line)
        : route("route", "route to call", true, "", "ROUTE", line),
          prompt("", "prompt", "prompt of a chat answer; - reads it from standard input", false, "",
                 "text", line),
          max_tokens("", "max-tokens", "most tokens of a chat answer", false, 256, "count", line),
          service("", "service", "path at a plain service, such as /lookup/42", false, "", "path",
                  line),
          method("m", "method", "method for a plain service", false, "POST", "GET|POST", line),
          body("b", "body", "body for a plain service; @FILE reads it from a file", false, "",
               "text", line),
          team("", "team", "team that pays", false, "", "name", line),
          key("k", "key", "your own name for this request; a random one if unset", false, "",
              "text", line),
          no_key("", "no-key", "send no idempotency key", line),
          timeout("", "timeout", "time until the last byte", false, "60s", "duration", line)
    {
    }

    TCLAP::UnlabeledValueArg<std::string> route;
    TCLAP::ValueArg<std::string> prompt;
    TCLAP::ValueArg<std::uint32_t> max_tokens;
    TCLAP::ValueArg<std::string> service;
    TCLAP::ValueArg<std::string> method;
    TCLAP::ValueArg<std::string> body;
    TCLAP::ValueArg<std::string> team;
    TCLAP::ValueArg<std::string> key;
    TCLAP::SwitchArg no_key;
    TCLAP::ValueArg<std::string> timeout;
};

} // namespace

static std::uint64_t random_number()
{
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

static std::string read_all(std::istream& from)
{
    return {std::istreambuf_iterator<char>(from), {}};
}

static std::string read_body(const std::string& text)
{
    if (!text.starts_with('@'))
        return text;
    std::ifstream file(text.substr(1), std::ios::binary);
    if (!file.is_open())
        throw cli::invalid_arguments(text.substr(1) + ": expected a file that can be read");
    return read_all(file);
}

static std::string chat_body(const call_options& options)
{
    const auto prompt =
        options.prompt.getValue() == "-" ? read_all(std::cin) : options.prompt.getValue();
    const boost::json::object message{{"role", "user"}, {"content", prompt}};
    return boost::json::serialize(boost::json::object{{"model", options.route.getValue()},
                                                      {"messages", boost::json::array{message}},
                                                      {"max_tokens", options.max_tokens.getValue()},
                                                      {"stream", true}});
}

/// Splits a service's target into path and query.
static void set_target(cli::caller_request& request, const std::string& target)
{
    const auto question = target.find('?');
    request.path = "/v1/services/" + http::percent_encoded(request.route) +
                   (target.starts_with('/') ? "" : "/") + target.substr(0, question);
    if (question != std::string::npos)
        request.query = target.substr(question + 1);
}

static cli::caller_request make_request(const call_options& options)
{
    cli::caller_request request;
    request.route = options.route.getValue();
    request.team = options.team.getValue();
    const auto timeout = core::parse_duration(options.timeout.getValue());
    if (!timeout || *timeout < std::chrono::milliseconds{1})
        throw cli::invalid_arguments("--timeout: expected a duration such as 30s");
    request.timeout = std::chrono::ceil<std::chrono::milliseconds>(*timeout);
    if (!options.no_key.getValue())
        request.key_suffix =
            options.key.isSet() ? options.key.getValue() : std::to_string(random_number());
    if (options.service.isSet()) {
        request.method = options.method.getValue();
        request.body = read_body(options.body.getValue());
        set_target(request, options.service.getValue());
        return request;
    }
    request.path = "/v1/chat/completions";
    request.body = chat_body(options);
    return request;
}

static void print_json(const cli::caller_outcome& outcome)
{
    std::cout << boost::json::object{{"verdict", to_string(outcome.verdict)},
                                     {"status", outcome.status},
                                     {"reason", outcome.reason},
                                     {"request_id", outcome.request_id},
                                     {"tries", outcome.tries},
                                     {"body", outcome.body}}
              << '\n';
}

static exit_code code_of(const cli::caller_outcome& outcome)
{
    switch (outcome.verdict) {
    case core::verdict::answered:
        return exit_code::ok;
    case core::verdict::may_have_run:
        return exit_code::may_have_run;
    case core::verdict::not_run:
        return outcome.reached ? exit_code::not_run : exit_code::unreachable;
    }
    return exit_code::failed;
}

exit_code run_call(const words& arguments)
{
    cli::command_line line(
        "call",
        "Sends one request as a well-behaved caller: asks the daemons which address to use, "
        "repeats only what did not run, and prints the answer as it comes. Ends with 0 for a whole "
        "answer, 4 when no daemon answered, 5 when the request did not run and 6 when it may have.",
        "ragwortcove call chat --prompt \"Where is the lounge?\" --team desk -d 127.0.0.1:8080");
    const call_options options(line.arguments());
    const cli::daemon_option daemons(line);
    line.parse(arguments);
    const auto request = make_request(options);
    const bool as_json = line.output() == cli::output_format::json;

    cli::caller caller(daemons.addresses(), random_number(), daemons.connection());
    cli::text_handler on_text;
    if (!as_json)
        on_text = [](std::string_view text) { std::cout << text << std::flush; };
    const auto outcome = caller.call(request, on_text);
    if (as_json) {
        print_json(outcome);
        return code_of(outcome);
    }
    const bool answered = outcome.verdict == core::verdict::answered;
    if (answered)
        std::cout << (options.service.isSet() ? outcome.body : "") << '\n';
    else
        std::cerr << "\nragwortcove: " << to_string(outcome.verdict) << ": " << outcome.reason
                  << " (request " << outcome.request_id << ", " << outcome.tries << " tries)\n";
    return code_of(outcome);
}

} // namespace ragwortcove::tool
