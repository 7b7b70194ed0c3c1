#include "ragwortcove/platform/codec.hpp"

#include "ragwortcove/core/object_fields.hpp"

#include <boost/json.hpp>

namespace ragwortcove::platform {

namespace json = boost::json;
namespace leaf = boost::leaf;

static json::value to_json(const core::object& value, std::string_view change_id)
{
    json::object fields;
    for (const auto& field : core::to_fields(value))
        fields[field.key] = field.value;
    return json::object{{"kind", to_string(value.key.kind)},
                        {"name", value.key.name},
                        {"revision", value.written_at.value},
                        {"change", change_id},
                        {"fields", std::move(fields)}};
}

static auto wrong(std::string message)
{
    return leaf::new_error(codec_error{std::move(message)});
}

static leaf::result<json::object> parse_json(std::string_view text)
{
    json::error_code code;
    auto value = json::parse(text, code);
    if (code)
        return wrong("not JSON: " + code.message());
    auto* object = value.if_object();
    if (object == nullptr)
        return wrong("not a JSON object");
    return std::move(*object);
}

static leaf::result<std::string> text_member(const json::object& from, std::string_view key)
{
    const auto* member = from.if_contains(key);
    const auto* text = member == nullptr ? nullptr : member->if_string();
    if (text == nullptr)
        return wrong("no text \"" + std::string(key) + "\"");
    return std::string(text->begin(), text->end());
}

static leaf::result<core::revision> revision_member(const json::object& from)
{
    const auto* member = from.if_contains("revision");
    json::error_code code;
    const auto number = member == nullptr ? 0 : member->to_number<std::uint64_t>(code);
    if (member == nullptr || code)
        return wrong("no whole number \"revision\"");
    return core::revision{number};
}

static leaf::result<void> read_key(const json::object& from, core::object_key& into)
{
    BOOST_LEAF_AUTO(kind_text, text_member(from, "kind"));
    BOOST_LEAF_ASSIGN(into.name, text_member(from, "name"));
    const auto kind = core::parse_object_kind(kind_text);
    if (!kind)
        return wrong("unknown kind \"" + kind_text + "\"");
    into.kind = *kind;
    return {};
}

static leaf::result<std::vector<core::field>> fields_member(const json::object& from)
{
    const auto* member = from.if_contains("fields");
    const auto* fields = member == nullptr ? nullptr : member->if_object();
    if (fields == nullptr)
        return wrong("no object \"fields\"");
    std::vector<core::field> read;
    for (const auto& each : *fields) {
        const std::string key(each.key());
        BOOST_LEAF_AUTO(value, text_member(*fields, key));
        read.push_back({key, std::move(value)});
    }
    return read;
}

static leaf::result<stored_object> object_from(const json::object& from)
{
    core::object_key key;
    BOOST_LEAF_CHECK(read_key(from, key));
    BOOST_LEAF_AUTO(revision, revision_member(from));
    BOOST_LEAF_AUTO(change, text_member(from, "change"));
    BOOST_LEAF_AUTO(fields, fields_member(from));
    BOOST_LEAF_AUTO(value, core::parse_object(key, fields));
    value.written_at = revision;
    return stored_object{std::move(value), std::move(change)};
}

std::string encode_object(const core::object& value, std::string_view change_id)
{
    return json::serialize(to_json(value, change_id));
}

leaf::result<stored_object> decode_object(std::string_view text)
{
    BOOST_LEAF_AUTO(from, parse_json(text));
    return object_from(from);
}

std::string encode_list(const object_list& list)
{
    json::array objects;
    for (const auto& each : list.objects)
        objects.push_back(to_json(each.value, each.change_id));
    return json::serialize(json::object{
        {"store", list.store.value}, {"revision", list.at.value}, {"objects", std::move(objects)}});
}

leaf::result<object_list> decode_list(std::string_view text)
{
    BOOST_LEAF_AUTO(from, parse_json(text));
    object_list list;
    BOOST_LEAF_ASSIGN(list.store.value, text_member(from, "store"));
    BOOST_LEAF_ASSIGN(list.at, revision_member(from));
    const auto* member = from.if_contains("objects");
    const auto* objects = member == nullptr ? nullptr : member->if_array();
    if (objects == nullptr)
        return wrong("no array \"objects\"");
    for (const auto& each : *objects) {
        const auto* object = each.if_object();
        if (object == nullptr)
            return wrong("not a JSON object in \"objects\"");
        BOOST_LEAF_AUTO(stored, object_from(*object));
        list.objects.push_back(std::move(stored));
    }
    return list;
}

std::string encode_written(core::revision at)
{
    return json::serialize(json::object{{"revision", at.value}});
}

leaf::result<core::revision> decode_written(std::string_view text)
{
    BOOST_LEAF_AUTO(from, parse_json(text));
    return revision_member(from);
}

std::string encode_conflict(const write_conflict& conflict)
{
    json::value current;
    if (conflict.current)
        current = to_json(conflict.current->value, conflict.current->change_id);
    return json::serialize(json::object{{"current", std::move(current)}});
}

leaf::result<write_conflict> decode_conflict(std::string_view text)
{
    BOOST_LEAF_AUTO(from, parse_json(text));
    const auto* current = from.if_contains("current");
    if (current == nullptr)
        return wrong("no \"current\"");
    if (current->is_null())
        return write_conflict{};
    const auto* object = current->if_object();
    if (object == nullptr)
        return wrong("\"current\" is neither an object nor null");
    BOOST_LEAF_AUTO(stored, object_from(*object));
    return write_conflict{std::move(stored)};
}

namespace {

/// Adds a watch line's change to its JSON object.
struct change_writer {
    json::object& target;
    void operator()(const watch_line::heartbeat&) const {}
    void operator()(const core::object& changed) const
    {
        this->target["object"] = to_json(changed, "");
    }
    void operator()(const core::object_key& deleted) const
    {
        this->target["deleted"] =
            json::object{{"kind", to_string(deleted.kind)}, {"name", deleted.name}};
    }
};

} // namespace

std::string encode_watch_line(const watch_line& line)
{
    json::object target{{"store", line.store.value}, {"revision", line.at.value}};
    std::visit(change_writer{target}, line.change);
    return json::serialize(target);
}

leaf::result<watch_line> decode_watch_line(std::string_view text)
{
    BOOST_LEAF_AUTO(from, parse_json(text));
    watch_line line;
    BOOST_LEAF_ASSIGN(line.store.value, text_member(from, "store"));
    BOOST_LEAF_ASSIGN(line.at, revision_member(from));
    if (const auto* changed = from.if_contains("object"); changed != nullptr) {
        if (!changed->is_object())
            return wrong("\"object\" is not a JSON object");
        BOOST_LEAF_AUTO(stored, object_from(changed->get_object()));
        line.change = std::move(stored.value);
        return line;
    }
    if (const auto* deleted = from.if_contains("deleted"); deleted != nullptr) {
        if (!deleted->is_object())
            return wrong("\"deleted\" is not a JSON object");
        core::object_key key;
        BOOST_LEAF_CHECK(read_key(deleted->get_object(), key));
        line.change = std::move(key);
    }
    return line;
}

std::string encode_problem(std::string_view message)
{
    return json::serialize(json::object{{"message", message}});
}

std::string decode_problem(std::string_view text)
{
    json::error_code code;
    const auto value = json::parse(text, code);
    const auto* object = code ? nullptr : value.if_object();
    const auto* message = object == nullptr ? nullptr : object->if_contains("message");
    if (message == nullptr || !message->is_string())
        return std::string(text);
    return std::string(message->get_string().begin(), message->get_string().end());
}

} // namespace ragwortcove::platform
