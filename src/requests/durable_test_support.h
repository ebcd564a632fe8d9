#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "requests/durable_requests.h"
#include "standins/memory_store.h"

// Runs several entries with one in-memory store and a clock that the test advances, without
// threads.
namespace jl::requests::testing {

class manual_clock final : public clock_source {
public:
    steady_time steady_now() const override { return steady_time(since_start_); }
    wall_time wall_now() const override
    {
        return wall_time(std::chrono::hours(24 * 365 * 50) + since_start_);
    }
    void advance(std::chrono::milliseconds time) { since_start_ += time; }

private:
    std::chrono::milliseconds since_start_{1000000};
};

// Thrown to end a call of an entry that is killed during the call.
struct entry_killed {};

enum class call_fault {
    none,
    unavailable,   // the call has no effect, and the caller knows it
    lost_response, // the call takes effect, but its outcome is unknown to the caller
    lost_request,  // the call has no effect, but its outcome is unknown to the caller
    delayed_call,  // takes effect in release_delayed(); the outcome is unknown to the caller
    kill_before,   // the entry dies before the call takes effect
    kill_after,    // the entry dies after the call took effect
};

// Store connection of one entry. `choose_fault` selects the fault to inject into each call.
class fault_injecting_store final : public store::key_value_store {
public:
    explicit fault_injecting_store(store::key_value_store& store) : store_(store) {}

    std::function<call_fault()> choose_fault = [] { return call_fault::none; };
    bool dead = false;
    std::vector<store::transaction> delayed;

    void release_delayed()
    {
        for (const auto& transaction : std::exchange(delayed, {})) {
            store_.commit(transaction, {});
        }
    }

    std::optional<store::range_result> range(const store::range_request& request,
                                             steady_time deadline) override
    {
        return run<store::range_result>([&] { return store_.range(request, deadline); });
    }
    std::optional<store::transaction_result> commit(const store::transaction& transaction,
                                                    steady_time deadline) override
    {
        current_transaction_ = &transaction;
        return run<store::transaction_result>([&] { return store_.commit(transaction, deadline); });
    }
    std::optional<std::int64_t> grant_lease(std::chrono::seconds ttl, steady_time deadline) override
    {
        return run<std::int64_t>([&] { return store_.grant_lease(ttl, deadline); });
    }
    std::optional<std::chrono::seconds> keep_alive(std::int64_t lease,
                                                   steady_time deadline) override
    {
        return run<std::chrono::seconds>([&] { return store_.keep_alive(lease, deadline); });
    }
    bool revoke_lease(std::int64_t lease, steady_time deadline) override
    {
        return store_.revoke_lease(lease, deadline);
    }
    std::unique_ptr<store::watch> start_watch(const std::string& /*key*/,
                                              const std::string& /*range_end*/,
                                              std::int64_t /*start_revision*/,
                                              store::watch_callback /*callback*/) override
    {
        return nullptr;
    }

private:
    template <typename Result, typename Function>
    std::optional<Result> run(Function function)
    {
        const auto* transaction = std::exchange(current_transaction_, nullptr);
        if (dead) {
            return store::internal::fail(store::store_error_code::unavailable, "dead");
        }
        switch (choose_fault()) {
        case call_fault::none:
            return function();
        case call_fault::unavailable:
            return store::internal::fail(store::store_error_code::unavailable, "injected");
        case call_fault::lost_response:
            function();
            break;
        case call_fault::lost_request:
            break;
        case call_fault::delayed_call:
            if (transaction != nullptr) {
                delayed.push_back(*transaction);
            }
            break;
        case call_fault::kill_before:
            dead = true;
            throw entry_killed{};
        case call_fault::kill_after:
            function();
            dead = true;
            throw entry_killed{};
        }
        return store::internal::fail(store::store_error_code::outcome_unknown, "injected");
    }

    store::key_value_store& store_;
    const store::transaction* current_transaction_ = nullptr;
};

struct execution_log {
    std::map<std::string, int> runs; // by request id
    std::map<std::string, std::string> bodies;
};

class fake_engine final : public call_engine {
public:
    fake_engine(execution_log& executions, const fault_injecting_store& store)
        : executions_(executions), store_(store)
    {
    }

    // Selects the outcome of an execution; called before the execution is recorded.
    std::function<outcome(const call&)> choose_outcome = [](const call&) {
        return outcome::answered;
    };
    bool has_room = true;
    std::string content_type = "text/plain"; // of the answers
    bool dies_after_execution = false;       // the entry is killed before it gets the answer

    call_result execute(const call& call) override
    {
        call_result result;
        result.result = store_.dead ? outcome::not_run : choose_outcome(call);
        if (result.result == outcome::not_run) {
            return result;
        }
        ++executions_.runs[call.id];
        executions_.bodies[call.id] = call.body;
        if (std::exchange(dies_after_execution, false)) {
            throw entry_killed{};
        }
        result.status = result.result == outcome::answered ? 200 : 504;
        result.content_type = content_type;
        result.body = "answer to " + call.body;
        return result;
    }
    bool has_room_for_deferred(const std::string& /*service*/) const override { return has_room; }
    int in_flight(const std::string& /*vm*/) const override { return 0; }

private:
    execution_log& executions_;
    const fault_injecting_store& store_;
};

class fake_cluster final : public cluster::cluster_state {
public:
    explicit fake_cluster(std::string self) : self_(std::move(self)) {}

    objects::object_set_ptr set;
    std::function<std::vector<cluster::member_status>()> list_members;
    std::function<void(const std::string&)> notify;
    cluster::queue_notice_handler notice_handler;

