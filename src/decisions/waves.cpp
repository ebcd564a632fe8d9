#include "decisions/waves.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace jl::decisions {

namespace {

using records::vm_phase;
using std::chrono::milliseconds;

std::optional<milliseconds> period_start(const objects::maintenance_wave& wave, milliseconds now)
{
    const auto start = std::chrono::duration_cast<milliseconds>(wave.starts_at.time_since_epoch());
    if (now < start) {
        return std::nullopt;
    }
    const milliseconds period = wave.period;
    return start + (now - start) / period * period;
}

records::wave_state state_of(const fleet_snapshot& snapshot, const std::string& wave)
{
    const auto found = snapshot.waves.find(wave);
    return found == snapshot.waves.end() ? records::wave_state::running : found->second;
}

bool due(const fleet_vm& vm, milliseconds start)
{
    return vm.record.maintained_at < start;
}

// Flow network pool -> rack -> data centre. Budgets of services and pools, and those of racks and
// data centres, each form a tree, so a maximum flow through both is a largest allowed set.
class disruption_flow {
public:
    disruption_flow(const std::vector<fleet_vm>& vms, const budget_ledger& ledger)
        : vms_(vms), ledger_(ledger)
    {
    }

    // Adds candidates in order of preference.
    void add(std::size_t index)
    {
        const auto& vm = vms_[index];
        const auto centre =
            node(centre_ids_, centres_, vm.data_centre, ledger_.data_centre_room(vm.data_centre));
        const auto rack =
            node(rack_ids_, racks_, vm.data_centre + '\n' + vm.rack, ledger_.rack_room(vm.rack));
        const auto pool =
            node(pool_ids_, pools_, vm.record.pool, ledger_.pool_room(vm.record.pool));
        if (racks_[rack].parent == no_parent) {
            racks_[rack].parent = centre;
            centres_[centre].links.push_back(rack);
        }
        const auto key = (static_cast<std::uint64_t>(pool) << 32U) | rack;
        const auto [found, created] = edge_ids_.emplace(key, edges_.size());
        if (created) {
            edges_.push_back({pool, rack, 0, {}});
            pools_[pool].links.push_back(found->second);
            racks_[rack].links.push_back(found->second);
        }
        edges_[found->second].candidates.push_back(index);
        order_.emplace_back(pool, found->second);
    }

    std::vector<std::size_t> solve()
    {
        for (const auto& [pool, edge] : order_) {
            if (pools_[pool].dead || pools_[pool].flow >= pools_[pool].capacity) {
                continue;
            }
            if (try_edge(edge) || reach_from_pool(pool)) {
                ++pools_[pool].flow;
                forget_visits(false);
                continue;
            }
            // No node reached by a failed search can reach the sink later either.
            forget_visits(true);
        }
        std::vector<std::size_t> selected;
        for (const auto& edge : edges_) {
            selected.insert(selected.end(), edge.candidates.begin(),
                            edge.candidates.begin() + edge.used);
        }
        return selected;
    }

private:
    static constexpr std::size_t no_parent = ~std::size_t{0};

    struct flow_node {
        int capacity = 0;
        int flow = 0;
        std::size_t parent = no_parent;
        std::vector<std::size_t> links; // edges, for a data centre its racks
        bool visited = false;
        bool dead = false; // cannot reach the sink any more
    };
    struct flow_edge {
        std::size_t pool = 0;
        std::size_t rack = 0;
        int used = 0;
        std::vector<std::size_t> candidates;
    };

    static std::size_t node(std::unordered_map<std::string, std::size_t>& ids,
                            std::vector<flow_node>& nodes, const std::string& name, int capacity)
    {
        const auto [found, created] = ids.emplace(name, nodes.size());
        if (created) {
            nodes.emplace_back();
            nodes.back().capacity = capacity;
        }
        return found->second;
    }

    bool enter(flow_node& item)
    {
        if (item.visited || item.dead) {
            return false;
        }
        item.visited = true;
        visited_.push_back(&item);
        return true;
    }

    bool try_edge(std::size_t id)
    {
        auto& edge = edges_[id];
        if (edge.used >= static_cast<int>(edge.candidates.size()) || !reach_from_rack(edge.rack)) {
            return false;
        }
        ++edge.used;
        return true;
    }

    bool reach_from_pool(std::size_t id)
    {
        if (!enter(pools_[id])) {
            return false;
        }
        const auto& links = pools_[id].links;
        return std::any_of(links.begin(), links.end(),
                           [this](std::size_t edge) { return try_edge(edge); });
    }

    bool reach_from_rack(std::size_t id)
    {
        auto& rack = racks_[id];
        if (!enter(rack)) {
            return false;
        }
        if (rack.flow < rack.capacity && reach_from_centre(rack.parent)) {
            ++rack.flow;
            return true;
        }
        for (const auto link : rack.links) {
            if (edges_[link].used > 0 && reach_from_pool(edges_[link].pool)) {
                --edges_[link].used;
                return true;
            }
        }
        return false;
    }

    bool reach_from_centre(std::size_t id)
    {
        auto& centre = centres_[id];
        if (!enter(centre)) {
            return false;
        }
        if (centre.flow < centre.capacity) {
            ++centre.flow;
            return true;
        }
        for (const auto rack : centre.links) {
            if (racks_[rack].flow > 0 && reach_from_rack(rack)) {
                --racks_[rack].flow;
                return true;
            }
        }
        return false;
    }

