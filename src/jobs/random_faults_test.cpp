// Jobs under random faults of leaders, workers, VMs and the store.

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/engine.h"
#include "jobs/testing/test_fleet.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::make_job;
using testing::store_mode;
using testing::test_fleet;
using testing::worker_mode;

constexpr auto fault_time = 18s;
// After the last fault, longer than all leases, back-offs and late orders together.
constexpr auto recovery_time = 40s;

class random_day {
public:
    explicit random_day(unsigned int seed) : random_(seed)
    {
        fleet_.documents.config.services = {{"rounds", false, true}, {"spare", true, true}};
        fleet_.vms.standby_pool = "spare";
        for (int index = 0; index < 4; ++index) {
            fleet_.vms.add("m" + std::to_string(index), "rounds");
            fleet_.vms.add("s" + std::to_string(index), "spare");
        }
        if (below(2) == 0) { // orders to VMs are carried out after they were given up
            fleet_.vms.order_delay = 2200ms;
            fleet_.vms.order_timeout = 1500ms;
        }
        fleet_.renew_registrations(1s);
    }

    void play()
    {
        add_nodes();
        ASSERT_TRUE(fleet_.await_leader());
        fleet_.request_wave({1, {"m0", "m1", "s0"}, 20s, 2});
        const auto end = fleet_.timers.now() + fault_time;
        while (fleet_.timers.now() < end) {
            submit_job();
            if (below(3) == 0) {
                cause_fault();
            }
            fleet_.timers.run_for(milliseconds(50 + below(250)));
        }
        heal();
        fleet_.timers.run_for(recovery_time);
    }

    void expect_all_jobs_ended()
    {
        auto* const leader = fleet_.leader();
        ASSERT_NE(leader, nullptr);
        const auto given_up = leader->given_up_jobs();
        for (const auto& job : *accepted_) {
            if (given_up.count(job) == 0) {
                EXPECT_EQ(leader->state(job), job_state::completed) << job;
            }
        }
        EXPECT_GT(accepted_->size(), 10U);
        for (const auto& violation : fleet_.workers.violations()) {
            ADD_FAILURE() << violation;
        }
    }

private:
    unsigned int below(unsigned int limit)
    {
        return std::uniform_int_distribution<unsigned int>(0, limit - 1)(random_);
    }

    void add_nodes()
    {
        for (const auto* const name : {"a", "b"}) {
            if (fleet_.nodes.count(name) == 0) {
                fleet_.add_node(name);
            }
        }
    }

    void submit_job()
    {
        auto* const leader = fleet_.leader();
        if (leader == nullptr) {
            return;
        }
        const auto id = std::to_string(1000000000000000 + next_job_++);
        fleet_.workers.plans_by_job[id] = {milliseconds(20 + below(1500)), 0};
        leader->submit(
            {make_job(id, 1 + static_cast<int>(below(2)), 1 + static_cast<int>(below(4))), {}},
            [id, accepted = accepted_](const submit_answer& answer) {
                if (answer.outcome == submit_outcome::accepted) {
                    accepted->insert(id);
                }
            });
    }

    std::string some_worker()
    {
        const auto& workers = fleet_.documents.workers;
        if (workers.empty()) {
            return "";
        }
        return std::next(workers.begin(), below(static_cast<unsigned int>(workers.size())))->first;
    }

    void cause_fault()
    {
        const auto leader = fleet_.leader_name();
        const auto worker = some_worker();
        const auto duration = milliseconds(200 + below(5000));
        switch (below(6)) {
        case 0:
            fleet_.kill(leader);
            fleet_.timers.call_after(milliseconds(below(3000)), [this] { add_nodes(); });
            return;
        case 1:
            disturb_store(leader, duration / 2);
            return;
        case 2:
            disturb_worker(worker, duration);
            return;
        case 3:
            if (!worker.empty()) {
                fleet_.workers.restart(worker);
                fleet_.list_worker(fleet_.workers.registration(worker));
            }
            return;
        case 4:
            refuse_starts(worker, duration);
            return;
        default:
            if (!worker.empty()) {
                fleet_.unlist_worker(worker); // its renewal has expired in the store
                relist_later(worker, duration);
            }
            return;
        }
    }

    void disturb_store(const std::string& node, milliseconds duration)
    {
        if (node.empty()) {
            return;
        }
        fleet_.nodes.at(node)->store().mode =
            below(2) == 0 ? store_mode::unreachable : store_mode::answer_lost;
        fleet_.timers.call_after(duration, [this, node] {
            if (fleet_.nodes.count(node) != 0) {
                fleet_.nodes.at(node)->store().mode = store_mode::serving;
            }
        });
    }

    void disturb_worker(const std::string& worker, milliseconds duration)
    {
        if (worker.empty()) {
            return;
        }
        const std::vector<worker_mode> modes{worker_mode::unreachable, worker_mode::answer_lost,
                                             worker_mode::delayed, worker_mode::late_orders};
        fleet_.workers.set_mode(worker, modes[below(static_cast<unsigned int>(modes.size()))]);
        disturbed_.insert(worker);
        fleet_.timers.call_after(
            duration, [this, worker] { fleet_.workers.set_mode(worker, worker_mode::answering); });
    }

    void refuse_starts(const std::string& worker, milliseconds duration)
    {
        if (worker.empty()) {
            return;
        }
        fleet_.workers.refuse_starts(worker, below(2) == 0 ? order_status::no_room
                                                           : order_status::unhealthy);
        disturbed_.insert(worker);
        fleet_.timers.call_after(duration, [this, worker] {
            fleet_.workers.refuse_starts(worker, order_status::accepted);
        });
    }

    // Lists the worker again unless its VM has got another one.
    void relist_later(const std::string& worker, milliseconds duration)
    {
        fleet_.timers.call_after(duration, [this, worker] {
            const auto& info = fleet_.workers.registration(worker);
            for (const auto& [id, other] : fleet_.documents.workers) {
                if (other.vm == info.vm) {
                    return;
                }
            }
            if (fleet_.workers.is_up(worker)) {
                fleet_.list_worker(info);
            }
        });
    }

    void heal()
    {
        add_nodes();
        fleet_.vms.order_delay = 5ms;
        for (auto& [name, node] : fleet_.nodes) {
            node->store().mode = store_mode::serving;
        }
        for (const auto& worker : disturbed_) {
            fleet_.workers.set_mode(worker, worker_mode::answering);
            fleet_.workers.refuse_starts(worker, order_status::accepted);
        }
    }

    std::mt19937 random_;
    test_fleet fleet_{0};
    std::shared_ptr<std::set<std::string>> accepted_ = std::make_shared<std::set<std::string>>();
    std::set<std::string> disturbed_; // workers
    int next_job_ = 0;
};

class random_faults : public ::testing::TestWithParam<unsigned int> {};

// Guards against a task that stays without a run for good.
TEST_P(random_faults, each_accepted_job_ends)
{
    random_day day(GetParam());
    day.play();
    day.expect_all_jobs_ended();
}

INSTANTIATE_TEST_SUITE_P(seeds, random_faults, ::testing::Range(1U, 41U));

} // namespace
} // namespace jl::jobs
