// A job in stages is handed in beside ordinary work: 24 stages of three steps, each of which waits
// for the three steps of the stage before. Without the trouble, the same 72 steps are three chains.
#include "deployment.h"

using namespace review;

int main(int count, char** words)
{
    return run_case(count, words, [](deployment& fleet, bool trouble) {
        constexpr int stages = 24;
        constexpr int width = 3;
        const std::string first = "00000000000000b1";
        const std::string staged = "00000000000000b2";
        fleet.start(3, 3);
        const json step = {
            {"count", 2}, {"cpu", 2000}, {"memoryRequestMb", 1024}, {"estimatedMs", 200}};
        const json ordinary = {{"specification", R"({"ms":200})"}, {"steps", {step, step}}};
        if (!fleet.submit(first, ordinary)) {
            throw outcome_error{"the first job was not accepted"};
        }
        json list = json::array();
        for (int stage = 0; stage < stages; ++stage) {
            for (int place = 0; place < width; ++place) {
                auto one = step;
                one["count"] = 1;
                for (int earlier = 0; stage > 0 && earlier < width; ++earlier) {
                    if (trouble || earlier == place) {
                        one["after"].push_back((stage - 1) * width + earlier);
                    }
                }
                list.push_back(one);
            }
        }
        const bool accepted =
            fleet.submit(staged, {{"specification", R"({"ms":20})"}, {"steps", list}});
        fleet.note(std::string("the staged job was ") + (accepted ? "accepted" : "not accepted"));
        pause_for(14000ms); // finish_s after the end of the traffic
        // The first job was accepted; each node is asked twice, a deadline of 3 s each.
        int answers = 0;
        int ready = 0;
        for (int attempt = 0; attempt < 2; ++attempt) {
            for (int number = 0; number < 3; ++number) {
                answers += fleet.send(number, "GET", first) == 200 ? 1 : 0;
            }
        }
        for (int number = 0; number < 3; ++number) {
            const bool alive = fleet.ready(number, 3000ms);
            fleet.note("readiness of node " + std::to_string(number) + " -> " +
                       (alive ? "200" : "no 200"));
            ready += alive ? 1 : 0;
        }
        const bool known = accepted && fleet.send(0, "GET", staged) == 200;
        fleet.note("answers " + std::to_string(answers) + " of 6, ready nodes " +
                   std::to_string(ready) + " of 3, the staged job is " +
                   (known ? fleet.last_state : std::string("not known")));
        return answers == 6;
    });
}