    objects::object_set_ptr configuration() const override { return set; }
    cluster::vm_snapshot_ptr vms() const override
    {
        return std::make_shared<const cluster::vm_snapshot>();
    }
    std::vector<cluster::member_status> members() const override { return list_members(); }
    bool may_send() const override { return true; }
    std::string self() const override { return self_; }
    void notify_queue(const std::string& service) override { notify(service); }
    void set_in_flight_source(cluster::in_flight_source /*source*/) override {}
    void set_load_source(cluster::load_source /*source*/) override {}
    void set_queue_notice_handler(cluster::queue_notice_handler handler) override
    {
        notice_handler = std::move(handler);
    }
    void start() override {}

private:
    std::string self_;
};

class test_deployment;

// One entry process. If it was killed, its destructor makes no calls to the store.
struct test_entry {
    test_entry(test_deployment& deployment, const std::string& name, std::int64_t incarnation);

    // Runs `action`. Returns false if the entry was killed during it.
    template <typename Function>
    bool survives(Function action)
    {
        try {
            action();
            return !connection.dead;
        }
        catch (const entry_killed&) {
            return false;
        }
    }
    // Renews the process lease, writes the member record if the lease is new, and runs one step of
    // the durable requests.
    void step();

    test_deployment& deployment;
    records::member_record member;
    fault_injecting_store connection;
    store::process_lease lease;
    fake_cluster cluster;
    fake_engine engine;
    metrics counters;
    std::int64_t registered_epoch = 0;
    std::unique_ptr<durable_service> durable;
};

class test_deployment {
public:
    test_deployment()
    {
        auto set = std::make_shared<objects::object_set>();
        objects::service rounds;
        rounds.name = "rounds";
        rounds.pool = "rounds";
        rounds.max_backlog = 10000;
        set->services = {rounds};
        configuration = set;
    }

    test_entry& start(const std::string& name)
    {
        entries[name] = std::make_unique<test_entry>(*this, name, ++incarnations);
        entries[name]->step();
        return *entries[name];
    }
    // Ends the process without a shutdown, so its lease stays until it expires.
    void kill(const std::string& name)
    {
        entries[name]->connection.dead = true;
        entries.erase(name);
    }
    void step_all()
    {
        for (const auto& name : names()) {
            const auto found = entries.find(name);
            if (found != entries.end() && paused.count(name) == 0 &&
                !found->second->survives([&] { found->second->step(); })) {
                kill(name);
            }
        }
    }
    // Advances the clock by `time` in steps of 250 ms. Every entry runs in each step.
    void run(std::chrono::milliseconds time)
    {
        constexpr std::chrono::milliseconds step{250};
        for (auto passed = step; passed <= time; passed += step) {
            clock.advance(step);
            step_all();
        }
    }
    std::vector<std::string> names() const
    {
        std::vector<std::string> list;
        for (const auto& [name, entry] : entries) {
            list.push_back(name);
        }
        return list;
    }
    std::vector<cluster::member_status> members() const
    {
        std::vector<cluster::member_status> list;
        for (const auto& [name, entry] : entries) {
            cluster::member_status status;
            status.member = entry->member;
            status.alive = paused.count(name) == 0;
            status.store_reachable = true;
            list.push_back(status);
        }
        return list;
    }
    call make_call(const std::string& id, bool idempotent = false) const
    {
        call call;
        call.id = id;
        call.idempotency_key = id;
        call.service = "rounds";
        call.team = "planners";
        call.idempotent = idempotent;
        call.body = "body of " + id;
        call.content_type = "text/plain";
        call.deadline = clock.steady_now() + std::chrono::hours(2);
        call.configuration = configuration;
        return call;
    }
    // Reads a record from the store without faults; its id is empty if it is absent.
    records::request_record stored(const std::string& id)
    {
        const auto found = store.range({records::requests_prefix + id, "", 0}, {});
        if (!found || found->items.empty()) {
            return {};
        }
        return records::parse_request(found->items[0].value).value_or(records::request_record{});
    }
    std::size_t queued()
    {
        const auto found = store.range({records::deferred_prefix, "/jl/deferred0", 0}, {});
        return found ? found->items.size() : 0;
    }

    manual_clock clock;
    standins::memory_store store{clock};
    objects::object_set_ptr configuration;
    execution_log executions;
    std::set<std::string> paused; // not stepped by step_all(); reported as not alive
    std::int64_t incarnations = 1;
    std::map<std::string, std::unique_ptr<test_entry>> entries;
};

inline test_entry::test_entry(test_deployment& deployment, const std::string& name,
                              std::int64_t incarnation)
    : deployment(deployment),
      member{name, incarnation, "a", "127.0.0.1:1", "127.0.0.1:2"},
      connection(deployment.store),
      lease(connection, deployment.clock, name, std::chrono::seconds(5)),
      cluster(name),
      engine(deployment.executions, connection)
{
    cluster.set = deployment.configuration;
    cluster.list_members = [&deployment] { return deployment.members(); };
    cluster.notify = [&deployment](const std::string& service) {
        for (const auto& [other, entry] : deployment.entries) {
            if (entry->cluster.notice_handler) {
                entry->cluster.notice_handler(service);
            }
        }
    };
    durable_options options;
    options.background = false;
    options.seed = 7;
    durable = make_durable_requests(connection, lease, cluster, engine, deployment.clock, counters,
                                    options);
}

inline void test_entry::step()
{
    lease.renew();
    if (lease.epoch() != registered_epoch && lease.valid()) {
        const auto put = store::put(records::members_prefix + member.member,
                                    records::to_json(member), lease.id());
        if (connection.commit({{}, {put}, {}}, {})) {
            registered_epoch = lease.epoch();
        }
    }
    durable->step();
}

} // namespace jl::requests::testing
