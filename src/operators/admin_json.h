#pragma once

#include <vector>

#include <nlohmann/json.hpp>

#include "objects/diff.h"
#include "objects/objects.h"
#include "operators/view.h"
#include "records/records.h"

// JSON forms of the administration API's answers.
namespace jl::operators::internal {

nlohmann::json api_json(const std::vector<objects::object_change>& changes);
nlohmann::json api_json(const std::vector<objects::object_error>& faults);
nlohmann::json api_json(const objects::published_configuration& published);
nlohmann::json api_json(const budget_headroom& headroom);
nlohmann::json api_json(const wave_progress& progress);
nlohmann::json api_json(const vm_picture& vm);
nlohmann::json api_json(const vm_explanation& explanation);
nlohmann::json api_json(const in_force_report& report);
nlohmann::json api_json(const service_summary& summary);
nlohmann::json api_json(const cluster::member_status& member);
nlohmann::json api_json(const records::operator_action_record& action);
nlohmann::json api_json(const records::operator_drain_record& drain);
// The body and answer are left out: they are the caller's data.
nlohmann::json api_json(const records::request_record& request);

template <typename Item>
nlohmann::json api_json_list(const std::vector<Item>& items)
{
    auto list = nlohmann::json::array();
    for (const auto& item : items) {
        list.push_back(api_json(item));
    }
    return list;
}

} // namespace jl::operators::internal
