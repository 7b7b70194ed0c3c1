#include "ragwortcove/daemon/chat.hpp"

#include "ragwortcove/core/prompt.hpp"

#include <boost/json.hpp>

#include <array>

namespace ragwortcove::daemon {

namespace json = boost::json;

/// Most output tokens that a caller may ask for.
static constexpr std::int64_t most_output_tokens = 1'000'000;
static constexpr std::size_t chunk_buffer_bytes = 4096;

/// Reads the text of a message's content: a string, or parts of which some are text.
static std::optional<std::string> read_content(const json::value& content)
{
    if (content.is_string())
        return std::string{content.get_string()};
    if (content.is_null())
        return std::string{};
    if (!content.is_array())
        return std::nullopt;
    std::string joined;
    for (const json::value& part : content.get_array()) {
        if (!part.is_object())
            return std::nullopt;
        const json::value* text = part.get_object().if_contains("text");
        if (text != nullptr && text->is_string())
            joined += text->get_string();
    }
    return joined;
}

static bool append_message(const json::value& message, std::string& prompt)
{
    if (!message.is_object())
        return false;
    const json::value* role = message.get_object().if_contains("role");
    const json::value* content = message.get_object().if_contains("content");
    if (role == nullptr || !role->is_string() || content == nullptr)
        return false;
    const std::optional<std::string> text = read_content(*content);
    if (!text)
        return false;
    core::append_message(prompt, role->get_string(), *text);
    return true;
}

static boost::leaf::result<std::string> read_prompt(const json::object& body)
{
    const json::value* messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty())
        return boost::leaf::new_error(chat_error{"messages: expected an array, not empty"});
    std::string prompt;
    for (const json::value& message : messages->get_array()) {
        if (!append_message(message, prompt))
            return boost::leaf::new_error(
                chat_error{"messages: expected objects with a role and content"});
    }
    return prompt;
}

static boost::leaf::result<std::uint32_t> read_max_tokens(const json::object& body)
{
    const json::value* stated = body.if_contains("max_completion_tokens");
    if (stated == nullptr)
        stated = body.if_contains("max_tokens");
    if (stated == nullptr || stated->is_null())
        return 0;
    const bool in_range =
        stated->is_int64() && stated->get_int64() >= 1 && stated->get_int64() <= most_output_tokens;
    if (!in_range)
        return boost::leaf::new_error(
            chat_error{"max_tokens: expected a whole number from 1 to 1000000"});
    return static_cast<std::uint32_t>(stated->get_int64());
}

static boost::leaf::result<bool> read_stream(const json::object& body)
{
    const json::value* stated = body.if_contains("stream");
    if (stated == nullptr || stated->is_null())
        return false;
    if (!stated->is_bool())
        return boost::leaf::new_error(chat_error{"stream: expected true or false"});
    return stated->get_bool();
}

static boost::leaf::result<json::object> read_body(std::string_view text)
{
    boost::system::error_code failed;
    json::value body = json::parse(text, failed);
    if (failed || !body.is_object())
        return boost::leaf::new_error(chat_error{"body: expected a JSON object"});
    return std::move(body.get_object());
}

static boost::leaf::result<std::string> read_model(const json::object& body)
{
    const json::value* model = body.if_contains("model");
    if (model == nullptr || !model->is_string() || model->get_string().empty())
        return boost::leaf::new_error(chat_error{"model: expected the name of a route"});
    return std::string{model->get_string()};
}

boost::leaf::result<chat_request> parse_chat_request(std::string_view text)
{
    BOOST_LEAF_AUTO(body, read_body(text));
    chat_request parsed;
    BOOST_LEAF_ASSIGN(parsed.model, read_model(body));
    BOOST_LEAF_ASSIGN(parsed.prompt, read_prompt(body));
    BOOST_LEAF_ASSIGN(parsed.max_tokens, read_max_tokens(body));
    BOOST_LEAF_ASSIGN(parsed.stream, read_stream(body));
    body["stream"] = true;
    body["stream_options"] = json::object{{"include_usage", true}};
    parsed.upstream_body = json::serialize(body);
    return parsed;
}

static std::optional<std::uint32_t> read_count(const json::object& from, std::string_view key)
{
    const json::value* stated = from.if_contains(key);
    if (stated == nullptr || !stated->is_int64())
        return std::nullopt;
    const std::int64_t value = stated->get_int64();
    if (value < 0 || value > most_output_tokens)
        return std::nullopt;
    return static_cast<std::uint32_t>(value);
}

static const json::object* find_object(const json::object& from, std::string_view key)
{
    const json::value* found = from.if_contains(key);
    return found == nullptr ? nullptr : found->if_object();
}

