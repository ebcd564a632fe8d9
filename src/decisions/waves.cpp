#include "decisions/waves.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace jl::decisions {

namespace {

using records::vm_phase;
using std::chrono::milliseconds;

// Returns the start of the current period of the wave; nullopt before its first period.
std::optional<milliseconds> current_period_start(const objects::maintenance_wave& wave,
                                                 milliseconds now)
{
    const auto start = std::chrono::duration_cast<milliseconds>(wave.starts_at.time_since_epoch());
    if (now < start) {
        return std::nullopt;
    }
    const milliseconds period = wave.period;
    return start + (now - start) / period * period;
}

records::wave_state wave_state_of(const fleet_snapshot& snapshot, const std::string& wave)
{
    const auto found = snapshot.waves.find(wave);
    return found == snapshot.waves.end() ? records::wave_state::running : found->second;
}

// Returns true if the VM has not been maintained since the start of the period.
bool is_due(const fleet_vm& vm, milliseconds period_began_at)
{
    return vm.record.maintained_at < period_began_at;
}

// Flow network source -> pool -> rack -> data centre -> sink, whose capacities are the disruptions
// that the budgets allow. The budgets of services and pools form one tree and those of racks and
// data centres another, so a maximum flow through both selects a largest allowed set. An edge from
// a pool to a rack stands for their common candidates.
class disruption_flow_network {
public:
    disruption_flow_network(const std::vector<fleet_vm>& vms, const budget_ledger& ledger)
        : vms_(vms), ledger_(ledger)
    {
    }

    // Must be called in order of preference, with the preferred candidate first.
    void add_candidate(std::size_t index)
    {
        const auto& vm = vms_[index];
        const auto data_centre = node_for(data_centre_ids_, data_centres_, vm.data_centre,
                                          ledger_.data_centre_disruptions_allowed(vm.data_centre));
        const auto rack = node_for(rack_ids_, racks_, vm.data_centre + '\n' + vm.rack,
                                   ledger_.rack_disruptions_allowed(vm.rack));
        const auto pool = node_for(pool_ids_, pools_, vm.record.pool,
                                   ledger_.pool_disruptions_allowed(vm.record.pool));
        if (racks_[rack].parent == no_parent_id) {
            racks_[rack].parent = data_centre;
            data_centres_[data_centre].neighbours.push_back(rack);
        }
        const auto key = (static_cast<std::uint64_t>(pool) << 32U) | rack;
        const auto [found, created] = edge_ids_.emplace(key, edges_.size());
        if (created) {
            edges_.push_back({pool, rack, 0, {}});
            pools_[pool].neighbours.push_back(found->second);
            racks_[rack].neighbours.push_back(found->second);
        }
        edges_[found->second].candidates.push_back(index);
        pool_and_edge_by_preference_.emplace_back(pool, found->second);
    }

    std::vector<std::size_t> maximize_flow()
    {
        for (const auto& [pool, edge] : pool_and_edge_by_preference_) {
            if (pools_[pool].exhausted || pools_[pool].flow >= pools_[pool].capacity) {
                continue;
            }
            if (augment_through_edge(edge) || augment_from_pool(pool)) {
                ++pools_[pool].flow;
                clear_visits(false);
                continue;
            }
            // The nodes visited by a failed search have no augmenting path to the sink, and later
            // augmentations do not give them one.
            clear_visits(true);
        }
        std::vector<std::size_t> selected;
        for (const auto& edge : edges_) {
            selected.insert(selected.end(), edge.candidates.begin(),
                            edge.candidates.begin() + edge.used);
        }
        return selected;
    }

private:
    static constexpr std::size_t no_parent_id = ~std::size_t{0};

    struct flow_node {
        int capacity = 0;
        int flow = 0;
        std::size_t parent = no_parent_id;
        std::vector<std::size_t> neighbours; // ids of edges; for a data centre, ids of its racks
        bool visited = false;
        bool exhausted = false; // has no augmenting path to the sink any more
    };
    struct flow_edge {
        std::size_t pool = 0;
        std::size_t rack = 0;
        int used = 0; // flow: number of candidates selected
        std::vector<std::size_t> candidates;
    };

    static std::size_t node_for(std::unordered_map<std::string, std::size_t>& ids,
                                std::vector<flow_node>& nodes, const std::string& name,
                                int capacity)
    {
        const auto [found, created] = ids.emplace(name, nodes.size());
        if (created) {
            nodes.emplace_back();
            nodes.back().capacity = capacity;
        }
        return found->second;
    }