    void forget_visits(bool mark_dead)
    {
        for (auto* item : visited_) {
            item->visited = false;
            item->dead = item->dead || mark_dead;
        }
        visited_.clear();
    }

    const std::vector<fleet_vm>& vms_;
    const budget_ledger& ledger_;
    std::unordered_map<std::string, std::size_t> pool_ids_;
    std::unordered_map<std::string, std::size_t> rack_ids_;
    std::unordered_map<std::string, std::size_t> centre_ids_;
    std::unordered_map<std::uint64_t, std::size_t> edge_ids_;
    std::vector<flow_node> pools_;
    std::vector<flow_node> racks_;
    std::vector<flow_node> centres_;
    std::vector<flow_edge> edges_;
    std::vector<std::pair<std::size_t, std::size_t>> order_; // pool and edge of each candidate
    std::vector<flow_node*> visited_;
};

// Candidates with the time that their most constrained failure domain still needs, in units of
// one maintenance.
class urgency_order {
public:
    urgency_order(const std::vector<fleet_vm>& vms, const std::vector<std::size_t>& candidates,
                  const budget_ledger& ledger)
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
        return std::max(
            {rounds(pools_, vm.record.pool, ledger_.pool_room(vm.record.pool)),
             rounds(racks_, vm.rack, ledger_.rack_room(vm.rack)),
             rounds(centres_, vm.data_centre, ledger_.data_centre_room(vm.data_centre))});
    }

private:
    struct domain {
        int due = 0;
        int in_progress = 0;
    };
    using domain_map = std::unordered_map<std::string, domain>;

    void count(const fleet_vm& vm, int due, int in_progress)
    {
        for (auto* item : {&pools_[vm.record.pool], &racks_[vm.rack], &centres_[vm.data_centre]}) {
            item->due += due;
            item->in_progress += in_progress;
        }
    }

    static double rounds(const domain_map& map, const std::string& name, int room)
    {
        const auto found = map.find(name);
        if (found == map.end()) {
            return 0;
        }
        return static_cast<double>(found->second.due) /
               std::max(1, room + found->second.in_progress);
    }

    const std::vector<fleet_vm>& vms_;
    const budget_ledger& ledger_;
    domain_map pools_;
    domain_map racks_;
    domain_map centres_;
};

} // namespace

std::vector<wave_progress> describe_waves(const fleet_snapshot& snapshot)
{
    std::vector<wave_progress> result;
    for (const auto& wave : snapshot.configuration->waves) {
        const auto start = period_start(wave, snapshot.now);
        if (!start) {
            continue;
        }
        wave_progress progress;
        progress.wave = wave.name;
        progress.state = state_of(snapshot, wave.name);
        progress.period_start = *start;
        const std::unordered_set<std::string> pools(wave.pools.begin(), wave.pools.end());
        const std::string reason = "wave " + wave.name;
        for (const auto& vm : snapshot.vms) {
            if (pools.count(vm.record.pool) == 0) {
                continue;
            }
            if (!due(vm, *start)) {
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
    const urgency_order order(vms, candidates, ledger);
    std::vector<std::pair<double, std::size_t>> ranked;
    ranked.reserve(candidates.size());
    for (const auto index : candidates) {
        ranked.emplace_back(-order.urgency(vms[index]), index);
    }
    std::sort(ranked.begin(), ranked.end());
    disruption_flow flow(vms, ledger);
    for (const auto& [urgency, index] : ranked) {
        flow.add(index);
    }
    // Racks whose name occurs in several data centres do not form a tree; the ledger has the last
    // word.
    std::vector<std::size_t> selected;
    budget_ledger check = ledger;
    for (const auto index : flow.solve()) {
        if (check.allows(index)) {
            check.take(index);
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
    const auto start = [&](std::size_t index, const std::string& reason) {
        ledger.take(index);
        plan.steps.push_back(start_drain(snapshot, snapshot.vms[index], reason, ""));
    };
    const auto ready = [&](const fleet_vm& vm) {
        return vm.record_revision != 0 && vm.available() &&
               !recently_withdrawn(snapshot, limits, vm);
    };
    for (std::size_t index = 0; index < snapshot.vms.size(); ++index) {
        const auto& vm = snapshot.vms[index];
        const auto request = snapshot.operator_drains.find(vm.record.vm);
        if (request != snapshot.operator_drains.end() && ready(vm) && ledger.allows(index)) {
            start(index, "operator " + request->second.requested_by);
        }
    }
    std::vector<std::size_t> candidates;
    std::unordered_map<std::size_t, std::string> reasons;
    for (const auto& wave : snapshot.configuration->waves) {
        const auto since = period_start(wave, snapshot.now);
        if (!since || state_of(snapshot, wave.name) != records::wave_state::running) {
            continue;
        }
        const std::unordered_set<std::string> pools(wave.pools.begin(), wave.pools.end());
        for (std::size_t index = 0; index < snapshot.vms.size(); ++index) {
            const auto& vm = snapshot.vms[index];
            if (pools.count(vm.record.pool) != 0 && ready(vm) && due(vm, *since) &&
                ledger.allows(index) && reasons.emplace(index, "wave " + wave.name).second) {
                candidates.push_back(index);
            }
        }
    }
    for (const auto index : largest_allowed_set(snapshot.vms, candidates, ledger)) {
        start(index, reasons.at(index));
    }
}

} // namespace jl::decisions
