#pragma once

#include <string_view>

namespace jl::peers::internal {

// True if `bytes` nest arrays and maps at most `limit` deep and use no tags. The CBOR parser
// recurses once per level, so a deeper input could exhaust the stack.
bool has_bounded_depth(std::string_view bytes, std::size_t limit);

} // namespace jl::peers::internal
