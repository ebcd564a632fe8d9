#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobs/engine.h"
#include "jobs/leadership.h"
#include "jobs/testing/fake_store.h"
#include "jobs/testing/fake_vms.h"
#include "jobs/testing/fake_workers.h"
#include "jobs/testing/virtual_timers.h"

namespace jl::jobs::testing {

// Decodes documents without parsing: the store holds only their keys, and the members below hold
// the content that each decode function returns.
class test_documents final : public document_codec {
public:
    fleet_config config;
    std::map<std::string, worker_registration> workers;
    std::optional<wave_request> wave;

    std::optional<fleet_config> decode_config(const store_item& item) const override
    {
        auto result = config;
        result.revision = item.revision;
        return result;
    }
    std::optional<wave_request> decode_wave(const store_item&) const override { return wave; }
    std::optional<worker_registration> decode_worker(const store_item& item,
                                                     std::string& error) const override
    {
        const auto found = workers.find(item.key.substr(worker_prefix().size()));
        if (found == workers.end()) {
            error = "no such worker";
            return std::nullopt;
        }
        return found->second;
    }
    std::string encode_wave_status(bool completed) const override
    {
        return completed ? "completed" : "running";
    }
    std::string wave_status_key(std::int64_t wave) const override
    {
        return "status/" + std::to_string(wave);
    }
    std::string config_key() const override { return "op/config"; }
    std::string wave_prefix() const override { return "op/wave/"; }
    std::string worker_prefix() const override { return "servers/"; }
};

// Allows a fixed set of workers. The ticket for a worker is "ticket-WORKER".
class fake_advisor final : public advice_port {
public:
    explicit fake_advisor(net::timer_service& timers) : timers_(timers) {}
    std::set<std::string> allowed;
    int request_count = 0;

    void ask(const std::string&, const std::vector<std::string>& workers,
             std::function<void(const advice_result&)> done) override
    {
        ++request_count;
        advice_result result;
        result.allowed.emplace();
        for (const auto& worker : workers) {
            if (allowed.count(worker) != 0) {
                result.allowed->push_back({worker, "ticket-" + worker});
            }
        }
        timers_.call_after(std::chrono::milliseconds(20), [result, done] { done(result); });
    }

private:
    net::timer_service& timers_;
};

// A simulated process: takes part in the leader election and runs the engine while it is the
// leader.
class test_node {
public:
    test_node(net::timer_service& timers, fake_store& store, fake_workers& workers, fake_vms& vms,
              fake_advisor& advisor, const test_documents& documents, const std::string& name);
    ~test_node();
    test_node(const test_node&) = delete;
    test_node& operator=(const test_node&) = delete;

    // Returns the engine if this process is the leader and the engine is ready; otherwise null.
    engine* ready_engine();
    leadership& election() { return *election_; }
    fake_store::port& store() { return store_; }
    const job_metrics& metrics() const { return metrics_; }

private:
    fake_store::port& store_;
    job_metrics metrics_;
    std::unique_ptr<engine> engine_;
    std::unique_ptr<leadership> election_;
};

// A small simulated fleet: a store, workers of the service "rounds" and the processes that compete
// for leadership. It has one queue, "plans".
class test_fleet {
public:
    explicit test_fleet(int workers = 4);

    test_node& add_node(const std::string& name);
    // Ends the process without a shutdown.
    void kill(const std::string& name) { nodes.erase(name); }
    void request_wave(const wave_request& wave);
    void list_worker(const worker_registration& info);
    void unlist_worker(const std::string& id);
    // Lets the listed workers, and other writers, renew their registrations at this interval from
    // now on, except while `renewals_paused`.
    void renew_registrations(milliseconds interval);

    // Returns the engine of the leading process; null if no engine is ready.
    engine* leader();
    // Returns the name of the leading process; empty if no engine is ready.
    std::string leader_name();
    // Runs until a leader is ready, at most for `limit`. Returns false if there is none by then.
    bool await_leader(milliseconds limit = milliseconds(5000));

    // Starts node "a", waits until it is the leader, and starts node "b" as standby. Returns false
    // if "a" does not become the leader.
    bool start_leader_and_standby();

    // Submits to the leader and runs until the outcome is known, at most for `limit`. Returns
    // nothing if it is not known by then.
    std::optional<submit_outcome> submit(job_spec spec, milliseconds limit = milliseconds(2000),
                                         const std::string& key = "");
    std::optional<cancel_outcome> cancel(const std::string& id,
                                         milliseconds limit = milliseconds(2000));
    // Runs until the job is in the state, at most for `limit`. Returns false if it is not by then.
    bool await_state(const std::string& id, job_state state, milliseconds limit);

    virtual_timers timers;
    fake_store store{timers};
    fake_workers workers{timers};
    // Empty unless a test adds VMs.
    fake_vms vms{timers,
                 workers,
                 {[this](const worker_registration& info) { list_worker(info); },
                  [this](const std::string& worker) { unlist_worker(worker); }}};
    fake_advisor advisor{timers};
    test_documents documents;
    bool renewals_paused = false;
    std::map<std::string, std::unique_ptr<test_node>> nodes;
};

// Returns a job whose steps run one after the other, each with `tasks_per_step` tasks.
job_spec make_job(const std::string& id, int steps = 1, int tasks_per_step = 2);

} // namespace jl::jobs::testing
