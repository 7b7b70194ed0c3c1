#include "engine_wire.hpp"

#include "json_body.hpp"
#include "ragwortcove/core/prompt.hpp"

#include <charconv>
#include <cstdio>

namespace ragwortcove::standin {

namespace json = boost::json;

static constexpr std::uint64_t default_output_tokens = 128;
static constexpr int hexadecimal = 16;

static std::string write_hash(core::prefix_hash hash)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(hash.value));
    return text.data();
}

static core::prefix_hash read_hash(std::string_view text)
{
    core::prefix_hash hash;
    std::from_chars(text.data(), text.data() + text.size(), hash.value, hexadecimal);
    return hash;
}

static json::array write_hashes(std::span<const core::prefix_hash> hashes)
{
    json::array written;
    for (const core::prefix_hash& hash : hashes) {
        written.emplace_back(write_hash(hash));
    }
    return written;
}

/// Text of a message's content: a string, or parts of which the texts count.
static std::string read_content(const json::object& message)
{
    const json::value* content = message.if_contains("content");
    if (content == nullptr || !content->is_array()) {
        return get_text(message, "content");
    }
    std::string text;
    for (const json::value& part : content->as_array()) {
        if (part.is_object()) {
            text += get_text(part.as_object(), "text");
        }
    }
    return text;
}

std::optional<engine_request> read_chat_request(const json::object& body)
{
    const json::value* messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array()) {
        return std::nullopt;
    }
    std::string prompt;
    for (const json::value& message : messages->as_array()) {
        if (!message.is_object()) {
            return std::nullopt;
        }
        const json::object& fields = message.as_object();
        core::append_message(prompt, get_text(fields, "role"), read_content(fields));
    }
    engine_request request;
    request.prompt_tokens = core::estimate_tokens(prompt);
    request.prefix = core::prefix_hashes(prompt);
    const std::uint64_t most = get_count(body, "max_tokens", default_output_tokens);
    request.output_tokens = static_cast<std::uint32_t>(std::max<std::uint64_t>(most, 1));
    return request;
}

json::object write_snapshot(const kv_snapshot& snapshot)
{
    return {{"route", snapshot.request.route.value},
            {"prompt_tokens", snapshot.request.prompt_tokens},
            {"prefix", write_hashes(snapshot.request.prefix)},
            {"output_tokens", snapshot.request.output_tokens},
            {"cached_tokens", snapshot.cached_tokens},
            {"prefilled_tokens", snapshot.prefilled_tokens},
            {"prefill_left", snapshot.prefill_left},
            {"produced", snapshot.produced}};
}

kv_snapshot read_snapshot(const json::object& body)
{
    const auto count = [&](std::string_view name) {
        return static_cast<std::uint32_t>(get_count(body, name, 0));
    };
    kv_snapshot snapshot;
    snapshot.request.route = {get_text(body, "route")};
    snapshot.request.prompt_tokens = count("prompt_tokens");
    snapshot.request.output_tokens = std::max<std::uint32_t>(count("output_tokens"), 1);
    snapshot.cached_tokens = count("cached_tokens");
    snapshot.prefilled_tokens = count("prefilled_tokens");
    snapshot.prefill_left = count("prefill_left");
    snapshot.produced = count("produced");
    const json::value* prefix = body.if_contains("prefix");
    if (prefix == nullptr || !prefix->is_array()) {
        return snapshot;
    }
    for (const json::value& hash : prefix->as_array()) {
        if (hash.is_string()) {
            const json::string& text = hash.as_string();
            snapshot.request.prefix.push_back(read_hash({text.data(), text.size()}));
        }
    }
    return snapshot;
}

json::object write_load(const engine_load& load, const engine_settings& engine,
                        const core::version_name& serving)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(load.age);
    return {{"running", load.running},
            {"waiting", load.waiting},
            {"age_ms", age.count()},
            {"slots", engine.slots},
            {"target", engine.target.value},
            {"version", serving.value},
            {"cache_tokens", engine.cache_tokens}};
}

json::object write_cache_events(std::span<const engine_cache_event> cache_events)
{
    json::array written;
    for (const engine_cache_event& event : cache_events) {
        written.push_back(json::object{{"sequence", event.sequence},
                                       {"added", write_hashes(event.added)},
                                       {"removed", write_hashes(event.removed)}});
    }
    return {{"events", std::move(written)}};
}

std::string_view to_string(engine_request_state state)
{
    switch (state) {
    case engine_request_state::unknown:
        return "unknown";
    case engine_request_state::waiting:
        return "waiting";
    case engine_request_state::running:
        return "running";
    case engine_request_state::finished:
        return "finished";
    }
    return "unknown";
}

engine_fault read_fault(const json::object& body, core::time_point now)
{
    engine_fault fault;
    fault.version = {get_text(body, "version")};
    fault.route = {get_text(body, "route")};
    fault.least_running = static_cast<std::uint32_t>(get_count(body, "least_running", 0));
    fault.from = now + get_millis(body, "after_ms", core::duration{0});
    const core::duration length = get_millis(body, "for_ms", core::duration{0});
    if (length > core::duration{0}) {
        fault.until = fault.from + length;
    }
    fault.slow_factor = get_number(body, "factor", 1.0);
    fault.failure_rate = get_number(body, "rate", 0.0);
    return fault;
}

void append_token_chunks(std::string& text, std::uint32_t offset, std::uint32_t count)
{
    for (std::uint32_t token = offset; token < offset + count; ++token) {
        text += R"(data: {"choices":[{"index":0,"delta":{"content":"t)";
        text += std::to_string(token);
        text += " \"}}]}\n\n";
    }
}

std::string write_end_chunk(std::uint32_t prompt_tokens, const engine_finished& end)
{
    const json::object usage{
        {"prompt_tokens", prompt_tokens},
        {"completion_tokens", end.total},
        {"total_tokens", prompt_tokens + end.total},
        {"prompt_tokens_details", json::object{{"cached_tokens", end.cached_tokens}}}};
    const json::object choice{{"index", 0}, {"delta", json::object{}}, {"finish_reason", "stop"}};
    const json::object chunk{{"choices", json::array{choice}}, {"usage", usage}};
    return "data: " + json::serialize(chunk) + "\n\ndata: [DONE]\n\n";
}

} // namespace ragwortcove::standin
