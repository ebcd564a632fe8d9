#include <array>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "requests/durable_test_support.h"

namespace jl::requests::testing {
namespace {

using records::request_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A random sequence of calls, entry starts and stops, and faults. Actions nest: while one entry
// waits for the store or a target, other entries run.
class random_session {
public:
    void run()
    {
        start_entry();
        start_entry();
        const int actions = *rc::gen::inRange(5, 60);
        for (int action = 0; action < actions; ++action) {
            do_random_action(0);
        }
        recover();
        check();
    }

private:
    static constexpr int max_depth = 3;
    static constexpr int max_entries = 4;
    // Requests with a number below this are idempotent.
    static constexpr int idempotent_request_count = 3;
    static constexpr int request_count = 10;

    // What the callers were told about the request with one id.
    struct caller_reports {
        bool accepted = false;
        bool may_have_run = false; // any result but "not run", or the entry died
        bool cancelled = false;
        bool deferred = false;
        bool keyed = false;
    };

    static bool chance(int percent) { return *rc::gen::inRange(0, 100) < percent; }

    void do_random_action(int depth)
    {
        const int kind = *rc::gen::inRange(0, 20);
        if (kind < 4) {
            submit(depth, true);
        }
        else if (kind < 7) {
            submit(depth, false);
        }
        else if (kind == 7) {
            cancel(depth);
        }
        else if (kind == 8) {
            find(depth);
        }
        else if (kind < 14) {
            const auto name = choose_entry();
            run_on_entry(name, depth, [](test_entry& entry) { entry.step(); });
        }
        else if (kind < 17) {
            deployment_.clock.advance(milliseconds(*rc::gen::inRange(1, 3000)));
        }
        else if (kind == 17) {
            kill_or_start();
        }
        else if (kind == 18) {
            deployment_.run(seconds(*rc::gen::inRange(1, 8)));
        }
        else {
            release_delayed();
        }
    }

    // Runs `action` on an entry and injects random faults into its store calls and executions. The
    // entry must not be running an outer action. Returns false if the entry was killed.
    template <typename Function>
    bool run_on_entry(const std::string& name, int depth, Function action)
    {
        if (name.empty()) {
            return true;
        }
        auto& entry = *deployment_.entries.at(name);
        deployment_.paused.insert(name);
        entry.connection.choose_fault = [this, depth] { return choose_store_fault(depth); };
        entry.engine.choose_outcome = [this, depth, &entry](const call&) {
            entry.engine.dies_after_execution = chance(5);
            return choose_engine_outcome(depth);
        };
        const bool alive = entry.survives([&] { action(entry); });
        entry.connection.choose_fault = [] { return call_fault::none; };
        entry.engine.choose_outcome = [](const call&) { return outcome::answered; };
        entry.engine.dies_after_execution = false;
        deployment_.paused.erase(name);
        if (!alive) {
            deployment_.kill(name);
        }
        return alive;
    }

    call_fault choose_store_fault(int depth)
    {
        if (depth < max_depth && chance(8)) {
            do_random_action(depth + 1);
        }
        if (!chance(15)) {
            return call_fault::none;
        }
        return *rc::gen::element(call_fault::unavailable, call_fault::lost_response,
                                 call_fault::lost_request, call_fault::delayed_call,
                                 call_fault::kill_before, call_fault::kill_after);
    }

    outcome choose_engine_outcome(int depth)
    {
        if (depth < max_depth && chance(20)) {
            do_random_action(depth + 1);
        }
        if (chance(5)) {
            throw entry_killed{};
        }
        return chance(70) ? outcome::answered
                          : *rc::gen::element(outcome::not_run, outcome::unknown);
    }

    std::string choose_entry()
    {
        std::vector<std::string> free;
        for (const auto& name : deployment_.names()) {
            if (deployment_.paused.count(name) == 0) {
                free.push_back(name);
            }
        }
        return free.empty() ? "" : *rc::gen::elementOf(free);
    }

