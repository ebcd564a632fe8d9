#pragma once

#include <string>
#include <vector>

namespace jl::cluster {

// Members that hold a watch or poll the VM list for all.
inline constexpr std::size_t selected_members = 2;

// True if `self` has one of the `count` highest rendezvous scores for `key` among itself and
// `others`. Members with the same view of the others agree on the selection.
bool is_selected(const std::string& self, const std::vector<std::string>& others,
                 const std::string& key, std::size_t count = selected_members);

} // namespace jl::cluster
