#include "ragwortcove/daemon/event_log.hpp"

#include "ragwortcove/daemon/bounded_output.hpp"
#include "ragwortcove/daemon/log_sampler.hpp"

#include <boost/json.hpp>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <memory>
#include <sstream>
#include <unistd.h>

namespace ragwortcove::daemon {

static constexpr const char* logger_name = "ragwortcove";
static constexpr const char* text_pattern = "%D{%Y-%m-%dT%H:%M:%S.%q}Z %m%n";
static constexpr const char* json_pattern = "{\"time\":\"%D{%Y-%m-%dT%H:%M:%S.%q}Z\",%m}%n";

namespace {

/// The process's standard output, of which there is one.
bounded_output& shared_output()
{
    static bounded_output output{STDOUT_FILENO};
    return output;
}

/// Writes to standard output and never waits for its reader.
class bounded_appender : public log4cplus::Appender {
public:
    bounded_appender() = default;
    ~bounded_appender() override { this->destructorImpl(); }
    bounded_appender(const bounded_appender&) = delete;
    bounded_appender& operator=(const bounded_appender&) = delete;
    void close() override { shared_output().flush(); }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        std::ostringstream line;
        this->layout->formatAndAppend(line, event);
        shared_output().write(line.str());
    }
};

/// What the process's one log writes with.
struct log_state {
    log4cplus::Initializer library;
    log4cplus::Logger logger = log4cplus::Logger::getInstance(logger_name);
    log_format format = log_format::text;
    log_sampler sampler;
};

} // namespace

static log_state& shared_log()
{
    static log_state state;
    return state;
}

static log4cplus::LogLevel to_library_level(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

static log4cplus::SharedAppenderPtr make_appender(const log_settings& settings)
{
    if (settings.file == standard_output)
        return log4cplus::SharedAppenderPtr{new bounded_appender};
    if (settings.file.empty())
        return log4cplus::SharedAppenderPtr{new log4cplus::ConsoleAppender{true, true}};
    return log4cplus::SharedAppenderPtr{
        new log4cplus::FileAppender{settings.file, std::ios_base::app}};
}

void configure_log(const log_settings& settings)
{
    log_state& log = shared_log();
    log.format = settings.format;
    const char* pattern = settings.format == log_format::json ? json_pattern : text_pattern;
    log4cplus::SharedAppenderPtr appender = make_appender(settings);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    log.logger.removeAllAppenders();
    log.logger.addAppender(appender);
    log.logger.setAdditivity(false);
    log.logger.setLogLevel(to_library_level(settings.level));
}

static bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
}

/// Writes a value so that a line stays one line and its fields can be told apart.
static std::string quote_value(std::string_view value)
{
    if (!needs_quotes(value))
        return std::string{value};
    return boost::json::serialize(boost::json::string{value});
}

static std::string render_text(const log_event_entry& entry,
                               std::initializer_list<log_field> fields)
{
    std::string line = "level=" + std::string{to_string(entry.level)};
    line += " event=" + std::to_string(static_cast<unsigned>(entry.event));
    line += " name=" + std::string{entry.name};
    for (const log_field& field : fields) {
        line += " " + std::string{field.key} + "=" + quote_value(field.value);
    }
    return line;
}

static std::string render_json(const log_event_entry& entry,
                               std::initializer_list<log_field> fields)
{
    boost::json::object line;
    line["level"] = to_string(entry.level);
    line["event"] = static_cast<unsigned>(entry.event);
    line["name"] = entry.name;
    for (const log_field& field : fields)
        line[field.key] = field.value;
    const std::string text = boost::json::serialize(line);
    // The time goes in front, so the braces are the layout's.
    return text.substr(1, text.size() - 2);
}

std::string render_log_line(log_format format, log_event event,
                            std::initializer_list<log_field> fields)
{
    const log_event_entry& entry = describe(event);
    if (format == log_format::json)
        return render_json(entry, fields);
    return render_text(entry, fields);
}

void write_log(log_event event, std::initializer_list<log_field> fields)
{
    log_state& log = shared_log();
    const log4cplus::LogLevel level = to_library_level(describe(event).level);
    if (!log.logger.isEnabledFor(level))
        return;
    const auto now = std::chrono::steady_clock::now();
    for (const left_out_lines& each : log.sampler.take_left_out(now)) {
        const std::string count = std::to_string(each.count);
        log.logger.forcedLog(
            log4cplus::WARN_LOG_LEVEL,
            render_log_line(
                log.format, log_event::lines_left_out,
                {{"reason", "too_many"}, {"of", describe(each.event).name}, {"count", count}}));
    }
    if (log.sampler.admit(event, now))
        log.logger.forcedLog(level, render_log_line(log.format, event, fields));
}

void flush_log()
{
    shared_output().flush();
}

} // namespace ragwortcove::daemon
