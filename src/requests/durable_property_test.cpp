#include <array>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "requests/durable_test_support.h"

namespace jl::requests::testing {
namespace {

using records::request_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A random session of callers, entries and faults. Actions nest: while one entry waits for the
// store or a target, the others go on.
class random_session {
public:
    void run()
    {
        start_entry();
        start_entry();
        const int actions = *rc::gen::inRange(5, 60);
        for (int action = 0; action < actions; ++action) {
            act(0);
        }
        recover();
        check();
    }

private:
    static constexpr int max_depth = 3;
    static constexpr int max_entries = 4;
    // Numbers below this are idempotent requests.
    static constexpr int idempotent_numbers = 3;
    static constexpr int numbers = 10;

    // What callers were told about one id.
    struct told {
        bool accepted = false;
        bool doubtful = false; // accepted, unknown, or the entry died
        bool cancelled = false;
        bool deferred = false;
        bool keyed = false;
    };

    static bool chance(int percent) { return *rc::gen::inRange(0, 100) < percent; }

    void act(int depth)
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
            use(name, depth, [](test_entry& entry) { entry.step(); });
        }
        else if (kind < 17) {
            world_.clock.advance(milliseconds(*rc::gen::inRange(1, 3000)));
        }
        else if (kind == 17) {
            kill_or_start();
        }
        else if (kind == 18) {
            world_.run(seconds(*rc::gen::inRange(1, 8)));
        }
        else {
            release_delayed();
        }
    }

    // Runs `action` of an entry that is not in use further up, with faults at its store calls.
    template <typename Function>
    bool use(const std::string& name, int depth, Function action)
    {
        if (name.empty()) {
            return true;
        }
        auto& entry = *world_.entries.at(name);
        world_.paused.insert(name);
        entry.connection.decide = [this, depth] { return decide_store(depth); };
        entry.engine.decide = [this, depth, &entry](const call&) {
            entry.engine.dies_after_run = chance(5);
            return decide_engine(depth);
        };
        const bool alive = entry.survives([&] { action(entry); });
        entry.connection.decide = [] { return call_fault::none; };
        entry.engine.decide = [](const call&) { return outcome::answered; };
        entry.engine.dies_after_run = false;
        world_.paused.erase(name);
        if (!alive) {
            world_.kill(name);
        }
        return alive;
    }

    call_fault decide_store(int depth)
    {
        if (depth < max_depth && chance(8)) {
            act(depth + 1);
        }
        if (!chance(15)) {
            return call_fault::none;
        }
        return *rc::gen::element(call_fault::unavailable, call_fault::lost_answer,
                                 call_fault::lost_call, call_fault::delayed_call,
                                 call_fault::kill_before, call_fault::kill_after);
    }

    outcome decide_engine(int depth)
    {
        if (depth < max_depth && chance(20)) {
            act(depth + 1);
        }
        if (chance(5)) {
            throw killed{};
        }
        return chance(70) ? outcome::answered
                          : *rc::gen::element(outcome::not_run, outcome::unknown);
    }

    std::string choose_entry()
    {
        std::vector<std::string> free;
        for (const auto& name : world_.names()) {
            if (world_.paused.count(name) == 0) {
                free.push_back(name);
            }
        }
        return free.empty() ? "" : *rc::gen::elementOf(free);
    }

    void submit(int depth, bool deferred)
    {
        const int number = *rc::gen::inRange(0, numbers);
        const auto id = (deferred ? "d" : "k") + std::to_string(number);
        auto call = world_.make_call(id, number < idempotent_numbers);
        if (deferred) {
            call.deadline = world_.clock.steady_now() + seconds(chance(10) ? 5 : 3600);
        }
        const auto name = choose_entry();
        if (name.empty()) {
            return;
        }
        call_result result;
        result.result = outcome::unknown;
        use(name, depth, [&](test_entry& entry) {
            result =
                deferred ? entry.durable->accept_deferred(call) : entry.durable->execute_once(call);
        });
        auto& told = told_[id];
        (deferred ? told.deferred : told.keyed) = true;
        told.accepted = told.accepted || result.result == outcome::accepted;
        told.doubtful = told.doubtful || result.result != outcome::not_run;
        if (result.result == outcome::answered) {
            RC_ASSERT(result.body == "answer to body of " + id);
        }
    }

    void cancel(int depth)
    {
        std::vector<std::string> ids;
        for (const auto& [id, told] : told_) {
            if (chance(50)) {
                ids.push_back(id);
            }
        }
        use(choose_entry(), depth, [&](test_entry& entry) {
            for (const auto& id : entry.durable->cancel(ids)) {
                told_[id].cancelled = true;
            }
        });
    }

    void find(int depth)
    {
        if (told_.empty()) {
            return;
        }
        const auto id = "k" + std::to_string(*rc::gen::inRange(0, numbers));
        use(choose_entry(), depth, [&](test_entry& entry) {
            std::string reason;
            entry.durable->find(id, reason);
        });
    }

    void kill_or_start()
    {
        const auto name = choose_entry();
        if (name.empty() || (world_.entries.size() < max_entries && chance(60))) {
            start_entry();
            return;
        }
        world_.kill(name);
    }

    void start_entry()
    {
        // A name comes back with another incarnation after its process has ended.
        for (const auto* name : {"a", "b", "c", "d"}) {
            if (world_.entries.count(name) == 0) {
                world_.start(name);
                return;
            }
        }
    }

    void release_delayed()
    {
        for (const auto& [name, entry] : world_.entries) {
            entry->connection.release_delayed();
        }
    }

    void recover()
    {
        if (world_.entries.empty()) {
            start_entry();
        }
        release_delayed();
        world_.run(seconds(90));
    }

    void check()
    {
        RC_ASSERT(world_.queued() == 0U);
        for (const auto& [id, told] : told_) {
            const int runs = world_.ledger.runs[id];
            const auto record = world_.stored(id);
            const bool idempotent = std::stoi(id.substr(1)) < idempotent_numbers;
            RC_ASSERT(idempotent || runs <= 1);
            // Told "not run" each time.
            RC_ASSERT(told.doubtful || runs == 0);
            if (told.accepted) {
                RC_ASSERT(record.state == request_state::answered ||
                          record.state == request_state::unknown ||
                          record.state == request_state::expired ||
                          (record.state == request_state::cancelled && told.deferred));
            }
            if (record.state == request_state::answered) {
                RC_ASSERT(runs >= 1);
                RC_ASSERT(record.answer == "answer to body of " + id);
            }
            if (told.cancelled && told.deferred && !idempotent) {
                RC_ASSERT(runs == 0);
            }
            if (record.state == request_state::cancelled && !idempotent) {
                RC_ASSERT(runs == 0);
            }
        }
    }

    test_world world_;
    std::map<std::string, told> told_;
};

// Guards against lost accepted requests, second runs of non-idempotent requests and false reports
// of "not run" or "cancelled", in any order of events and faults.
RC_GTEST_PROP(durable_requests, nothing_is_lost_and_nothing_runs_twice, ())
{
    random_session session;
    session.run();
}

} // namespace
} // namespace jl::requests::testing
