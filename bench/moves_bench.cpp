// Replays the capacity decisions over a demand trace in which each queue in turn needs five times
// its mean for some seconds and else a twentieth, and compares them with the offline optimum,
// which knows the whole trace, and with static pools sized for their peak.
#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>
#include <iterator>
#include <limits>
#include <queue>
#include <random>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "decisions/capacity.h"

namespace {

using namespace jl;
using std::chrono::milliseconds;

constexpr int pool_count = 5;
constexpr int trace_seconds = 2400;
constexpr int transit_seconds = 4; // a move through the drain phases, one round of 1 s each
constexpr int min_vms = 2;
constexpr int max_vms = 30;
constexpr double move_cost_seconds = 60; // as in the policy's definition
// The optimum serves all need that can be served, whatever it costs in buffer and moves.
constexpr double unserved_cost = 10000;

struct scenario {
    objects::object_set set;
    std::vector<int> sizes;             // VMs of each pool at the start
    std::vector<std::vector<int>> need; // by second and pool, in VMs
};

struct result {
    int moves = 0;
    double buffer = 0;   // VM-seconds held outside the spare pool above the need
    double unserved = 0; // VM-seconds of need that no VM served
};

// Weights of the deployment's example configuration.
objects::policy read_policy(const std::string& deployment)
{
    std::ifstream file(std::string(JL_SOURCE_DIR) + "/examples/" + deployment + "/objects.json");
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    std::vector<objects::object_error> errors;
    const auto set = objects::parse_objects(text, errors);
    if (!set) {
        throw std::runtime_error("the example objects of " + deployment + " are not valid");
    }
    return set->policy;
}

scenario make_scenario(const std::string& deployment, unsigned seed)
{
    std::mt19937 random(seed);
    scenario made;
    made.set.policy = read_policy(deployment);
    std::vector<double> means;
    for (int index = 0; index < pool_count; ++index) {
        objects::pool pool;
        pool.name = "pool-" + std::to_string(index);
        pool.spare = index == pool_count - 1;
        pool.min_vms = min_vms;
        pool.max_vms = max_vms;
        made.set.pools.push_back(pool);
        objects::service service;
        service.name = "service-" + std::to_string(index);
        service.pool = pool.name;
        made.set.services.push_back(service);
        objects::budget budget;
        budget.name = "keep-" + std::to_string(index);
        budget.scope = objects::budget_scope::service;
        budget.scope_name = service.name;
        budget.min_available = min_vms;
        made.set.budgets.push_back(budget);
        made.sizes.push_back(std::uniform_int_distribution<int>(8, 12)(random));
        // Five times the mean is more than the pool holds.
        means.push_back(made.sizes.back() / 3.0);
    }
    std::uniform_int_distribution<int> duration(20, 40);
    int peak = 0;
    int left = duration(random);
    for (int second = 0; second < trace_seconds; ++second) {
        std::vector<int> need;
        for (int pool = 0; pool < pool_count; ++pool) {
            const double factor = pool == peak ? 5 : 0.05;
            need.push_back(
                static_cast<int>(std::ceil(means[static_cast<std::size_t>(pool)] * factor - 0.01)));
        }
        made.need.push_back(std::move(need));
        if (--left == 0) {
            peak = (peak + 1) % pool_count;
            left = duration(random);
        }
    }
    return made;
}

void account(result& total, const scenario& scenario, int second, const std::vector<int>& sizes)
{
    for (int pool = 0; pool < pool_count; ++pool) {
        const auto index = static_cast<std::size_t>(pool);
        const int need = scenario.need[static_cast<std::size_t>(second)][index];
        total.unserved += std::max(0, need - sizes[index]);
        if (!scenario.set.pools[index].spare) {
            total.buffer += std::max(0, sizes[index] - std::max(need, min_vms));
        }
    }
}

// The decision functions, with each move in transit for a fixed time. They see the need of the
// second before.
result replay(const scenario& scenario)
{
    decisions::fleet_snapshot snapshot;
    snapshot.configuration = std::make_shared<const objects::object_set>(scenario.set);
    snapshot.platform_data_current = true;
    decisions::entry_view entry;
    entry.member = "entry";
    entry.live = true;
    snapshot.entries.push_back(entry);
    for (int pool = 0; pool < pool_count; ++pool) {
        for (int number = 0; number < scenario.sizes[static_cast<std::size_t>(pool)]; ++number) {
            decisions::fleet_vm vm;
            vm.record.pool = scenario.set.pools[static_cast<std::size_t>(pool)].name;
            vm.record.vm = vm.record.pool + "-" + std::to_string(number);
            vm.record_revision = 1;
            vm.rack = "rack-" + std::to_string(number / 4);
            vm.data_centre = "centre";
            vm.listed = true;
            snapshot.vms.push_back(vm);
        }
    }
    std::map<std::string, decisions::pool_outlook> outlooks;
    result total;
    for (int second = 0; second < trace_seconds; ++second) {
        snapshot.now = std::chrono::seconds(second);
        for (auto& vm : snapshot.vms) {
            auto& record = vm.record;
            if (record.phase != records::vm_phase::in_service &&
                snapshot.now - record.phase_since >= std::chrono::seconds(transit_seconds)) {
                record.phase = records::vm_phase::in_service;
                record.pool = record.move_to_pool;
                record.move_to_pool.clear();
            }
        }
        for (int pool = 0; pool < pool_count; ++pool) {
            const auto index = static_cast<std::size_t>(pool);
            outlooks[scenario.set.pools[index].name].forecast.observe(
                snapshot.now,
                scenario.need[static_cast<std::size_t>(std::max(0, second - 1))][index]);
        }
        decisions::budget_ledger ledger(scenario.set, snapshot.vms);
        decisions::fleet_plan plan;
        decisions::plan_moves(snapshot, {}, {}, outlooks, ledger, plan);
        for (const auto& step : plan.steps) {
            ++total.moves;
            for (auto& vm : snapshot.vms) {
                if (vm.record.vm == step.next.vm) {
                    vm.record = step.next;
                }
            }
        }
        std::vector<int> sizes(pool_count);
        for (const auto& vm : snapshot.vms) {
            if (vm.record.phase == records::vm_phase::in_service) {
                ++sizes[static_cast<std::size_t>(vm.record.pool.back() - '0')];
            }
        }
        account(total, scenario, second, sizes);
    }
    return total;
}

// Successive shortest paths over the time-expanded network: one node for each pool and second, one
// unit of flow for each VM. Costs are convex in the number of VMs, so the result is optimal.
class offline_optimum {
public:
    explicit offline_optimum(const scenario& scenario)
        : scenario_(scenario),
          source_(node(0, trace_seconds + transit_seconds + 1)),
          sink_(source_ + 1)
    {
        first_.resize(static_cast<std::size_t>(sink_) + 1, -1);
        build();
    }

