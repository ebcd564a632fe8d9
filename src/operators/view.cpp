#include "operators/view.h"

#include <algorithm>

namespace jl::operators {

namespace {

using objects::budget_scope;
using records::vm_phase;

bool available(const vm_picture& vm)
{
    return vm.state.usable();
}

// Name of the budget's scope that the VM belongs to, or nothing if the budget does not cover it.
std::optional<std::string> scope_of(const objects::object_set& set, const objects::budget& budget,
                                    const cluster::vm_state& vm)
{
    std::string name;
    switch (budget.scope) {
    case budget_scope::pool:
        name = vm.pool;
        break;
    case budget_scope::service:
        if (const auto* service = set.find_service_of_pool(vm.pool)) {
            name = service->name;
        }
        break;
    case budget_scope::rack:
        name = vm.rack;
        break;
    case budget_scope::data_centre:
        name = vm.data_centre;
        break;
    }
    const bool each = budget.scope_name == "*" && (budget.scope == budget_scope::rack ||
                                                   budget.scope == budget_scope::data_centre);
    if (name.empty() || (!each && name != budget.scope_name)) {
        return std::nullopt;
    }
    return name;
}

int allowed_unavailable(const objects::budget& budget, int vms)
{
    int allowed = vms;
    if (budget.min_available) {
        allowed = std::min(allowed, vms - *budget.min_available);
    }
    if (budget.max_unavailable) {
        allowed = std::min(allowed, *budget.max_unavailable);
    }
    if (budget.max_unavailable_percent) {
        allowed = std::min(allowed, vms * *budget.max_unavailable_percent / 100);
    }
    return std::max(0, allowed);
}

std::string describe(const budget_headroom& headroom)
{
    std::string text = "budget " + headroom.budget + " (" + headroom.scope + " " +
                       headroom.scope_name + ") allows " + std::to_string(headroom.allowed) +
                       " unavailable VMs and has " + std::to_string(headroom.unavailable);
    for (std::size_t index = 0; index < headroom.unavailable_vms.size() && index < 5; ++index) {
        text += (index == 0 ? ": " : ", ") + headroom.unavailable_vms[index];
    }
    return text;
}

bool selects(const wave_progress& wave, const std::string& pool)
{
    return std::find(wave.pools.begin(), wave.pools.end(), pool) != wave.pools.end();
}

bool maintained_since(const vm_picture& vm, std::chrono::milliseconds start)
{
    return vm.record && vm.record->maintained_at >= start && vm.record->maintained_at.count() > 0;
}

// Budgets without headroom that cover the VM.
std::vector<budget_headroom> covering_budgets(const cluster_picture& picture,
                                              const std::vector<budget_headroom>& headrooms,
                                              const cluster::vm_state& vm)
{
    std::vector<budget_headroom> covering;
    for (const auto& budget : picture.configuration->budgets) {
        const auto scope = scope_of(*picture.configuration, budget, vm);
        for (const auto& headroom : headrooms) {
            if (scope && headroom.budget == budget.name && headroom.scope_name == *scope) {
                covering.push_back(headroom);
            }
        }
    }
    return covering;
}

// Drains start only while every entry that may still send work can acknowledge them.
std::vector<std::string> entry_reasons(const cluster_picture& picture)
{
    std::vector<std::string> reasons;
    std::size_t alive = 0;
    for (const auto& member : picture.members) {
        if (member.alive) {
            ++alive;
        }
        else {
            reasons.push_back("entry " + member.member.member + " is not heard of");
        }
    }
    if (alive * 2 <= picture.members.size()) {
        reasons.emplace_back("not more than half of the entries are alive");
    }
    return reasons;
}

std::vector<std::string> blocking_reasons(const cluster_picture& picture,
                                          const std::vector<budget_headroom>& headrooms,
                                          const wave_progress& wave)
{
    if (wave.state == records::wave_state::paused) {
        return {"paused by " + wave.changed_by};
    }
    if (wave.state == records::wave_state::cancelled) {
        return {"cancelled by " + wave.changed_by};
    }
    if (picture.now < wave.period_start) {
        return {"the first period has not started"};
    }
    auto reasons = entry_reasons(picture);
    const bool entries_ready = reasons.empty();
    int candidates = 0;
    int unblocked = 0;
    for (const auto& vm : picture.vms) {
        if (!selects(wave, vm.state.pool) || maintained_since(vm, wave.period_start) ||
            !available(vm)) {
            continue;
        }
        ++candidates;
        bool blocked = false;
        for (const auto& headroom : covering_budgets(picture, headrooms, vm.state)) {
            if (headroom.left() > 0) {
                continue;
            }
            blocked = true;
            auto reason = describe(headroom);
            if (std::find(reasons.begin(), reasons.end(), reason) == reasons.end()) {
                reasons.push_back(std::move(reason));
            }
        }
        unblocked += blocked ? 0 : 1;
    }
    if (candidates == 0 || (entries_ready && unblocked > 0)) {
        return {};
    }
    return reasons;
}

wave_progress make_progress(const cluster_picture& picture,
                            const objects::maintenance_wave& configured)
{
    wave_progress wave;
    wave.wave = configured.name;
    wave.pools = configured.pools;
    for (const auto& record : picture.waves) {
        if (record.wave == configured.name) {
            wave.state = record.state;
            wave.changed_by = record.changed_by;
        }
    }
    const auto start = to_unix(configured.starts_at);
    const std::chrono::milliseconds period = configured.period;
    const auto passed = picture.now < start ? 0 : (picture.now - start) / period;
    wave.period_start = start + passed * period;
    wave.period_end = wave.period_start + period;
    for (const auto& vm : picture.vms) {
        if (!selects(wave, vm.state.pool)) {
            continue;
        }
        ++wave.vms;
        if (maintained_since(vm, wave.period_start)) {
            ++wave.done;
        }
        if (vm.record && vm.record->reason == "wave " + wave.wave &&
            vm.state.phase != vm_phase::in_service) {
            wave.in_progress.push_back(vm.state.vm);
        }
    }
    return wave;
}

std::vector<vm_explanation::acknowledgment> collect_acknowledgments(const cluster_picture& picture,
                                                                    const cluster::vm_state& vm)
{
    std::vector<vm_explanation::acknowledgment> collected;
    for (const auto& member : picture.members) {
        vm_explanation::acknowledgment entry;
        entry.member = member.member.member;
        entry.alive = member.alive;
        for (const auto& acknowledgment : member.acknowledgments) {
            if (acknowledgment.vm == vm.vm &&
                acknowledgment.record_revision == vm.record_revision) {
                entry.acknowledged = true;
                entry.in_flight = acknowledgment.in_flight;
            }
        }
        collected.push_back(std::move(entry));
    }
    return collected;
}

void explain_drain(vm_explanation& explanation)
{
    for (const auto& entry : explanation.acknowledgments) {
        if (!entry.acknowledged) {
            explanation.blocking.push_back("entry " + entry.member +
                                           " has not acknowledged the drain" +
                                           (entry.alive ? "" : " and is not heard of"));
        }
        else if (entry.in_flight > 0) {
            explanation.blocking.push_back("entry " + entry.member + " has " +
                                           std::to_string(entry.in_flight) +
                                           " requests in flight to the VM");
        }
    }
}

void explain_blocking(vm_explanation& explanation, const std::vector<wave_progress>& waves)
{
    const auto& state = explanation.vm.state;
    if (state.phase == vm_phase::preparing || state.phase == vm_phase::leaving) {
        explain_drain(explanation);
        return;
    }
    if (!state.listed_live) {
        explanation.blocking.emplace_back("the VM list does not show the VM as live");
    }
    if (state.phase != vm_phase::in_service) {
        return;
    }
    bool wanted = explanation.drain.has_value();
    for (const auto& wave : waves) {
        if (!selects(wave, state.pool)) {
            continue;
        }
        if (maintained_since(explanation.vm, wave.period_start)) {
            continue;
        }
        wanted = wanted || wave.state == records::wave_state::running;
        if (wave.state != records::wave_state::running) {
            explanation.blocking.push_back("wave " + wave.wave + " was " +
                                           records::to_text(wave.state) + " by " + wave.changed_by);
        }
    }
    for (const auto& headroom : explanation.budgets) {
        if (wanted && headroom.left() <= 0) {
            explanation.blocking.push_back(describe(headroom));
        }
    }
}

} // namespace

const char* scope_text(budget_scope scope)
{
    switch (scope) {
    case budget_scope::service:
        return "service";
    case budget_scope::pool:
        return "pool";
    case budget_scope::rack:
        return "rack";
    case budget_scope::data_centre:
        break;
    }
    return "data_centre";
}

std::vector<budget_headroom> budget_headrooms(const cluster_picture& picture)
{
    std::vector<budget_headroom> headrooms;
    if (!picture.configuration) {
        return headrooms;
    }
    for (const auto& budget : picture.configuration->budgets) {
        std::map<std::string, budget_headroom> scopes;
        if (budget.scope_name != "*") {
            scopes[budget.scope_name]; // reported also without any VM
        }
        for (const auto& vm : picture.vms) {
            const auto scope = scope_of(*picture.configuration, budget, vm.state);
            if (!scope) {
                continue;
            }
            auto& headroom = scopes[*scope];
            ++headroom.vms;
            if (!available(vm)) {
                ++headroom.unavailable;
                headroom.unavailable_vms.push_back(vm.state.vm);
            }
        }
        for (auto& [name, headroom] : scopes) {
            headroom.budget = budget.name;
            headroom.scope = scope_text(budget.scope);
            headroom.scope_name = name;
            headroom.allowed = allowed_unavailable(budget, headroom.vms);
            headrooms.push_back(std::move(headroom));
        }
    }
    return headrooms;
}

std::vector<wave_progress> wave_progresses(const cluster_picture& picture)
{
    std::vector<wave_progress> progresses;
    if (!picture.configuration) {
        return progresses;
    }
    const auto headrooms = budget_headrooms(picture);
    for (const auto& configured : picture.configuration->waves) {
        auto wave = make_progress(picture, configured);
        wave.blocking = blocking_reasons(picture, headrooms, wave);
        progresses.push_back(std::move(wave));
    }
    return progresses;
}

std::optional<vm_explanation> explain_vm(const cluster_picture& picture, const std::string& name)
{
    const auto found = std::find_if(picture.vms.begin(), picture.vms.end(),
                                    [&](const vm_picture& vm) { return vm.state.vm == name; });
    if (found == picture.vms.end()) {
        return std::nullopt;
    }
    vm_explanation explanation;
    explanation.vm = *found;
    for (const auto& drain : picture.drains) {
        if (drain.vm == name) {
            explanation.drain = drain;
        }
    }
    explanation.acknowledgments = collect_acknowledgments(picture, found->state);
    if (picture.configuration) {
        if (const auto* service = picture.configuration->find_service_of_pool(found->state.pool)) {
            explanation.service = service->name;
        }
        explanation.budgets = covering_budgets(picture, budget_headrooms(picture), found->state);
    }
    const auto waves = wave_progresses(picture);
    for (const auto& wave : waves) {
        if (selects(wave, found->state.pool)) {
            explanation.waves.push_back(wave.wave);
        }
    }
    explain_blocking(explanation, waves);
    return explanation;
}

in_force_report report_in_force(std::int64_t stored_generation,
                                const std::vector<cluster::member_status>& members,
                                const std::set<std::string>& registered)
{
    auto unheard = registered;
    in_force_report report;
    report.generation = stored_generation;
    for (const auto& member : members) {
        if (!member.alive) {
            continue;
        }
        unheard.erase(member.member.member);
        ++report.entries;
        // A higher generation was published after the store was read.
        if (member.generation >= stored_generation) {
            ++report.acknowledged;
        }
        else {
            report.behind.push_back(member.member.member + " (generation " +
                                    std::to_string(member.generation) + ")");
        }
    }
    report.entries += static_cast<int>(unheard.size());
    for (const auto& member : unheard) {
        report.behind.push_back(member + " (not heard of)");
    }
    return report;
}

std::vector<service_summary> summarize_services(const cluster_picture& picture)
{
    std::vector<service_summary> summaries;
    if (!picture.configuration) {
        return summaries;
    }
    for (const auto& service : picture.configuration->services) {
        service_summary summary;
        summary.service = service.name;
        summary.max_backlog = service.max_backlog;
        for (const auto& member : picture.members) {
            for (const auto& load : member.loads) {
                if (!member.alive || load.service != service.name) {
                    continue;
                }
                summary.waiting += load.waiting;
                summary.running += load.running;
                summary.backlog += load.backlog;
                summary.arrival_rate += load.arrival_rate;
            }
        }
        for (const auto& vm : picture.vms) {
            if (vm.state.pool == service.pool && vm.state.usable()) {
                summary.slots += service.slots_per_instance;
            }
        }
        summaries.push_back(std::move(summary));
    }
    return summaries;
}

} // namespace jl::operators