    // Returns false if the current search need not continue at this node.
    bool mark_visited(flow_node& item)
    {
        if (item.visited || item.exhausted) {
            return false;
        }
        item.visited = true;
        visited_.push_back(&item);
        return true;
    }

    // These functions search for a path to the sink with spare capacity, which may redirect
    // existing flow. They return true after adding one unit of flow along such a path.

    bool augment_through_edge(std::size_t id)
    {
        auto& edge = edges_[id];
        if (edge.used >= static_cast<int>(edge.candidates.size()) ||
            !augment_from_rack(edge.rack)) {
            return false;
        }
        ++edge.used;
        return true;
    }

    bool augment_from_pool(std::size_t id)
    {
        if (!mark_visited(pools_[id])) {
            return false;
        }
        const auto& neighbours = pools_[id].neighbours;
        return std::any_of(neighbours.begin(), neighbours.end(),
                           [this](std::size_t edge) { return augment_through_edge(edge); });
    }

    bool augment_from_rack(std::size_t id)
    {
        auto& rack = racks_[id];
        if (!mark_visited(rack)) {
            return false;
        }
        if (rack.flow < rack.capacity && augment_from_data_centre(rack.parent)) {
            ++rack.flow;
            return true;
        }
        for (const auto link : rack.neighbours) {
            if (edges_[link].used > 0 && augment_from_pool(edges_[link].pool)) {
                --edges_[link].used;
                return true;
            }
        }
        return false;
    }

    bool augment_from_data_centre(std::size_t id)
    {
        auto& data_centre = data_centres_[id];
        if (!mark_visited(data_centre)) {
            return false;
        }
        if (data_centre.flow < data_centre.capacity) {
            ++data_centre.flow;
            return true;
        }
        for (const auto rack : data_centre.neighbours) {
            if (racks_[rack].flow > 0 && augment_from_rack(rack)) {
                --racks_[rack].flow;
                return true;
            }
        }
        return false;
    }

    void clear_visits(bool mark_exhausted)
    {
        for (auto* item : visited_) {
            item->visited = false;
            item->exhausted = item->exhausted || mark_exhausted;
        }
        visited_.clear();
    }

    const std::vector<fleet_vm>& vms_;
    const budget_ledger& ledger_;
    std::unordered_map<std::string, std::size_t> pool_ids_;
    std::unordered_map<std::string, std::size_t> rack_ids_;
    std::unordered_map<std::string, std::size_t> data_centre_ids_;
    std::unordered_map<std::uint64_t, std::size_t> edge_ids_;
    std::vector<flow_node> pools_;
    std::vector<flow_node> racks_;
    std::vector<flow_node> data_centres_;
    std::vector<flow_edge> edges_;
    // For each candidate, in order of preference: the ids of its pool and edge.
    std::vector<std::pair<std::size_t, std::size_t>> pool_and_edge_by_preference_;
    std::vector<flow_node*> visited_;
};

// Computes for each candidate how long its most constrained failure domain still needs, in units of
// the duration of one maintenance.
class maintenance_urgency {
public:
    maintenance_urgency(const std::vector<fleet_vm>& vms,
                        const std::vector<std::size_t>& candidates, const budget_ledger& ledger)
        : vms_(vms), ledger_(ledger)
    {
        for (const auto index : candidates) {
            count(vms_[index], 1, 0);
        }
        for (const auto& vm : vms_) {
            if (vm.record.phase != vm_phase::in_service) {
                count(vm, 0, 1);
            }
        }
    }

    double urgency(const fleet_vm& vm) const
    {
        return std::max({rounds_needed(pools_, vm.record.pool,
                                       ledger_.pool_disruptions_allowed(vm.record.pool)),
                         rounds_needed(racks_, vm.rack, ledger_.rack_disruptions_allowed(vm.rack)),
                         rounds_needed(data_centres_, vm.data_centre,
                                       ledger_.data_centre_disruptions_allowed(vm.data_centre))});
    }

private:
    struct failure_domain {
        int due = 0;
        int in_progress = 0;
    };
    using failure_domain_map = std::unordered_map<std::string, failure_domain>;

    void count(const fleet_vm& vm, int due, int in_progress)
    {
        for (auto* item :
             {&pools_[vm.record.pool], &racks_[vm.rack], &data_centres_[vm.data_centre]}) {
            item->due += due;
            item->in_progress += in_progress;
        }
    }