    result solve()
    {
        std::vector<double> potential = acyclic_distances();
        int units = 0;
        for (const int size : scenario_.sizes) {
            units += size;
        }
        for (int unit = 0; unit < units; ++unit) {
            if (!augment(potential)) {
                break;
            }
        }
        return read_result();
    }

private:
    struct arc {
        int from;
        int to;
        int next;
        int capacity;
        double cost;
        int pool;        // of a stay, else -1
        int destination; // of a move, else -1
        int second;
    };

    static int node(int pool, int second) { return second * pool_count + pool; }

    void add(int from, int to, int capacity, double cost, int pool = -1, int destination = -1,
             int second = 0)
    {
        arcs_.push_back({from, to, first_[static_cast<std::size_t>(from)], capacity, cost, pool,
                         destination, second});
        first_[static_cast<std::size_t>(from)] = static_cast<int>(arcs_.size()) - 1;
        arcs_.push_back({to, from, first_[static_cast<std::size_t>(to)], 0, -cost, -1, -1, second});
        first_[static_cast<std::size_t>(to)] = static_cast<int>(arcs_.size()) - 1;
    }

    void build()
    {
        constexpr int unlimited = 1000;
        const auto& policy = scenario_.set.policy;
        for (int pool = 0; pool < pool_count; ++pool) {
            add(source_, node(pool, 0), scenario_.sizes[static_cast<std::size_t>(pool)], 0);
        }
        for (int second = 0; second < trace_seconds; ++second) {
            for (int pool = 0; pool < pool_count; ++pool) {
                const auto index = static_cast<std::size_t>(pool);
                const int need =
                    std::max(min_vms, scenario_.need[static_cast<std::size_t>(second)][index]);
                const int next = node(pool, second + 1);
                const int here = node(pool, second);
                // The smallest number of VMs is worth most, then the need.
                add(here, next, min_vms, -2 * unserved_cost, pool, -1, second);
                add(here, next, need - min_vms, -unserved_cost, pool, -1, second);
                add(here, next, max_vms - need,
                    scenario_.set.pools[index].spare ? 0 : policy.buffer_cost, pool, -1, second);
                for (int other = 0; other < pool_count; ++other) {
                    if (other != pool) {
                        add(here, node(other, second + transit_seconds), unlimited,
                            policy.moves * move_cost_seconds, -1, other, second);
                    }
                }
            }
        }
        for (int second = trace_seconds; second <= trace_seconds + transit_seconds; ++second) {
            for (int pool = 0; pool < pool_count; ++pool) {
                add(node(pool, second), sink_, unlimited, 0);
            }
        }
    }

