// Many users hand in small jobs; the leading node is killed while the jobs' tasks end.
#include "deployment.h"

using namespace review;

int main(int count, char** words)
{
    return run_case(count, words, [](deployment& fleet, bool trouble) {
        constexpr int jobs = 32;
        constexpr int tasks_of_job = 20;
        const std::string ids = "00000000000000"; // the jobs' ids begin so
        const auto id_of = [&](int number) {
            const std::string digits = "0123456789abcdef";
            return ids + digits[static_cast<std::size_t>(number / 16)] +
                   digits[static_cast<std::size_t>(number % 16)];
        };
        fleet.start(3, 3);
        const json job = {{"specification", R"({"ms":4000})"},
                          {"steps",
                           {{{"count", tasks_of_job},
                             {"cpu", 90},
                             {"memoryRequestMb", 128},
                             {"estimatedMs", 4000}}}}};
        for (int number = 0; number < jobs; ++number) {
            if (!fleet.submit(id_of(number), job)) {
                throw outcome_error{"a job was not accepted"};
            }
            pause_for(20ms); // 50 jobs a second
        }
        fleet.eventually([&] { return fleet.count_events("start", ids) >= jobs * tasks_of_job; },
                         "not all tasks were started", 4000ms);
        fleet.note("all tasks were started");
        fleet.eventually([&] { return fleet.count_events("end", ids) >= 1; }, "no task has ended",
                         6000ms);
        if (trouble) {
            const int first = fleet.leader();
            if (first < 0) {
                throw outcome_error{"no leader"};
            }
            fleet.note("SIGKILL to node " + std::to_string(first) + ", which leads");
            end_process(fleet.nodes[first].process);
            pause_for(1000ms);
            fleet.start_node(first); // the platform starts it again
        }
        pause_for(10000ms);
        for (int number = 0; number < 3; ++number) {
            fleet.send(number, "GET", id_of(0));
        }
        const auto broken = fleet.starts_after("done", 1);
        fleet.note("starts " + std::to_string(fleet.count_events("start", ids)) + ", ends " +
                   std::to_string(fleet.count_events("end", ids)) +
                   ", starts after `done`: " + std::to_string(broken.size()));
        for (const auto& line : broken) {
            fleet.note("TWICE " + line);
        }
        return broken.empty();
    });
}
