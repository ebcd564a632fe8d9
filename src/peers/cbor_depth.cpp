#include "peers/cbor_depth.h"

#include <cstdint>
#include <vector>

namespace jl::peers::internal {

namespace {

enum major_type { positive, negative, bytes, text, array, map, tag, simple };

constexpr unsigned first_wide_argument = 24; // argument in the following byte
constexpr unsigned last_wide_argument = 27;  // argument in the following 8 bytes

struct head {
    unsigned major = 0;
    std::uint64_t argument = 0;
};

class reader {
public:
    explicit reader(std::string_view input) : rest_(input) {}

    bool empty() const { return rest_.empty(); }

    // Reads the head of a data item. Fails on indefinite lengths, which our encoder never writes.
    bool read(head& result)
    {
        if (rest_.empty()) {
            return false;
        }
        const auto initial = static_cast<unsigned char>(rest_.front());
        rest_.remove_prefix(1);
        result.major = initial >> 5U;
        const unsigned low = initial & 0x1fU;
        result.argument = low;
        if (low < first_wide_argument) {
            return true;
        }
        if (low > last_wide_argument) {
            return false;
        }
        const std::size_t width = std::size_t{1} << (low - first_wide_argument);
        if (rest_.size() < width) {
            return false;
        }
        result.argument = 0;
        for (std::size_t i = 0; i < width; ++i) {
            result.argument = (result.argument << 8U) | static_cast<unsigned char>(rest_[i]);
        }
        rest_.remove_prefix(width);
        return true;
    }

    bool skip(std::uint64_t count)
    {
        if (count > rest_.size()) {
            return false;
        }
        rest_.remove_prefix(count);
        return true;
    }

    std::size_t size() const { return rest_.size(); }

private:
    std::string_view rest_;
};

} // namespace

bool has_bounded_depth(std::string_view input, std::size_t limit)
{
    reader reader(input);
    std::vector<std::uint64_t> open{1}; // items still to read at each level
    while (!open.empty()) {
        if (open.back() == 0) {
            open.pop_back();
            continue;
        }
        --open.back();
        head head;
        if (!reader.read(head)) {
            return false;
        }
        switch (head.major) {
        case bytes:
        case text:
            if (!reader.skip(head.argument)) {
                return false;
            }
            break;
        case array:
        case map:
            // Each item takes a byte at least, which bounds what the parser reserves.
            if (open.size() > limit || head.argument > reader.size()) {
                return false;
            }
            open.push_back(head.major == map ? head.argument * 2 : head.argument);
            break;
        case tag:
            return false;
        default:
            break;
        }
    }
    return reader.empty();
}

} // namespace jl::peers::internal