    static double rounds_needed(const failure_domain_map& map, const std::string& name,
                                int disruptions_allowed)
    {
        const auto found = map.find(name);
        if (found == map.end()) {
            return 0;
        }
        return static_cast<double>(found->second.due) /
               std::max(1, disruptions_allowed + found->second.in_progress);
    }

    const std::vector<fleet_vm>& vms_;
    const budget_ledger& ledger_;
    failure_domain_map pools_;
    failure_domain_map racks_;
    failure_domain_map data_centres_;
};

} // namespace

std::vector<wave_progress> describe_waves(const fleet_snapshot& snapshot)
{
    std::vector<wave_progress> result;
    for (const auto& wave : snapshot.configuration->waves) {
        const auto start = current_period_start(wave, snapshot.now);
        if (!start) {
            continue;
        }
        wave_progress progress;
        progress.wave = wave.name;
        progress.state = wave_state_of(snapshot, wave.name);
        progress.period_start = *start;
        const std::unordered_set<std::string> pools(wave.pools.begin(), wave.pools.end());
        const std::string reason = "wave " + wave.name;
        for (const auto& vm : snapshot.vms) {
            if (pools.count(vm.record.pool) == 0) {
                continue;
            }
            if (!is_due(vm, *start)) {
                ++progress.done;
            }
            else if (vm.record.phase != vm_phase::in_service && vm.record.reason == reason) {
                ++progress.in_progress;
            }
            else {
                ++progress.due;
            }
        }
        result.push_back(std::move(progress));
    }
    return result;
}

std::vector<std::size_t> largest_allowed_set(const std::vector<fleet_vm>& vms,
                                             const std::vector<std::size_t>& candidates,
                                             const budget_ledger& ledger)
{
    const maintenance_urgency urgencies(vms, candidates, ledger);
    std::vector<std::pair<double, std::size_t>> ranked;
    ranked.reserve(candidates.size());
    for (const auto index : candidates) {
        ranked.emplace_back(-urgencies.urgency(vms[index]), index);
    }
    std::sort(ranked.begin(), ranked.end());
    disruption_flow_network flow(vms, ledger);
    for (const auto& [urgency, index] : ranked) {
        flow.add_candidate(index);
    }
    // If a rack name occurs in several data centres, the budgets do not form a tree and the flow
    // may select too many VMs, so each selected VM is checked against the ledger again.
    std::vector<std::size_t> selected;
    budget_ledger remaining = ledger;
    for (const auto index : flow.maximize_flow()) {
        if (remaining.allows(index)) {
            remaining.record_disruption(index);
            selected.push_back(index);
        }
    }
    return selected;
}

void plan_maintenance(const fleet_snapshot& snapshot, const planning_limits& limits,
                      budget_ledger& ledger, fleet_plan& plan)
{
    if (!may_start_drains(snapshot).allowed) {
        return;
    }
    const auto add_drain = [&](std::size_t index, const std::string& reason) {
        ledger.record_disruption(index);
        plan.steps.push_back(start_drain(snapshot, snapshot.vms[index], reason, ""));
    };
    const auto can_start_drain = [&](const fleet_vm& vm) {
        return vm.record_revision != 0 && vm.available() &&
               !recently_withdrawn(snapshot, limits, vm);
    };
    for (std::size_t index = 0; index < snapshot.vms.size(); ++index) {
        const auto& vm = snapshot.vms[index];
        const auto request = snapshot.operator_drains.find(vm.record.vm);
        if (request != snapshot.operator_drains.end() && can_start_drain(vm) &&
            ledger.allows(index)) {
            add_drain(index, "operator " + request->second.requested_by);
        }
    }
    std::vector<std::size_t> candidates;
    std::unordered_map<std::size_t, std::string> reasons;
    for (const auto& wave : snapshot.configuration->waves) {
        const auto period_began_at = current_period_start(wave, snapshot.now);
        if (!period_began_at ||
            wave_state_of(snapshot, wave.name) != records::wave_state::running) {
            continue;
        }
        const std::unordered_set<std::string> pools(wave.pools.begin(), wave.pools.end());
        for (std::size_t index = 0; index < snapshot.vms.size(); ++index) {
            const auto& vm = snapshot.vms[index];
            if (pools.count(vm.record.pool) != 0 && can_start_drain(vm) &&
                is_due(vm, *period_began_at) && ledger.allows(index) &&
                reasons.emplace(index, "wave " + wave.name).second) {
                candidates.push_back(index);
            }
        }
    }
    for (const auto index : largest_allowed_set(snapshot.vms, candidates, ledger)) {
        add_drain(index, reasons.at(index));
    }
}

} // namespace jl::decisions
