#include "objects/objects.h"

#include <nlohmann/json.hpp>

#include "base/json.h"

namespace jl::objects {

namespace {

template <typename Items>
auto* find_by_name(const Items& items, std::string_view name)
{
    for (const auto& item : items) {
        if (item.name == name) {
            return &item;
        }
    }
    return static_cast<decltype(&*items.begin())>(nullptr);
}

} // namespace

const pool* object_set::find_pool(std::string_view name) const
{
    return find_by_name(pools, name);
}

const service* object_set::find_service(std::string_view name) const
{
    return find_by_name(services, name);
}

const service* object_set::find_service_of_pool(std::string_view pool_name) const
{
    for (const auto& item : services) {
        if (item.pool == pool_name) {
            return &item;
        }
    }
    return nullptr;
}

const team* object_set::find_team(std::string_view name) const
{
    return find_by_name(teams, name);
}

std::string object_error::to_string() const
{
    return object + (field.empty() ? "" : ", field " + field) + ": " + reason;
}

std::string to_json(const published_configuration& configuration)
{
    return nlohmann::json{{"generation", configuration.generation},
                          {"author", configuration.author},
                          {"published_at_ms", configuration.published_at.count()},
                          {"write_id", configuration.write_id},
                          {"document", configuration.document}}
        .dump();
}

std::optional<published_configuration> parse_published(std::string_view text)
{
    const auto value = parse_json(text);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        published_configuration configuration;
        configuration.generation = value.at("generation").get<std::int64_t>();
        configuration.author = value.at("author").get<std::string>();
        configuration.published_at =
            std::chrono::milliseconds(value.at("published_at_ms").get<std::int64_t>());
        configuration.write_id = value.at("write_id").get<std::string>();
        configuration.document = value.at("document").get<std::string>();
        return configuration;
    }
    catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace jl::objects
