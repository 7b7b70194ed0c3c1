#include "ragwortcove/daemon/metrics.hpp"

#include <array>
#include <chrono>

namespace ragwortcove::daemon {

namespace statistics = boost::accumulators;

static constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};

std::string_view to_string(core::upstream_failure failure)
{
    using core::upstream_failure;
    switch (failure) {
    case upstream_failure::not_sent:
        return "not_sent";
    case upstream_failure::refused:
        return "refused";
    case upstream_failure::error_answer:
        return "error_answer";
    case upstream_failure::connection_lost:
        return "connection_lost";
    case upstream_failure::silent:
        return "silent";
    case upstream_failure::incomplete:
        return "incomplete";
    case upstream_failure::unknown_request:
        return "unknown_request";
    }
    return "unknown";
}

std::string_view to_string(core::attempt_mode mode)
{
    switch (mode) {
    case core::attempt_mode::fresh:
        return "fresh";
    case core::attempt_mode::resume:
        return "resume";
    case core::attempt_mode::status:
        return "status";
    }
    return "unknown";
}

static std::string label(std::string_view key, std::string_view value)
{
    return std::string{key} + "=\"" + std::string{value} + "\"";
}

static std::string refusal_labels(const core::refusal& refusal)
{
    return label("verdict", core::to_string(refusal.outcome)) + "," +
           label("reason", core::to_string(refusal.reason));
}

static double to_seconds(core::duration value)
{
    return std::chrono::duration<double>(value).count();
}

static duration_summary make_summary()
{
    return duration_summary{statistics::extended_p_square_probabilities = quantiles};
}

static void observe(std::map<std::string, duration_summary>& into, const std::string& labels,
                    core::duration value)
{
    const auto [found, created] = into.try_emplace(labels, make_summary());
    found->second(to_seconds(value));
}

metrics::metrics() = default;

void metrics::count_request(std::string_view kind)
{
    ++this->requests[label("kind", kind)];
}

void metrics::count_answer(std::string_view kind, core::duration whole)
{
    ++this->answers[label("kind", kind)];
    observe(this->whole_answers, label("kind", kind), whole);
}

void metrics::observe_first_byte(std::string_view kind, core::duration after)
{
    observe(this->first_bytes, label("kind", kind), after);
}

void metrics::count_refusal(const core::refusal& refusal)
{
    ++this->refusals[refusal_labels(refusal)];
}

void metrics::count_cut(const core::refusal& refusal)
{
    ++this->cuts[refusal_labels(refusal)];
}

void metrics::count_attempt(core::attempt_mode mode)
{
    ++this->attempts[label("mode", to_string(mode))];
}

void metrics::count_attempt_failure(core::upstream_failure failure)
{
    ++this->attempt_failures[label("failure", to_string(failure))];
}

void metrics::count_tokens(std::uint64_t tokens)
{
    this->tokens_forwarded += tokens;
}

void metrics::count_decision(core::decision_kind kind)
{
    ++this->decisions[label("kind", core::to_string(kind))];
}

void metrics::count_platform_call()
{
    ++this->platform_calls;
}

static void render_head(std::string& page, std::string_view name, std::string_view type,
                        std::string_view help)
{
    page += "# HELP ragwortcove_" + std::string{name} + " " + std::string{help} + "\n";
    page += "# TYPE ragwortcove_" + std::string{name} + " " + std::string{type} + "\n";
}

static void render_sample(std::string& page, const std::string& name, const std::string& labels,
                          const std::string& value)
{
    page += "ragwortcove_" + name;
    if (!labels.empty())
        page += "{" + labels + "}";
    page += " " + value + "\n";
}

static void render_counters(std::string& page, const std::string& name, std::string_view help,
                            const std::map<std::string, std::uint64_t>& counters)
{
    render_head(page, name, "counter", help);
    for (const auto& [labels, value] : counters)
        render_sample(page, name, labels, std::to_string(value));
}

static void render_counter(std::string& page, const std::string& name, std::string_view help,
                           std::uint64_t value)
{
    render_counters(page, name, help, {{"", value}});
}

static void render_gauge(std::string& page, const std::string& name, std::string_view help,
                         std::uint64_t value)
{
    render_head(page, name, "gauge", help);
    render_sample(page, name, "", std::to_string(value));
}

static std::string short_number(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.'))
        text.pop_back();
    return text;
}

