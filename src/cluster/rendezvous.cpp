#include "cluster/rendezvous.h"

#include "base/ids.h"

namespace jl::cluster {

bool is_selected(const std::string& self, const std::vector<std::string>& others,
                 const std::string& key, std::size_t count)
{
    const auto own = rendezvous_score(self, key);
    std::size_t better = 0;
    for (const auto& other : others) {
        const auto score = rendezvous_score(other, key);
        if (score > own || (score == own && other < self)) {
            ++better;
        }
    }
    return better < count;
}

} // namespace jl::cluster