static std::optional<chat_usage> read_usage(const json::object& chunk)
{
    const json::object* stated = find_object(chunk, "usage");
    if (stated == nullptr)
        return std::nullopt;
    const std::optional<std::uint32_t> completion = read_count(*stated, "completion_tokens");
    if (!completion)
        return std::nullopt;
    chat_usage usage{*completion, 0};
    if (const json::object* details = find_object(*stated, "prompt_tokens_details"))
        usage.cached_tokens = read_count(*details, "cached_tokens").value_or(0);
    return usage;
}

static const json::object* find_first_choice(const json::object& chunk)
{
    const json::value* choices = chunk.if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty())
        return nullptr;
    return choices->get_array().front().if_object();
}

static std::string read_text(const json::object& from, std::string_view key)
{
    const json::value* found = from.if_contains(key);
    if (found == nullptr || !found->is_string())
        return {};
    return std::string{found->get_string()};
}

std::optional<chat_chunk> parse_chat_chunk(std::string_view data)
{
    // A chunk comes for each token, so its parts go into a buffer on the stack where they fit.
    std::array<unsigned char, chunk_buffer_bytes> buffer; // NOLINT: filled as it is needed
    json::monotonic_resource memory{buffer.data(), buffer.size()};
    boost::system::error_code failed;
    const json::value parsed = json::parse(data, failed, &memory);
    if (failed || !parsed.is_object())
        return std::nullopt;
    const json::object& body = parsed.get_object();
    if (body.contains("error"))
        return std::nullopt;
    chat_chunk chunk;
    chunk.usage = read_usage(body);
    const json::object* choice = find_first_choice(body);
    if (choice == nullptr)
        return chunk;
    chunk.finish_reason = read_text(*choice, "finish_reason");
    if (const json::object* delta = find_object(*choice, "delta"))
        chunk.content = read_text(*delta, "content");
    const std::uint32_t assumed = chunk.content.empty() ? 0 : 1;
    chunk.count = read_count(body, "count").value_or(assumed);
    return chunk;
}

static json::object render_head(const chat_answer_head& head, std::string_view object)
{
    static constexpr std::int64_t millis_per_second = 1000;
    json::object body;
    body["id"] = head.request_id;
    body["object"] = object;
    body["created"] = head.created.value / millis_per_second;
    body["model"] = head.model;
    return body;
}

static json::object render_usage(const chat_answer_end& end)
{
    json::object usage;
    usage["prompt_tokens"] = end.prompt_tokens;
    usage["completion_tokens"] = end.completion_tokens;
    usage["total_tokens"] = end.prompt_tokens + end.completion_tokens;
    usage["prompt_tokens_details"] = json::object{{"cached_tokens", end.cached_tokens}};
    return usage;
}

static std::string_view or_stop(std::string_view finish_reason)
{
    return finish_reason.empty() ? "stop" : finish_reason;
}

chat_chunk_writer::chat_chunk_writer(const chat_answer_head& head)
{
    json::object choice;
    choice["index"] = 0;
    choice["delta"] = json::object{{"content", ""}};
    choice["finish_reason"] = nullptr;
    json::object body = render_head(head, "chat.completion.chunk");
    body["choices"] = json::array{std::move(choice)};
    const std::string whole = json::serialize(body);
    static constexpr std::string_view empty_content = "{\"content\":\"\"}";
    const std::size_t content = whole.rfind(empty_content) + empty_content.find("\"\"");
    this->before = whole.substr(0, content);
    this->after = whole.substr(content + 2);
}

std::string chat_chunk_writer::write(std::string_view content) const
{
    return this->before + json::serialize(content) + this->after;
}

std::string render_chat_end(const chat_answer_head& head, const chat_answer_end& end)
{
    json::object choice;
    choice["index"] = 0;
    choice["delta"] = json::object{};
    choice["finish_reason"] = or_stop(end.finish_reason);
    json::object body = render_head(head, "chat.completion.chunk");
    body["choices"] = json::array{std::move(choice)};
    body["usage"] = render_usage(end);
    return json::serialize(body);
}

std::string render_chat_answer(const chat_answer_head& head, std::string_view content,
                               const chat_answer_end& end)
{
    json::object choice;
    choice["index"] = 0;
    choice["message"] = json::object{{"role", "assistant"}, {"content", content}};
    choice["finish_reason"] = or_stop(end.finish_reason);
    json::object body = render_head(head, "chat.completion");
    body["choices"] = json::array{std::move(choice)};
    body["usage"] = render_usage(end);
    return json::serialize(body);
}

} // namespace ragwortcove::daemon
