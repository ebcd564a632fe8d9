// A walk over the moments at which a worker restarts under its id around the start of a task, at
// which the leader learns of it, at which the worker is cut off, and at which the leader is killed.

#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "jobs/engine.h"
#include "jobs/testing/test_fleet.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::make_job;
using testing::test_fleet;
using testing::test_node;
using testing::worker_mode;

const std::string job_id = "00000000000000a1";
const std::string restarting_worker = "w0";
const std::string first_leader = "a";
constexpr auto clock_lead = 12s; // of the workers' clocks; more than the longest lease
constexpr auto lead_time = 2s;   // from the first possible fault to the submission
constexpr auto second_restart_after = 1500ms;
constexpr auto cut_duration = 9s;
constexpr auto order_arrival = 50ms; // more than the latencies, for orders on the way at the cut
constexpr auto long_duration = 12000ms;
constexpr auto short_duration = 300ms;
constexpr auto completion_limit = 60s;
constexpr auto poll_interval = 5ms;
// What a new leader counts for a worker that it has not heard of: the lease that its predecessor
// asked for and the rest of the leadership.
constexpr auto lease_counted_by_new_leader = 6500ms;

enum class trouble { long_task, short_task, gang, second_restart };

std::ostream& operator<<(std::ostream& out, trouble kind)
{
    switch (kind) {
    case trouble::long_task:
        return out << "long_task";
    case trouble::short_task:
        return out << "short_task";
    case trouble::gang:
        return out << "gang";
    case trouble::second_restart:
        return out << "second_restart";
    }
    return out << "unknown";
}

using moment = std::optional<milliseconds>; // empty: never

struct play_moments {
    trouble kind = trouble::long_task;
    milliseconds max_lease{0};
    milliseconds latency{0};
    milliseconds restart{0}; // after the submission
    moment registration;     // after each restart; never: only reports tell of it
    moment cut;              // after the first restart
    moment kill;             // of the leader, after the first restart
};

std::ostream& operator<<(std::ostream& out, const moment& time)
{
    return time ? out << time->count() << " ms" : out << "never";
}

std::ostream& operator<<(std::ostream& out, const play_moments& moments)
{
    return out << moments.kind << ", longest lease " << moments.max_lease.count() << " ms, latency "
               << moments.latency.count() << " ms, restart " << moments.restart.count()
               << " ms after the submission, then registration " << moments.registration << ", cut "
               << moments.cut << ", kill " << moments.kill;
}

int restarts_seen_by(const test_node& node)
{
    const std::string name = "\njl_worker_restarts_total ";
    const auto text = node.metrics().to_text();
    const auto found = text.find(name);
    return found == std::string::npos ? 0 : std::stoi(text.substr(found + name.size()));
}

class restart_play {
public:
    explicit restart_play(const play_moments& moments) : moments_(moments) {}

    // Returns false if the job has not completed within the limit.
    bool complete_job()
    {
        fleet_.workers.max_lease = moments_.max_lease;
        fleet_.workers.latency = moments_.latency;
        fleet_.workers.default_plan.duration =
            moments_.kind == trouble::short_task ? short_duration : long_duration;
        if (!fleet_.start_leader_and_standby()) {
            return false;
        }
        fleet_.timers.run_for(clock_lead);
        schedule_faults();
        fleet_.timers.run_for(lead_time);
        return await_completion();
    }

    const std::vector<std::string>& violations() const { return fleet_.workers.violations(); }

    // True for the known fault of KNOWN-RED.txt: the leader was killed, the cut-off worker ran a
    // task since a restart that no leader heard of before the cut was over, and the lease may be
    // longer than the next leader counts.
    bool has_known_fault() const
    {
        const bool runs_alone =
            moments_.kind == trouble::long_task || moments_.kind == trouble::second_restart;
        const bool unseen = seen_after_cut_.value_or(restarts_seen()) == seen_before_restart_;
        return runs_alone && moments_.kill && ran_while_cut_off_ && unseen &&
               moments_.max_lease > lease_counted_by_new_leader;
    }

private:
    void schedule(milliseconds after_submission, std::function<void()> action)
    {
        fleet_.timers.call_after(lead_time + after_submission, std::move(action));
    }

    void schedule_faults()
    {
        schedule_restart(moments_.restart);
        if (moments_.kind == trouble::second_restart) {
            schedule_restart(moments_.restart + second_restart_after);
        }
        if (moments_.cut) {
            schedule_cut(moments_.restart + *moments_.cut);
        }
        if (moments_.kill) {
            schedule(moments_.restart + *moments_.kill, [this] { kill_leader(); });
        }
    }

    void schedule_restart(milliseconds at)
    {
        schedule(at, [this] {
            fleet_.workers.restart(restarting_worker);
            if (!is_cut_off_) { // otherwise it takes no start
                seen_before_restart_ = restarts_seen();
            }
        });
        if (moments_.registration) {
            schedule(at + *moments_.registration, [this] {
                fleet_.list_worker(fleet_.workers.registration(restarting_worker));
            });
        }
    }

