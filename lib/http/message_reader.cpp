#include "ragwortcove/http/message_reader.hpp"

// With sanitizers GCC takes an empty optional inside Beast's parser for an uninitialized one.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace ragwortcove::http {

namespace beast = boost::beast;
using error_code = boost::system::error_code;

/// The lowest status of HTTP. What has a lower one is no response, and nothing tells where it ends.
static constexpr int first_status = 100;
/// What follows a response with this status is of another protocol. No request here asks for one.
static constexpr int status_switching_protocols = 101;
/// Status below which a response only announces another one.
static constexpr int first_final_status = 200;
/// Header bytes of a response that is still taken, with those of the announcements before it.
static constexpr std::uint32_t most_response_header_bytes = 64U << 10U;
/// Bytes that frame a response's body in chunks, for those up to its length: a sound upstream needs
/// few, and one that sends chunks of a byte without end costs much time for little.
static constexpr std::uint64_t min_framing_limit = 256U << 10U;
/// Framing bytes that are allowed for each byte of a body, beyond that.
static constexpr std::uint64_t framing_per_body_byte = 2;
/// Memory that a reader keeps for bytes that come later.
static constexpr std::size_t max_spare_bytes = 4U << 10U;
/// Responses that are dropped before the awaited one.
static constexpr int max_skipped_responses = 4;

// Other codings than chunks are named only in a field that concerns one connection, and no request
// here asks for one: whoever gets the body next would take the coded bytes for it.
static bool is_in_known_coding(const std::vector<header>& headers)
{
    int count_of_codings = 0;
    for (const header& each : headers) {
        if (!same_header_name(each.name, "Transfer-Encoding"))
            continue;
        const beast::http::opt_token_list named{
            beast::string_view(each.value.data(), each.value.size())};
        if (!beast::http::validate_list(named))
            return false;
        for (const beast::string_view coding : named) {
            ++count_of_codings;
            if (!beast::iequals(coding, "chunked") && !beast::iequals(coding, "identity"))
                return false;
        }
    }
    return count_of_codings <= 1;
}

namespace {

/// What both kinds of parser collect.
struct collected_head {
    std::string method;
    std::string target;
    int status = 0;
    /// Ten times the version's number.
    int version = 11;
    std::vector<header> headers;
};

/// Beast's parser with its events handed on as they come.
template <bool IsRequest> class event_parser : public beast::http::basic_parser<IsRequest> {
public:
    collected_head head;
    std::function<void()> on_head;
    std::function<void(std::string_view)> on_body;

private:
    void on_request_impl(beast::http::verb, beast::string_view method, beast::string_view target,
                         int version, error_code& error) override
    {
        this->head.version = version;
        this->head.method.assign(method.data(), method.size());
        this->head.target.assign(target.data(), target.size());
        error = {};
    }
    void on_response_impl(int status, beast::string_view, int, error_code& error) override
    {
        this->head.status = status;
        error = {};
        if (status < first_status || status == status_switching_protocols)
            error = beast::http::error::bad_status;
    }
    void on_field_impl(beast::http::field, beast::string_view name, beast::string_view value,
                       error_code& error) override
    {
        this->head.headers.push_back(
            {std::string(name.data(), name.size()), std::string(value.data(), value.size())});
        error = {};
    }
    void on_header_impl(error_code& error) override
    {
        error = {};
        if (!IsRequest && !is_in_known_coding(this->head.headers)) {
            error = beast::http::error::bad_transfer_encoding;
            return;
        }
        this->on_head();
    }
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code& error) override
    {
        error = {};
    }
    std::size_t on_body_impl(beast::string_view bytes, error_code& error) override
    {
        error = {};
        this->on_body({bytes.data(), bytes.size()});
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t, beast::string_view, error_code& error) override
    {
        error = {};
    }
    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view bytes,
                                   error_code& error) override
    {
        error = {};
        this->on_body({bytes.data(), bytes.size()});
        return bytes.size();
    }
    void on_finish_impl(error_code& error) override { error = {}; }
};

} // namespace

static message_fault fault_of(const error_code& error)
{
    if (!error || error == beast::http::error::need_more)
        return message_fault::none;
    if (error == beast::http::error::header_limit)
        return message_fault::header_too_long;
    if (error == beast::http::error::body_limit)
        return message_fault::body_too_long;
    if (error == beast::http::error::partial_message || error == beast::http::error::end_of_stream)
        return message_fault::truncated;
    return message_fault::malformed;
}

/// Bytes with which a parser that has wanted more goes on at the least: Beast's asserts them when
/// it looks for the end of the last chunk a second time.
static constexpr std::size_t min_resumed_bytes = 5;

