// A lasting job that finds no room yet is handed in beside a short one that would.
#include "deployment.h"

using namespace review;

int main(int count, char** words)
{
    return run_case(count, words, [](deployment& fleet, bool trouble) {
        constexpr int workers = 8;
        const std::string present = "00000000000000d0";
        const std::string waiting = "00000000000000e0";
        const std::string small = "00000000000000f0";
        fleet.start(3, workers);
        const auto lasting_step = [](int tasks, int memory_mb) {
            return json{{"count", tasks},     {"cpu", 5000},       {"memoryRequestMb", memory_mb},
                        {"estimatedMs", 500}, {"antiAffinity", 1}, {"longRunning", true}};
        };
        const auto job_of = [](const json& steps) {
            return json{{"specification", R"({"held":true})"}, {"steps", steps}};
        };
        // One task on each worker, with 64,000 of its 131,072 MB and 5 of its 64 cores.
        if (!fleet.submit(present, job_of(json::array({lasting_step(workers, 64000)})))) {
            throw outcome_error{"the first job was not accepted"};
        }
        fleet.eventually([&] { return fleet.count_events("start", present) >= workers; },
                         "the lasting tasks were not started");
        pause_for(1000ms);
        if (trouble) {
            // 68,000 MB: a little more than any worker has left.
            json steps = json::array();
            for (int number = 0; number < workers; ++number) {
                steps.push_back(lasting_step(1, 68000));
            }
            if (!fleet.submit(waiting, job_of(steps))) {
                throw outcome_error{"the second job was not accepted"};
            }
        }
        pause_for(500ms);
        const json short_job = {
            {"specification", R"({"ms":300})"},
            {"steps",
             {{{"count", 2}, {"cpu", 1000}, {"memoryRequestMb", 512}, {"estimatedMs", 300}}}}};
        if (!fleet.submit(small, short_job)) {
            throw outcome_error{"the short job was not accepted"};
        }
        pause_for(20000ms); // finish_s is 14
        const auto starts = fleet.count_events("start", small);
        fleet.send(0, "GET", small);
        fleet.note("20 s after it was accepted, " + std::to_string(starts) +
                   " of the short job's 2 tasks have been started; each of the " +
                   std::to_string(workers) +
                   " workers has 59 of 64 cores and 67,072 of 131,072 "
                   "MB free");
        return starts >= 2;
    });
}