    void submit(int depth, bool deferred)
    {
        const int number = *rc::gen::inRange(0, request_count);
        const auto id = (deferred ? "d" : "k") + std::to_string(number);
        auto call = deployment_.make_call(id, number < idempotent_request_count);
        if (deferred) {
            call.deadline = deployment_.clock.steady_now() + seconds(chance(10) ? 5 : 3600);
        }
        const auto name = choose_entry();
        if (name.empty()) {
            return;
        }
        call_result result;
        result.result = outcome::unknown;
        run_on_entry(name, depth, [&](test_entry& entry) {
            result =
                deferred ? entry.durable->accept_deferred(call) : entry.durable->execute_once(call);
        });
        auto& reports = caller_reports_[id];
        (deferred ? reports.deferred : reports.keyed) = true;
        reports.accepted = reports.accepted || result.result == outcome::accepted;
        reports.may_have_run = reports.may_have_run || result.result != outcome::not_run;
        if (result.result == outcome::answered) {
            RC_ASSERT(result.body == "answer to body of " + id);
        }
    }

    void cancel(int depth)
    {
        std::vector<std::string> ids;
        for (const auto& [id, reports] : caller_reports_) {
            if (chance(50)) {
                ids.push_back(id);
            }
        }
        run_on_entry(choose_entry(), depth, [&](test_entry& entry) {
            for (const auto& id : entry.durable->cancel(ids)) {
                caller_reports_[id].cancelled = true;
            }
        });
    }

    void find(int depth)
    {
        if (caller_reports_.empty()) {
            return;
        }
        const auto id = "k" + std::to_string(*rc::gen::inRange(0, request_count));
        run_on_entry(choose_entry(), depth, [&](test_entry& entry) {
            std::string reason;
            entry.durable->find(id, reason);
        });
    }

    void kill_or_start()
    {
        const auto name = choose_entry();
        if (name.empty() || (deployment_.entries.size() < max_entries && chance(60))) {
            start_entry();
            return;
        }
        deployment_.kill(name);
    }

    void start_entry()
    {
        // The name of an ended process is reused with a new incarnation.
        for (const auto* name : {"a", "b", "c", "d"}) {
            if (deployment_.entries.count(name) == 0) {
                deployment_.start(name);
                return;
            }
        }
    }

    void release_delayed()
    {
        for (const auto& [name, entry] : deployment_.entries) {
            entry->connection.release_delayed();
        }
    }

    void recover()
    {
        if (deployment_.entries.empty()) {
            start_entry();
        }
        release_delayed();
        deployment_.run(seconds(90));
    }

    void check()
    {
        RC_ASSERT(deployment_.queued() == 0U);
        for (const auto& [id, reports] : caller_reports_) {
            const int runs = deployment_.executions.runs[id];
            const auto record = deployment_.stored(id);
            const bool idempotent = std::stoi(id.substr(1)) < idempotent_request_count;
            RC_ASSERT(idempotent || runs <= 1);
            // If every call returned "not run", the request must not have run.
            RC_ASSERT(reports.may_have_run || runs == 0);
            if (reports.accepted) {
                RC_ASSERT(record.state == request_state::answered ||
                          record.state == request_state::unknown ||
                          record.state == request_state::expired ||
                          (record.state == request_state::cancelled && reports.deferred));
            }
            if (record.state == request_state::answered) {
                RC_ASSERT(runs >= 1);
                RC_ASSERT(record.answer == "answer to body of " + id);
            }
            if (reports.cancelled && reports.deferred && !idempotent) {
                RC_ASSERT(runs == 0);
            }
            if (record.state == request_state::cancelled && !idempotent) {
                RC_ASSERT(runs == 0);
            }
        }
    }

    test_deployment deployment_;
    std::map<std::string, caller_reports> caller_reports_;
};

// Guards against lost accepted requests, second runs of non-idempotent requests and false reports
// of "not run" or "cancelled", in any order of events and faults.
RC_GTEST_PROP(durable_requests, no_request_is_lost_and_non_idempotent_ones_run_at_most_once, ())
{
    random_session session;
    session.run();
}

} // namespace
} // namespace jl::requests::testing