/// Feeds what is kept to the parser until it wants more or is done. `wants_more` tells whether it
/// has left bytes to be read again with later ones.
template <class Parser>
static message_fault feed(Parser& parser, std::string& kept, bool& wants_more)
{
    if (wants_more && kept.size() < min_resumed_bytes)
        return message_fault::none;
    std::size_t used = 0;
    error_code error;
    while (used < kept.size() && !parser.is_done()) {
        const std::size_t taken =
            parser.put(boost::asio::const_buffer(kept.data() + used, kept.size() - used), error);
        used += taken;
        if (error || taken == 0)
            break;
    }
    kept.erase(0, used);
    if (kept.empty() && kept.capacity() > max_spare_bytes)
        kept = {};
    wants_more = !kept.empty() && !parser.is_done();
    return fault_of(error);
}

/// Whether the bytes kept are more than any part of a message that is parsed only as a whole: a
/// head, the line before a chunk, or the trailer.
static bool is_part_too_long(std::string_view kept, std::uint32_t header_bytes)
{
    return kept.size() > header_bytes;
}

struct request_reader::state {
    message_limits limits;
    handlers given;
    std::unique_ptr<event_parser<true>> parser;
    std::string kept;
    bool wants_more = false;
    bool complete = false;

    void begin()
    {
        this->complete = false;
        this->wants_more = false;
        this->parser = std::make_unique<event_parser<true>>();
        this->parser->eager(true);
        this->parser->header_limit(this->limits.header_bytes);
        this->parser->body_limit(this->limits.body_bytes);
        this->parser->on_head = [this] {
            request_line_and_headers made;
            made.method = std::move(this->parser->head.method);
            made.target = std::move(this->parser->head.target);
            made.headers = std::move(this->parser->head.headers);
            made.keep_alive = this->parser->keep_alive();
            made.version_1_1 = this->parser->head.version >= 11;
            this->given.head(std::move(made));
        };
        this->parser->on_body = [this](std::string_view bytes) { this->given.body(bytes); };
    }

    message_fault run()
    {
        if (this->complete || this->kept.empty())
            return message_fault::none;
        const message_fault fault = feed(*this->parser, this->kept, this->wants_more);
        if (fault != message_fault::none)
            return fault;
        if (this->parser->is_done()) {
            this->complete = true;
            this->given.complete();
            return message_fault::none;
        }
        if (is_part_too_long(this->kept, this->limits.header_bytes))
            return message_fault::header_too_long;
        return message_fault::none;
    }
};

request_reader::request_reader(const message_limits& limits, handlers&& given)
    : self(std::make_unique<state>())
{
    this->self->limits = limits;
    this->self->given = std::move(given);
    this->self->begin();
}

request_reader::~request_reader() = default;

message_fault request_reader::take(std::string_view bytes)
{
    // While a request is being answered, one more that is whole may wait behind it.
    const message_limits& limits = this->self->limits;
    if (this->self->complete &&
        this->self->kept.size() + bytes.size() > limits.header_bytes + limits.body_bytes)
        return message_fault::body_too_long;
    this->self->kept.append(bytes);
    return this->self->run();
}

message_fault request_reader::next()
{
    this->self->begin();
    return this->self->run();
}

bool request_reader::inside_message() const
{
    return !this->self->complete && (this->self->parser->got_some() || !this->self->kept.empty());
}

void request_reader::set_limits(const message_limits& limits)
{
    this->self->limits = limits;
    if (!this->inside_message() && !this->self->complete)
        this->self->begin();
}

struct response_reader::state {
    handlers given;
    bool no_body = false;
    std::unique_ptr<event_parser<false>> parser;
    std::string kept;
    bool wants_more = false;
    bool complete = false;
    bool started = false;
    bool announced = false;
    /// Bytes of announcements.
    std::uint64_t announced_bytes = 0;
    bool skipping = false;
    int skipped_responses = 0;
    /// Body bytes that are not handed on yet: all that came together are handed on at once, since
    /// a response may come in very many chunks.
    std::string body;
    /// Bytes of the body, and of what frames it, so far.
    std::uint64_t body_bytes = 0;
    std::uint64_t framing_bytes = 0;

