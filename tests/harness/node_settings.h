#pragma once

#include <string>

#include "base/settings.h"

namespace jl::harness {

// Where a jl-node of a test listens, and what it talks to.
struct node_addresses {
    endpoint callers;
    endpoint readiness;
    endpoint peers;    // other processes
    endpoint platform; // store, VM list and VM orders
};

// Limits of the VM that a jl-node runs on; 0: not stated.
struct vm_limits {
    int memory_mb = 0;
    int file_descriptors = 0;
};

// The settings file of a jl-node, as the platform writes it.
std::string node_settings(const std::string& name, const node_addresses& addresses,
                          const vm_limits& limits = {});

} // namespace jl::harness
