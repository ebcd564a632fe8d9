#pragma once

#include <utility>

namespace jl {

// Calls a function when the guard is destroyed, usually at the end of the enclosing scope.
//
//   const scope_guard close([&] { file.close(); });
template <typename Function>
class scope_guard {
public:
    explicit scope_guard(Function function) : function_(std::move(function)) {}
    ~scope_guard() { function_(); }
    scope_guard(const scope_guard&) = delete;
    scope_guard& operator=(const scope_guard&) = delete;

private:
    Function function_;
};

} // namespace jl