    void schedule_cut(milliseconds at)
    {
        schedule(at, [this] {
            is_cut_off_ = true;
            fleet_.workers.set_mode(restarting_worker, worker_mode::unreachable);
        });
        schedule(at + order_arrival,
                 [this] { ran_while_cut_off_ = fleet_.workers.running(restarting_worker) > 0; });
        schedule(at + cut_duration, [this] {
            seen_after_cut_ = restarts_seen();
            fleet_.workers.set_mode(restarting_worker, worker_mode::answering);
        });
    }

    void kill_leader()
    {
        seen_by_killed_leader_ = restarts_seen_by(*fleet_.nodes.at(first_leader));
        fleet_.kill(first_leader);
    }

    int restarts_seen() const
    {
        int seen = seen_by_killed_leader_;
        for (const auto& [name, node] : fleet_.nodes) {
            seen += restarts_seen_by(*node);
        }
        return seen;
    }

    job_spec make_spec() const
    {
        const bool gang = moments_.kind == trouble::gang;
        auto spec = make_job(job_id, 1, gang ? 2 : 1);
        if (gang) {
            spec.steps[0].gang = true;
            spec.steps[0].max_per_worker = 1;
        }
        return spec;
    }

    // Submits the job to the present leader, as a client does until one has accepted it.
    void submit_unless_accepted()
    {
        const auto leader = fleet_.leader_name();
        if (*accepted_ || leader.empty() || leader == submitted_to_) {
            return;
        }
        submitted_to_ = leader;
        fleet_.leader()->submit(
            {make_spec(), {}}, [accepted = accepted_](const submit_answer& answer) {
                *accepted = *accepted || answer.outcome == submit_outcome::accepted;
            });
    }

    bool await_completion()
    {
        const auto end = fleet_.timers.now() + completion_limit;
        while (fleet_.timers.now() < end) {
            submit_unless_accepted();
            fleet_.timers.run_for(poll_interval);
            auto* const leader = fleet_.leader();
            if (leader != nullptr && leader->state(job_id) == job_state::completed) {
                return true;
            }
        }
        return false;
    }

    play_moments moments_;
    test_fleet fleet_{3};
    // Shared, because the answer may arrive after the play.
    std::shared_ptr<bool> accepted_ = std::make_shared<bool>(false);
    std::string submitted_to_;
    bool is_cut_off_ = false;
    bool ran_while_cut_off_ = false;
    int seen_by_killed_leader_ = 0;
    int seen_before_restart_ = 0; // the last restart before the cut
    std::optional<int> seen_after_cut_;
};

const std::vector<milliseconds> longest_leases{6000ms, 10000ms};
const std::vector<milliseconds> latencies{1ms, 20ms};
// At 1.5 s before the submission, the second restart is close to the start.
const std::vector<milliseconds> restarts{-1530ms, -1510ms, -1500ms, -1496ms, -60ms, -30ms,
                                         -10ms,   -2ms,    0ms,     2ms,     4ms,   8ms,
                                         15ms,    20ms,    60ms,    300ms,   1500ms};
const std::vector<moment> registrations{0ms, 300ms, 1000ms, {}};
const std::vector<moment> cuts{{}, 5ms, 20ms, 40ms, 100ms, 700ms, 1540ms, 2000ms};
const std::vector<moment> kills{{}, 5ms, 40ms, 100ms, 300ms, 700ms, 1600ms};
// The walk plays each 43rd combination. No list above has a multiple of that many values, so each
// value meets each other one.
constexpr std::size_t stride = 43;

std::size_t combination_count()
{
    return longest_leases.size() * latencies.size() * restarts.size() * registrations.size() *
           cuts.size() * kills.size();
}

// Returns the value at the position that the last digit of `index` names, and removes the digit.
template <typename T>
T take_value(const std::vector<T>& values, std::size_t& index)
{
    const auto& value = values[index % values.size()];
    index /= values.size();
    return value;
}

play_moments moments_of(trouble kind, std::size_t index)
{
    play_moments moments;
    moments.kind = kind;
    moments.kill = take_value(kills, index);
    moments.cut = take_value(cuts, index);
    moments.registration = take_value(registrations, index);
    moments.restart = take_value(restarts, index);
    moments.latency = take_value(latencies, index);
    moments.max_lease = take_value(longest_leases, index);
    return moments;
}

class restart_moments : public ::testing::TestWithParam<trouble> {};

// Guards against a task that runs twice, or no more, after its worker has restarted under its id.
TEST_P(restart_moments, task_completes_without_a_second_run_beside_it)
{
    for (std::size_t index = 0; index < combination_count(); index += stride) {
        const auto moments = moments_of(GetParam(), index);
        restart_play play(moments);
        EXPECT_TRUE(play.complete_job()) << moments;
        if (!play.has_known_fault()) {
            EXPECT_THAT(play.violations(), ::testing::IsEmpty()) << moments;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(troubles, restart_moments,
                         ::testing::Values(trouble::long_task, trouble::short_task, trouble::gang,
                                           trouble::second_restart));

} // namespace
} // namespace jl::jobs
