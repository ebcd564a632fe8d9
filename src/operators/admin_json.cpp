#include "operators/admin_json.h"

namespace jl::operators::internal {

using nlohmann::json;

json api_json(const std::vector<objects::object_change>& changes)
{
    auto list = json::array();
    for (const auto& change : changes) {
        json item = {{"object", change.object}, {"change", objects::to_text(change.change)}};
        for (const auto& field : change.fields) {
            item["fields"].push_back({{"field", field.field},
                                      {"before", json::parse(field.before, nullptr, false)},
                                      {"after", json::parse(field.after, nullptr, false)}});
        }
        list.push_back(std::move(item));
    }
    return list;
}

json api_json(const std::vector<objects::object_error>& faults)
{
    auto list = json::array();
    for (const auto& fault : faults) {
        list.push_back(
            {{"object", fault.object}, {"field", fault.field}, {"reason", fault.reason}});
    }
    return list;
}

json api_json(const objects::published_configuration& published)
{
    return {{"generation", published.generation},
            {"author", published.author},
            {"published_at_ms", published.published_at.count()},
            {"write_id", published.write_id}};
}

json api_json(const budget_headroom& headroom)
{
    return {{"budget", headroom.budget},           {"scope", headroom.scope},
            {"scope_name", headroom.scope_name},   {"vms", headroom.vms},
            {"unavailable", headroom.unavailable}, {"unavailable_vms", headroom.unavailable_vms},
            {"allowed", headroom.allowed},         {"left", headroom.left()}};
}

json api_json(const wave_progress& progress)
{
    return {{"wave", progress.wave},
            {"state", records::to_text(progress.state)},
            {"changed_by", progress.changed_by},
            {"pools", progress.pools},
            {"period_start_ms", progress.period_start.count()},
            {"period_end_ms", progress.period_end.count()},
            {"vms", progress.vms},
            {"done", progress.done},
            {"remaining", progress.remaining()},
            {"in_progress", progress.in_progress},
            {"blocking", progress.blocking}};
}

json api_json(const vm_picture& vm)
{
    json value = {{"vm", vm.state.vm},
                  {"pool", vm.state.pool},
                  {"phase", records::to_text(vm.state.phase)},
                  {"data_centre", vm.state.data_centre},
                  {"rack", vm.state.rack},
                  {"address", vm.state.address.to_string()},
                  {"listed_live", vm.state.listed_live},
                  {"usable", vm.state.usable()},
                  {"record_revision", vm.state.record_revision}};
    if (vm.record) {
        value["operation_id"] = vm.record->operation_id;
        value["reason"] = vm.record->reason;
        value["move_to_pool"] = vm.record->move_to_pool;
        value["phase_since_ms"] = vm.record->phase_since.count();
        value["maintained_at_ms"] = vm.record->maintained_at.count();
    }
    return value;
}

json api_json(const vm_explanation& explanation)
{
    json value = api_json(explanation.vm);
    value["service"] = explanation.service;
    value["budgets"] = api_json_list(explanation.budgets);
    value["waves"] = explanation.waves;
    value["blocking"] = explanation.blocking;
    value["acknowledgments"] = json::array();
    for (const auto& entry : explanation.acknowledgments) {
        value["acknowledgments"].push_back({{"member", entry.member},
                                            {"alive", entry.alive},
                                            {"acknowledged", entry.acknowledged},
                                            {"in_flight", entry.in_flight}});
    }
    if (explanation.drain) {
        value["drain"] = api_json(*explanation.drain);
    }
    return value;
}

json api_json(const in_force_report& report)
{
    return {{"generation", report.generation},
            {"entries", report.entries},
            {"acknowledged", report.acknowledged},
            {"in_force", report.in_force()},
            {"behind", report.behind}};
}

json api_json(const service_summary& summary)
{
    return {{"service", summary.service},           {"waiting", summary.waiting},
            {"running", summary.running},           {"slots", summary.slots},
            {"arrival_rate", summary.arrival_rate}, {"backlog", summary.backlog},
            {"max_backlog", summary.max_backlog}};
}

json api_json(const cluster::member_status& member)
{
    return {{"member", member.member.member},
            {"data_centre", member.member.data_centre},
            {"caller_address", member.member.caller_address},
            {"alive", member.alive},
            {"generation", member.generation},
            {"store_reachable", member.store_reachable},
            {"report_age_ms", member.report_age.count()}};
}

json api_json(const records::operator_action_record& action)
{
    return {{"operator", action.operator_name},
            {"action", action.action},
            {"subject", action.subject},
            {"at_ms", action.at.count()},
            {"write_id", action.write_id}};
}

json api_json(const records::operator_drain_record& drain)
{
    return {{"vm", drain.vm},
            {"requested_by", drain.requested_by},
            {"requested_at_ms", drain.requested_at.count()}};
}

json api_json(const records::request_record& request)
{
    return {{"id", request.id},
            {"service", request.service},
            {"team", request.team},
            {"class", request.request_class},
            {"state", records::to_text(request.state)},
            {"idempotent", request.idempotent},
            {"holder", request.holder},
            {"accepted_at_ms", request.accepted_at.count()},
            {"expires_at_ms", request.expires_at.count()},
            {"answer_status", request.answer_status}};
}

} // namespace jl::operators::internal