    // Nodes are numbered by time, so one pass gives the shortest distances.
    std::vector<double> acyclic_distances() const
    {
        std::vector<double> distance(first_.size(), std::numeric_limits<double>::infinity());
        distance[static_cast<std::size_t>(source_)] = 0;
        const auto relax = [&](int from) {
            for (int id = first_[static_cast<std::size_t>(from)]; id >= 0;
                 id = arcs_[static_cast<std::size_t>(id)].next) {
                const auto& item = arcs_[static_cast<std::size_t>(id)];
                if (item.capacity > 0) {
                    auto& target = distance[static_cast<std::size_t>(item.to)];
                    target = std::min(target, distance[static_cast<std::size_t>(from)] + item.cost);
                }
            }
        };
        relax(source_);
        for (int id = 0; id < source_; ++id) {
            relax(id);
        }
        return distance;
    }

    bool augment(std::vector<double>& potential)
    {
        const double infinity = std::numeric_limits<double>::infinity();
        std::vector<double> distance(first_.size(), infinity);
        std::vector<int> through(first_.size(), -1);
        using item = std::pair<double, int>;
        std::priority_queue<item, std::vector<item>, std::greater<>> queue;
        distance[static_cast<std::size_t>(source_)] = 0;
        queue.emplace(0, source_);
        while (!queue.empty()) {
            const auto [reached, from] = queue.top();
            queue.pop();
            if (reached > distance[static_cast<std::size_t>(from)]) {
                continue;
            }
            for (int id = first_[static_cast<std::size_t>(from)]; id >= 0;
                 id = arcs_[static_cast<std::size_t>(id)].next) {
                const auto& edge = arcs_[static_cast<std::size_t>(id)];
                if (edge.capacity == 0) {
                    continue;
                }
                const double reduced = edge.cost + potential[static_cast<std::size_t>(from)] -
                                       potential[static_cast<std::size_t>(edge.to)];
                const double candidate = reached + std::max(0.0, reduced);
                if (candidate < distance[static_cast<std::size_t>(edge.to)] - 1e-9) {
                    distance[static_cast<std::size_t>(edge.to)] = candidate;
                    through[static_cast<std::size_t>(edge.to)] = id;
                    queue.emplace(candidate, edge.to);
                }
            }
        }
        if (through[static_cast<std::size_t>(sink_)] < 0) {
            return false;
        }
        for (std::size_t index = 0; index < distance.size(); ++index) {
            if (distance[index] < infinity) {
                potential[index] += distance[index];
            }
        }
        for (int at = sink_; at != source_;) {
            const int id = through[static_cast<std::size_t>(at)];
            --arcs_[static_cast<std::size_t>(id)].capacity;
            ++arcs_[static_cast<std::size_t>(id ^ 1)].capacity;
            at = arcs_[static_cast<std::size_t>(id)].from;
        }
        return true;
    }