    void begin()
    {
        this->body_bytes = 0;
        this->framing_bytes = 0;
        this->parser = std::make_unique<event_parser<false>>();
        this->parser->eager(true);
        this->parser->skip(this->no_body);
        this->parser->header_limit(most_response_header_bytes);
        this->parser->body_limit(boost::none);
        this->wants_more = false;
        this->announced = false;
        this->skipping = false;
        this->parser->on_head = [this] {
            this->announced = this->parser->head.status < first_final_status;
            if (this->announced)
                return;
            status_line_and_headers made;
            made.status = this->parser->head.status;
            made.headers = std::move(this->parser->head.headers);
            made.keep_alive = this->parser->keep_alive();
            made.ends_with_connection = this->parser->need_eof();
            if (const auto length = this->parser->content_length())
                made.content_length = *length;
            this->given.head(std::move(made));
        };
        this->parser->on_body = [this](std::string_view bytes) {
            if (!this->skipping)
                this->body.append(bytes);
            this->body_bytes += bytes.size();
        };
    }

    /// Feeds the parser, and hands on the body bytes that this brings.
    message_fault feed_parser()
    {
        const std::size_t before = this->kept.size();
        const std::uint64_t body_before = this->body_bytes;
        const message_fault fault = feed(*this->parser, this->kept, this->wants_more);
        if (this->parser->chunked())
            this->framing_bytes += before - this->kept.size() - (this->body_bytes - body_before);
        const std::string bytes = std::exchange(this->body, {});
        if (!bytes.empty())
            this->given.body(bytes);
        return fault;
    }

    [[nodiscard]] bool is_framing_too_long() const
    {
        return this->framing_bytes > min_framing_limit + framing_per_body_byte * this->body_bytes;
    }

    message_fault run()
    {
        while (!this->complete && !this->kept.empty()) {
            this->started = true;
            const std::size_t before = this->kept.size();
            const message_fault fault = this->feed_parser();
            if (fault != message_fault::none)
                return fault;
            if (this->is_framing_too_long())
                return message_fault::malformed;
            if (!this->parser->is_done())
                return is_part_too_long(this->kept, most_response_header_bytes)
                           ? message_fault::header_too_long
                           : message_fault::none;
            if (this->announced) {
                this->announced_bytes += before - this->kept.size();
                if (this->announced_bytes > most_response_header_bytes)
                    return message_fault::header_too_long;
                this->begin();
                continue;
            }
            if (this->skipping) {
                if (++this->skipped_responses > max_skipped_responses)
                    return message_fault::malformed;
                this->begin();
                continue;
            }
            this->complete = true;
            this->given.complete();
        }
        return message_fault::none;
    }
};

response_reader::response_reader(bool no_body, handlers&& given) : self(std::make_unique<state>())
{
    this->self->no_body = no_body;
    this->self->given = std::move(given);
    this->self->begin();
}

response_reader::~response_reader() = default;

message_fault response_reader::take(std::string_view bytes)
{
    this->self->kept.append(bytes);
    return this->self->run();
}

void response_reader::skip()
{
    this->self->skipping = true;
}

message_fault response_reader::finish()
{
    if (this->self->complete)
        return message_fault::none;
    if (this->self->skipping || !this->self->parser->got_some())
        return message_fault::truncated;
    error_code error;
    this->self->parser->put_eof(error);
    if (error)
        return message_fault::truncated;
    if (!this->self->parser->is_done())
        return message_fault::truncated;
    this->self->complete = true;
    this->self->given.complete();
    return message_fault::none;
}

bool response_reader::is_complete() const
{
    return this->self->complete;
}

bool response_reader::has_surplus() const
{
    return this->self->complete && !this->self->kept.empty();
}

bool response_reader::has_started() const
{
    return this->self->started;
}

bool same_header_name(std::string_view one, std::string_view other)
{
    return beast::iequals(beast::string_view(one.data(), one.size()),
                          beast::string_view(other.data(), other.size()));
}

std::optional<std::string_view> find_any_case(const std::vector<header>& headers,
                                              std::string_view name)
{
    for (const header& candidate : headers) {
        if (same_header_name(candidate.name, name))
            return candidate.value;
    }
    return std::nullopt;
}

bool is_hop_by_hop(const std::vector<header>& all, std::string_view name)
{
    static constexpr std::array<std::string_view, 9> known{"Connection",
                                                           "Keep-Alive",
                                                           "Proxy-Connection",
                                                           "Proxy-Authenticate",
                                                           "Proxy-Authorization",
                                                           "TE",
                                                           "Trailer",
                                                           "Transfer-Encoding",
                                                           "Upgrade"};
    const auto is_name = [name](std::string_view other) { return same_header_name(name, other); };
    if (std::any_of(known.begin(), known.end(), is_name))
        return true;
    for (const header& candidate : all) {
        if (!same_header_name(candidate.name, "Connection"))
            continue;
        const beast::http::token_list named{
            beast::string_view(candidate.value.data(), candidate.value.size())};
        for (const beast::string_view token : named) {
            if (is_name({token.data(), token.size()}))
                return true;
        }
    }
    return false;
}

} // namespace ragwortcove::http
