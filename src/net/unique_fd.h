#pragma once

#include <utility>

#include <unistd.h>

namespace jl::net {

// Owns a file descriptor and closes it.
class unique_fd {
public:
    unique_fd() = default;
    explicit unique_fd(int descriptor) : descriptor_(descriptor) {}
    ~unique_fd() { reset(); }
    unique_fd(unique_fd&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
    unique_fd& operator=(unique_fd&& other) noexcept
    {
        if (this != &other) {
            reset();
            descriptor_ = std::exchange(other.descriptor_, -1);
        }
        return *this;
    }
    unique_fd(const unique_fd&) = delete;
    unique_fd& operator=(const unique_fd&) = delete;

    int get() const { return descriptor_; }
    bool valid() const { return descriptor_ >= 0; }
    void reset()
    {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
        }
        descriptor_ = -1;
    }

private:
    int descriptor_ = -1;
};

} // namespace jl::net
