#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jl::soak {

// What is done to the system under test from outside.
enum class fault_kind {
    kill_node,      // SIGKILL, started again after `length`
    terminate_node, // SIGTERM, started again after `length`
    pause_node,     // SIGSTOP for `length`
    reload_node,    // SIGHUP
    delay_path,     // each piece on the path takes 20 to 300 ms longer
    silence_path,   // nothing passes, connections stay open
    drop_answers,   // requests pass, answers are lost and the connection is closed
    refuse_path,    // new connections are closed
    reset_path,     // existing connections are reset
    freeze_path,    // existing connections fall silent for good, new ones work
    crash_worker,   // a worker's process starts anew
    change_config,  // the operators publish a version
    request_wave    // the operators ask for maintenance of some VMs
};
const char* to_string(fault_kind kind);

// What comes with the restart of a worker; times from its end on.
struct restart_trouble {
    bool silent = false; // its connections stay open when it crashes, so nobody notices at once
    std::chrono::milliseconds registered_after{0}; // until then its registration is the former one
    std::chrono::milliseconds cut_after{0};        // it alone is unreachable from then on
    std::chrono::milliseconds cut_length{0};
};

// In place of a node: the one that leads when the fault begins.
constexpr int leading_node = -1;

// Paths through proxies: one from each node to the store and the VM list, one from all to the
// workers.
struct fault {
    fault_kind kind = fault_kind::kill_node;
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds length{0};
    int target = 0; // node, path or worker; path number `nodes` leads to the workers
    std::optional<restart_trouble> trouble{}; // of crash_worker
};

struct soak_plan {
    std::uint64_t seed = 0;
    std::chrono::milliseconds length{0}; // of the part with faults
    std::vector<fault> faults;           // by time
};

struct soak_shape {
    int nodes = 4;
    std::chrono::milliseconds length{15000};
    bool restarts = false; // with series of workers that restart and are cut off soon after
};

// Draws faults that come in series and overlap. The same seed and shape give the same plan; with
// `restarts`, the same faults and those of the further series.
soak_plan draw_plan(std::uint64_t seed, const soak_shape& shape);
std::string describe(const fault& fault);

} // namespace jl::soak