    result read_result() const
    {
        result total;
        std::vector<std::vector<int>> sizes(trace_seconds, std::vector<int>(pool_count));
        for (std::size_t id = 0; id < arcs_.size(); id += 2) {
            const int flow = arcs_[id + 1].capacity;
            if (arcs_[id].destination >= 0) {
                total.moves += flow;
            }
            else if (arcs_[id].pool >= 0) {
                sizes[static_cast<std::size_t>(arcs_[id].second)]
                     [static_cast<std::size_t>(arcs_[id].pool)] += flow;
            }
        }
        for (int second = 0; second < trace_seconds; ++second) {
            account(total, scenario_, second, sizes[static_cast<std::size_t>(second)]);
        }
        return total;
    }

    const scenario& scenario_;
    int source_;
    int sink_;
    std::vector<int> first_;
    std::vector<arc> arcs_;
};

result static_pools(const scenario& scenario)
{
    std::vector<int> sizes(pool_count);
    for (const auto& need : scenario.need) {
        for (std::size_t pool = 0; pool < sizes.size(); ++pool) {
            sizes[pool] = std::max({sizes[pool], need[pool], min_vms});
        }
    }
    result total;
    for (int second = 0; second < trace_seconds; ++second) {
        account(total, scenario, second, sizes);
    }
    return total;
}

// Share of the need, in VM-seconds, that VMs in the right pool served.
double served_share(const scenario& scenario, const result& item)
{
    double need = 0;
    for (const auto& second : scenario.need) {
        for (const int vms : second) {
            need += vms;
        }
    }
    return 1 - item.unserved / need;
}

nlohmann::json describe(const scenario& scenario, const result& item)
{
    return {{"served_share", served_share(scenario, item)},
            {"moves", item.moves},
            {"buffer_vm_seconds", item.buffer},
            {"unserved_vm_seconds", item.unserved}};
}

} // namespace

int main(int argc, char** argv)
{
    unsigned seed = 1;
    std::vector<std::string> deployments = {"co-op", "head-office"};
    for (int index = 1; index + 1 < argc; index += 2) {
        if (std::string(argv[index]) == "--seed") {
            seed = static_cast<unsigned>(std::stoul(argv[index + 1]));
        }
        if (std::string(argv[index]) == "--deployment") {
            deployments = {argv[index + 1]};
        }
    }
    nlohmann::json figures = {{"moves_ratio", 0.0}, {"buffer_ratio", 0.0}};
    nlohmann::json baselines;
    for (const auto& deployment : deployments) {
        const auto scenario = make_scenario(deployment, seed);
        const auto ours = replay(scenario);
        const auto best = offline_optimum(scenario).solve();
        const double moves_ratio = ours.moves / std::max(1.0, static_cast<double>(best.moves));
        const double buffer_ratio = ours.buffer / std::max(1.0, best.buffer);
        figures[deployment] = describe(scenario, ours);
        figures[deployment]["moves_ratio"] = moves_ratio;
        figures[deployment]["buffer_ratio"] = buffer_ratio;
        // The worse of both deployments counts.
        figures["moves_ratio"] = std::max(moves_ratio, figures["moves_ratio"].get<double>());
        figures["buffer_ratio"] = std::max(buffer_ratio, figures["buffer_ratio"].get<double>());
        baselines[deployment] = {
            {"offline_optimum", describe(scenario, best)},
            {"static_pools_for_peak", describe(scenario, static_pools(scenario))}};
    }
    std::cout << nlohmann::json{{"bench", "moves"},
                                {"seed", seed},
                                {"figures", figures},
                                {"baselines", baselines}}
                     .dump()
              << "\n";
    return 0;
}
