#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/settings.h"

namespace jl::standins {

// One VM of a stand-in deployment, read from the JSON file that the platform and target stand-ins
// share: {"vms": [{"vm", "address", "data_centre", "rack", "pool", "cores", "memory_gb",
// "accelerators"}]}.
struct vm_definition {
    std::string vm;
    endpoint address;
    std::string data_centre;
    std::string rack;
    std::string pool;
    double cores = 64;
    double memory_gb = 128;
    int accelerators = 0;
};

std::optional<std::vector<vm_definition>> load_vm_file(const std::string& path, std::string& error);

} // namespace jl::standins