static void render_summaries(std::string& page, const std::string& name, std::string_view help,
                             const std::map<std::string, duration_summary>& summaries)
{
    render_head(page, name, "summary", help);
    for (const auto& [labels, summary] : summaries) {
        auto estimate = statistics::extended_p_square(summary).begin();
        for (const double quantile : quantiles) {
            std::string both = labels;
            both += ",";
            both += label("quantile", short_number(quantile));
            render_sample(page, name, both, std::to_string(*estimate));
            ++estimate;
        }
        render_sample(page, name + "_sum", labels, std::to_string(statistics::sum(summary)));
        render_sample(page, name + "_count", labels, std::to_string(statistics::count(summary)));
    }
}

static void render_gauges(std::string& page, const metric_gauges& gauges)
{
    render_gauge(page, "open_requests", "Requests that callers wait for.", gauges.open_requests);
    render_gauge(page, "open_attempts", "Attempts open on upstreams.", gauges.open_attempts);
    render_gauge(page, "configuration_revision", "Configuration revision in force here.",
                 gauges.configuration_revision);
    render_gauge(page, "live_members", "Instances that this node knows to be live.",
                 gauges.live_members);
    render_gauge(page, "ready", "Whether this node serves requests.", gauges.ready ? 1 : 0);
    render_gauge(page, "peer_streams", "Open streams to other instances.", gauges.peer_streams);
    render_gauge(page, "draining", "Whether this node is shutting down.", gauges.draining ? 1 : 0);
}

static void add_traffic(std::map<std::string, std::uint64_t>& messages,
                        std::map<std::string, std::uint64_t>& bytes, std::string_view direction,
                        const std::array<peer::traffic, peer::message_kinds>& by_kind)
{
    for (std::size_t index = 0; index < by_kind.size(); ++index) {
        const std::string labels =
            label("direction", direction) + "," + label("kind", peer::message_kind_name(index));
        messages[labels] = by_kind[index].messages;
        bytes[labels] = by_kind[index].bytes;
    }
}

static void render_peers(std::string& page, const peer::transport_counters& counters)
{
    std::map<std::string, std::uint64_t> messages;
    std::map<std::string, std::uint64_t> bytes;
    add_traffic(messages, bytes, "sent", counters.sent);
    add_traffic(messages, bytes, "received", counters.received);
    render_counters(page, "peer_messages_total", "Messages between instances.", messages);
    render_counters(page, "peer_message_bytes_total", "Bytes of messages between instances.",
                    bytes);
    render_counters(page, "peer_envelope_bytes_total",
                    "Bytes on streams between instances, before framing.",
                    {{label("direction", "sent"), counters.envelopes_sent.bytes},
                     {label("direction", "received"), counters.envelopes_received.bytes}});
    render_counter(page, "peer_streams_broken_total", "Streams between instances that broke.",
                   counters.streams_broken);
    render_counter(page, "peer_messages_dropped_total", "Messages that waited too long.",
                   counters.messages_dropped);
    render_counter(page, "peer_malformed_total", "Messages that could not be read.",
                   counters.malformed);
}

std::string metrics::render(const metric_gauges& gauges) const
{
    std::string page;
    render_counters(page, "requests_total", "Requests read from callers.", this->requests);
    render_counters(page, "answers_total", "Whole answers written to callers.", this->answers);
    render_counters(page, "refusals_total", "Requests refused before an answer began.",
                    this->refusals);
    render_counters(page, "cut_answers_total", "Answers that broke off.", this->cuts);
    render_counters(page, "attempts_total", "Attempts on upstreams.", this->attempts);
    render_counters(page, "attempt_failures_total", "Attempts that failed.",
                    this->attempt_failures);
    render_counters(page, "decisions_total", "Decisions logged.", this->decisions);
    render_counter(page, "tokens_forwarded_total", "Output tokens passed to callers.",
                   this->tokens_forwarded);
    render_counter(page, "platform_calls_total", "Calls to the platform.", this->platform_calls);
    render_summaries(page, "first_byte_seconds", "Time from a request to its answer's first byte.",
                     this->first_bytes);
    render_summaries(page, "answer_seconds", "Time from a request to its answer's last byte.",
                     this->whole_answers);
    render_gauges(page, gauges);
    if (gauges.peers != nullptr)
        render_peers(page, *gauges.peers);
    return page;
}

} // namespace ragwortcove::daemon
