#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "operators/admin_api.h"
#include "standins/memory_store.h"

// Shared by the tests of this library.
namespace jl::operators::testing {

// Time that only the test changes.
class manual_clock final : public clock_source {
public:
    steady_time steady_now() const override { return steady_time() + offset_; }
    // 2026-01-05T00:00:00Z and later.
    wall_time wall_now() const override
    {
        return from_unix(std::chrono::milliseconds(1767571200000) + offset_);
    }
    void advance(std::chrono::milliseconds time) { offset_ += time; }

private:
    std::chrono::milliseconds offset_{1000};
};

// Loses the answers of chosen transactions.
class losing_store final : public store::key_value_store {
public:
    explicit losing_store(const clock_source& clock) : store_(clock) {}

    std::optional<store::range_result> range(const store::range_request& request,
                                             steady_time deadline) override
    {
        return store_.range(request, deadline);
    }
    std::optional<store::transaction_result> commit(const store::transaction& transaction,
                                                    steady_time deadline) override
    {
        std::function<void()> hook;
        bool drop = false;
        bool lose = false;
        {
            const std::lock_guard lock(mutex_);
            hook = std::exchange(before_commit, nullptr);
            drop = dropped_requests_ > 0;
            lose = !drop && lost_answers_ > 0;
            dropped_requests_ -= drop ? 1 : 0;
            lost_answers_ -= lose ? 1 : 0;
        }
        if (hook) {
            hook();
        }
        if (drop) {
            store::internal::fail(store::store_error_code::outcome_unknown, "request lost");
            return std::nullopt;
        }
        if (refuse_transactions) {
            return store::internal::fail(store::store_error_code::refused, "refused");
        }
        if (lose) {
            store_.inject(standins::store_fault::lost_answer, 1);
        }
        return store_.commit(transaction, deadline);
    }
    std::optional<std::int64_t> grant_lease(std::chrono::seconds ttl, steady_time deadline) override
    {
        return store_.grant_lease(ttl, deadline);
    }
    std::optional<std::chrono::seconds> keep_alive(std::int64_t lease,
                                                   steady_time deadline) override
    {
        return store_.keep_alive(lease, deadline);
    }
    bool revoke_lease(std::int64_t lease, steady_time deadline) override
    {
        return store_.revoke_lease(lease, deadline);
    }
    std::unique_ptr<store::watch> start_watch(const std::string& key, const std::string& range_end,
                                              std::int64_t start_revision,
                                              store::watch_callback callback) override
    {
        return store_.start_watch(key, range_end, start_revision, std::move(callback));
    }

    // Runs once before the next transaction, e.g. to let another operator come first.
    std::function<void()> before_commit;
    // Whether the store refuses the transactions that reach it.
    bool refuse_transactions = false;

    standins::memory_store& memory() { return store_; }
    // The next transactions take effect, but their answers are lost.
    void lose_answers(int count) { lost_answers_ = count; }
    // The next transactions are lost before they take effect.
    void drop_requests(int count) { dropped_requests_ = count; }

private:
    standins::memory_store store_;
    std::mutex mutex_;
    int lost_answers_ = 0;
    int dropped_requests_ = 0;
};

// A cluster whose state the test writes.
class fake_observer final : public cluster::cluster_observer {
public:
    objects::object_set_ptr configuration() const override { return set; }
    cluster::vm_snapshot_ptr vms() const override
    {
        return std::make_shared<const cluster::vm_snapshot>(snapshot);
    }
    std::vector<cluster::member_status> members() const override { return statuses; }

    objects::object_set_ptr set;
    cluster::vm_snapshot snapshot;
    std::vector<cluster::member_status> statuses;
};

inline cluster::vm_state make_vm(const std::string& name, const std::string& pool,
                                 const std::string& rack, const std::string& data_centre)
{
    cluster::vm_state vm;
    vm.vm = name;
    vm.address = {"127.0.0.1", 9000};
    vm.pool = pool;
    vm.rack = rack;
    vm.data_centre = data_centre;
    vm.listed_live = true;
    return vm;
}

inline cluster::member_status make_member(const std::string& name, std::int64_t generation)
{
    cluster::member_status status;
    status.member.member = name;
    status.member.data_centre = "dc-1";
    status.member.caller_address = "127.0.0.1:8080";
    status.alive = true;
    status.generation = generation;
    status.store_reachable = true;
    return status;
}

// One pool and service named "rounds" with `max_vms` VMs, a budget, a wave, and two teams, of which
// team "planning" owns the service.
inline std::string make_document(int max_vms = 4, int max_unavailable = 1, double weight = 1)
{
    return R"({"format": 1, "objects": [
        {"kind": "pool", "name": "rounds", "min_vms": 2, "max_vms": )" +
           std::to_string(max_vms) + R"(},
        {"kind": "service", "name": "rounds", "pool": "rounds", "owner": "planning"},
        {"kind": "team", "name": "planning", "weight": )" +
           std::to_string(weight) + R"(},
        {"kind": "team", "name": "booking"},
        {"kind": "budget", "name": "rounds", "scope": "service", "scope_name": "rounds",
         "max_unavailable": )" +
           std::to_string(max_unavailable) + R"(},
        {"kind": "maintenance_wave", "name": "monthly", "pools": ["rounds"],
         "starts_at_unix_s": 1767571200}]})";
}

inline configuration_options fast_configuration()
{
    configuration_options options;
    options.resolve_pause = std::chrono::milliseconds(0);
    return options;
}

inline control_options fast_control()
{
    control_options options;
    options.resolve_pause = std::chrono::milliseconds(0);
    return options;
}

// Accounts ann and bob (administrators), rhys (reader) and sian (team "planning"); the secret of
// each is "secret".
inline operator_registry make_registry()
{
    std::vector<std::string> errors;
    return operator_registry::from_lines({account_line("ann", "administrator", "secret", "01"),
                                          account_line("bob", "administrator", "secret", "02"),
                                          account_line("rhys", "reader", "secret", "03"),
                                          account_line("sian", "team:planning", "secret", "04")},
                                         errors);
}

} // namespace jl::operators::testing
