#include "tests/harness/node_settings.h"

#include <nlohmann/json.hpp>

namespace jl::harness {

std::string node_settings(const std::string& name, const node_addresses& addresses,
                          const vm_limits& limits)
{
    const auto platform = addresses.platform.to_string();
    nlohmann::json settings = {{"nodeName", name},
                               {"ipAddress", addresses.peers.address},
                               {"zone", "north"},
                               {"listenAddresses",
                                {{"frontendAddress", addresses.callers.to_string()},
                                 {"readiness", addresses.readiness.to_string()}}},
                               {"internalPortRange", {addresses.peers.port, addresses.peers.port}},
                               {"platform", {{"address", platform}}},
                               {"cloud", {{"address", platform}}},
                               {"bounds", {{"graceS", 4}, {"stopMs", 300}}}};
    if (limits.memory_mb != 0) {
        settings["limits"]["memoryMb"] = limits.memory_mb;
    }
    if (limits.file_descriptors != 0) {
        settings["limits"]["fileDescriptors"] = limits.file_descriptors;
    }
    return settings.dump();
}

} // namespace jl::harness
