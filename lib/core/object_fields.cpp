#include "ragwortcove/core/object_fields.hpp"

#include "field_value.hpp"

#include <algorithm>
#include <array>
#include <chrono>

namespace ragwortcove::core {

using namespace std::chrono_literals;

namespace {

enum class presence { required, optional };

/// Reads a spec from fields, and records which fields were read, so that the others can be reported
/// as unknown.
class field_reader {
public:
    explicit field_reader(std::span<const field> all) : fields(all), was_read(all.size(), false) {}

    template <class T, class Range = any_value<T>>
    void value(std::string_view key, T& target, presence wanted, Range range = {},
               std::string_view range_text = {})
    {
        this->known_keys.emplace_back(key);
        const auto found = this->position_of(key);
        if (found == this->fields.size()) {
            if (wanted == presence::required)
                this->fail(found, {std::string(key), "", describe_value(target)});
            return;
        }
        T read{};
        if (!read_value(this->fields[found].value, read)) {
            this->fail_at(found, describe_value(target));
            return;
        }
        if (!range.contains(read)) {
            this->fail_at(found, std::string(range_text));
            return;
        }
        target = std::move(read);
    }

    /// Reads every field whose key starts with `prefix` and a dot.
    void labels(std::string_view prefix, label_set& target)
    {
        const auto key_prefix = std::string(prefix) + ".";
        this->known_keys.push_back(key_prefix + "NAME");
        for (std::size_t i = 0; i != this->fields.size(); ++i) {
            if (this->fields[i].key.starts_with(key_prefix))
                this->read_label(i, this->fields[i].key.substr(key_prefix.size()), target);
        }
    }

    void reject(std::string_view key, std::string_view found, std::string_view expected)
    {
        this->fail(this->fields.size(),
                   {std::string(key), std::string(found), std::string(expected)});
    }

    /// Errors in the fields' order, missing fields last.
    [[nodiscard]] std::vector<field_error> finish()
    {
        for (std::size_t i = 0; i != this->fields.size(); ++i) {
            if (!this->was_read[i])
                this->fail_at(i, this->describe_expected_key(i));
        }
        std::stable_sort(this->errors.begin(), this->errors.end(),
                         [](const auto& a, const auto& b) { return a.position < b.position; });
        std::vector<field_error> sorted;
        for (auto& each : this->errors)
            sorted.push_back(std::move(each.error));
        return sorted;
    }

private:
    struct positioned_error {
        std::size_t position = 0;
        field_error error;
    };

    std::size_t position_of(std::string_view key)
    {
        const auto found = std::find_if(this->fields.begin(), this->fields.end(),
                                        [&](const field& each) { return each.key == key; });
        const auto position = static_cast<std::size_t>(found - this->fields.begin());
        if (position != this->fields.size())
            this->was_read[position] = true;
        return position;
    }

    void read_label(std::size_t position, std::string name, label_set& target)
    {
        this->was_read[position] = true;
        if (!is_name(name) || !is_name(this->fields[position].value)) {
            this->fail_at(position, "a label's name and value of letters, digits, '.', '_', '-'");
            return;
        }
        if (!target.emplace(std::move(name), this->fields[position].value).second)
            this->fail_at(position, "each label once");
    }

    [[nodiscard]] std::string describe_expected_key(std::size_t position) const
    {
        const auto& key = this->fields[position].key;
        if (std::find(this->known_keys.begin(), this->known_keys.end(), key) !=
            this->known_keys.end())
            return "each key once";
        std::string text = "one of the keys ";
        for (const auto& known : this->known_keys)
            text += (&known == &this->known_keys.front() ? "" : ", ") + known;
        return text;
    }

    void fail_at(std::size_t position, std::string expected)
    {
        const auto& at = this->fields[position];
        this->fail(position, {at.key, at.value, std::move(expected)});
    }
    void fail(std::size_t position, field_error error)
    {
        this->errors.push_back({position, std::move(error)});
    }

    std::span<const field> fields;
    std::vector<bool> was_read;
    std::vector<std::string> known_keys;
    std::vector<positioned_error> errors;
};

/// Writes a spec as fields; a value whose text is empty is left out, and is absent when read back.
class field_writer {
public:
    template <class T, class... Rest>
    void value(std::string_view key, T& source, presence, Rest&&...)
    {
        auto text = write_value(source);
        if (!text.empty())
            this->fields.push_back({std::string(key), std::move(text)});
    }

    void labels(std::string_view prefix, label_set& source)
    {
        for (const auto& [name, text] : source)
            this->fields.push_back({std::string(prefix) + "." + name, text});
    }

