#pragma once

#include <cstdint>

namespace jl::decisions {

// Resources that a task requests, that a worker provides, or that a team may use.
struct task_resources {
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const task_resources& other) const
    {
        return millicores == other.millicores && memory_mb == other.memory_mb &&
               accelerators == other.accelerators;
    }

    task_resources& operator+=(const task_resources& other)
    {
        millicores += other.millicores;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }
};

} // namespace jl::decisions
