#pragma once

#include <chrono>
#include <memory>
#include <vector>

#include "base/settings.h"
#include "store/key_value_store.h"

namespace jl::store {

struct etcd_options {
    std::vector<endpoint> endpoints; // tried in order after a failed connection
    std::size_t max_connections = 16;
    // A watch without any traffic for this long is taken as lost. The connection may have been
    // dropped silently, which TCP reports only after many minutes.
    std::chrono::milliseconds watch_silence{20000};
};

// Binding to the etcd v3 JSON gateway (range, txn, lease and watch calls).
std::unique_ptr<key_value_store> make_etcd_store(etcd_options options);

} // namespace jl::store