    std::vector<field> fields;
};

} // namespace

// One function per kind lists its fields, for the reader and the writer alike, so that `to_fields`
// and `parse_object` cannot differ.

template <class Fields> static void visit_fields(Fields& fields, tier_spec& spec)
{
    fields.value("rank", spec.rank, presence::required, value_range<std::uint32_t>{0, 15},
                 "a rank between 0 (served first) and 15");
    fields.value("queue_limit", spec.queue_limit, presence::optional,
                 value_range<duration>{0s, 24h}, "at most 24h");
}

template <class Fields> static void visit_fields(Fields& fields, team_spec& spec)
{
    fields.value("weight", spec.weight, presence::optional, value_range<double>{0.001, 1000.0},
                 "a weight between 0.001 and 1000");
}

template <class Fields> static void visit_fields(Fields& fields, version_spec& spec)
{
    fields.value("target", spec.target, presence::required);
    fields.value("artifact", spec.artifact, presence::optional);
}

template <class Fields> static void visit_fields(Fields& fields, upstream_spec& spec)
{
    fields.value("kind", spec.kind, presence::optional);
    fields.value("address", spec.address, presence::required);
    fields.value("region", spec.region, presence::optional);
    fields.value("failure_domain", spec.failure_domain, presence::required);
    fields.value("target", spec.target, presence::required);
    fields.value("version", spec.version, presence::optional);
    fields.value("slots", spec.slots, presence::optional, value_range<std::uint32_t>{1, 65536},
                 "between 1 and 65536 slots");
    fields.value("cache_tokens", spec.cache_tokens, presence::optional);
    fields.value("checks_fencing", spec.checks_fencing, presence::optional);
    fields.value("leaving", spec.leaving, presence::optional);
}

template <class Fields> static void visit_fields(Fields& fields, route_spec& spec)
{
    fields.value("target", spec.target, presence::required);
    fields.value("kind", spec.kind, presence::optional);
    fields.value("tier", spec.tier, presence::required);
    fields.value("version", spec.version, presence::optional);
    fields.labels("selector", spec.selector.equals);
    fields.value("idempotent", spec.idempotent, presence::optional);
    fields.value("timeout", spec.timeout, presence::optional, value_range<duration>{1ms, 24h},
                 "a timeout between 1ms and 24h");
    fields.value("expected_output_tokens", spec.expected_output_tokens, presence::optional,
                 value_range<std::uint32_t>{1, 1'000'000}, "between 1 and 1000000 tokens");
}

template <class Fields> static void visit_fields(Fields& fields, move_spec& spec)
{
    fields.value("route", spec.route, presence::required);
    fields.value("from", spec.from, presence::required);
    fields.value("to", spec.to, presence::required);
    fields.value("finish_by", spec.finish_by, presence::required);
    fields.value("canary_in_flight", spec.canary_in_flight, presence::optional,
                 value_range<std::uint32_t>{1, 1000}, "between 1 and 1000 requests");
    fields.value("soak", spec.soak, presence::optional, value_range<duration>{0s, 24h},
                 "at most 24h");
}

template <class Fields> static void visit_fields(Fields& fields, move_status_spec& spec)
{
    fields.value("phase", spec.phase, presence::required);
    fields.value("share_permille", spec.share_permille, presence::optional,
                 value_range<std::uint32_t>{0, 1000}, "at most 1000");
    fields.value("fencing", spec.fencing, presence::optional);
    fields.value("reason", spec.reason, presence::optional);
    fields.value("to", spec.to, presence::optional);
    fields.value("finish_by", spec.finish_by, presence::optional);
}

template <class Fields> static void visit_fields(Fields& fields, lease_spec& spec)
{
    fields.value("holder", spec.holder, presence::required);
    fields.value("holder_incarnation", spec.holder_incarnation, presence::required);
    fields.value("fencing", spec.fencing, presence::required);
    fields.value("expires", spec.expires, presence::required);
}

template <class Fields> static void visit_fields(Fields& fields, claim_spec& spec)
{
    fields.value("holder", spec.holder, presence::required);
    fields.value("expires", spec.expires, presence::required);
}

static constexpr std::array all_object_kinds = {
    object_kind::tier,        object_kind::team,  object_kind::version,
    object_kind::upstream,    object_kind::route, object_kind::move,
    object_kind::move_status, object_kind::lease, object_kind::claim};

static object_spec empty_spec(object_kind kind)
{
    switch (kind) {
    case object_kind::tier:
        return tier_spec{};
    case object_kind::team:
        return team_spec{};
    case object_kind::version:
        return version_spec{};
    case object_kind::upstream:
        return upstream_spec{};
    case object_kind::route:
        return route_spec{};
    case object_kind::move:
        return move_spec{};
    case object_kind::move_status:
        return move_status_spec{};
    case object_kind::lease:
        return lease_spec{};
    case object_kind::claim:
        return claim_spec{};
    }
    return tier_spec{};
}

/// Whether the system names the kind's objects; their names are keys and paths.
static bool is_system_named(object_kind kind)
{
    return kind == object_kind::lease || kind == object_kind::claim;
}

static void check_name(field_reader& reader, const object_key& key)
{
    if (is_system_named(key.kind)) {
        if (key.name.empty() || !is_plain_text(key.name))
            reader.reject("name", key.name, "text without control characters");
        return;
    }
    if (!is_name(key.name))
        reader.reject("name", key.name, describe_value(route_name{}));
}

static std::vector<field_error> read_object(std::span<const field> fields, object& target)
{
    field_reader reader(fields);
    check_name(reader, target.key);
    std::visit([&](auto& spec) { visit_fields(reader, spec); }, target.spec);
    reader.labels("label", target.labels);
    return reader.finish();
}

boost::leaf::result<object> parse_object(const object_key& key, std::span<const field> fields)
{
    object target{key, {}, empty_spec(key.kind), {}};
    auto errors = read_object(fields, target);
    if (!errors.empty())
        return boost::leaf::new_error(std::move(errors.front()));
    return target;
}

std::vector<field_error> check_object(const object_key& key, std::span<const field> fields)
{
    object target{key, {}, empty_spec(key.kind), {}};
    return read_object(fields, target);
}

std::vector<field> to_fields(const object& value)
{
    object copy = value;
    field_writer writer;
    std::visit([&](auto& spec) { visit_fields(writer, spec); }, copy.spec);
    writer.labels("label", copy.labels);
    return std::move(writer.fields);
}

std::optional<object_kind> parse_object_kind(std::string_view text)
{
    const auto* const found =
        std::find_if(all_object_kinds.begin(), all_object_kinds.end(),
                     [&](object_kind kind) { return to_string(kind) == text; });
    if (found == all_object_kinds.end())
        return std::nullopt;
    return *found;
}

} // namespace ragwortcove::core
