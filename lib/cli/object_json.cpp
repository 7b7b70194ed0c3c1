#include "ragwortcove/cli/object_json.hpp"

#include "ragwortcove/core/object_fields.hpp"

#include <boost/json.hpp>

namespace ragwortcove::cli {

namespace json = boost::json;

static json::object to_json(const core::object& value, std::string_view change_id)
{
    json::object fields;
    for (const core::field& each : core::to_fields(value))
        fields[each.key] = each.value;
    return json::object{{"kind", to_string(value.key.kind)},
                        {"name", value.key.name},
                        {"revision", value.written_at.value},
                        {"change", change_id},
                        {"fields", std::move(fields)}};
}

std::string write_json(const core::object& value, std::string_view change_id)
{
    return json::serialize(to_json(value, change_id));
}

std::string write_json(const core::platform_listed& list)
{
    json::array objects;
    for (const core::object& each : list.objects)
        objects.push_back(to_json(each, ""));
    return json::serialize(json::object{
        {"store", list.store.value}, {"revision", list.at.value}, {"objects", std::move(objects)}});
}

static json::object change_line(const core::store_id& store, core::revision at)
{
    return json::object{{"store", store.value}, {"revision", at.value}};
}

std::string write_change(const core::store_id& store, core::revision at,
                         const core::object& changed)
{
    json::object line = change_line(store, at);
    line["object"] = to_json(changed, "");
    return json::serialize(line);
}

std::string write_change(const core::store_id& store, core::revision at,
                         const core::object_key& deleted)
{
    json::object line = change_line(store, at);
    line["deleted"] = json::object{{"kind", to_string(deleted.kind)}, {"name", deleted.name}};
    return json::serialize(line);
}

} // namespace ragwortcove::cli
