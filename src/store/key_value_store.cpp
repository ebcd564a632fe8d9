#include "store/key_value_store.h"

namespace jl::store {

namespace {

store_error& thread_error()
{
    thread_local store_error error;
    return error;
}

} // namespace

const store_error& last_error()
{
    return thread_error();
}

std::nullopt_t internal::fail(store_error_code code, std::string message)
{
    thread_error() = {code, std::move(message)};
    return std::nullopt;
}

std::string prefix_end(std::string prefix)
{
    while (!prefix.empty()) {
        const auto last = static_cast<unsigned char>(prefix.back());
        if (last != 0xff) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

compare key_absent(std::string key)
{
    return {compare::field::create_revision, std::move(key), 0};
}

compare unchanged_since(std::string key, std::int64_t mod_revision)
{
    return {compare::field::mod_revision, std::move(key), mod_revision};
}

compare created_at(std::string key, std::int64_t create_revision)
{
    return {compare::field::create_revision, std::move(key), create_revision};
}

operation put(std::string key, std::string value, std::int64_t lease)
{
    return {operation::kind::put, std::move(key), std::move(value), "", lease};
}

operation remove(std::string key)
{
    return {operation::kind::remove, std::move(key), "", "", 0};
}

operation get(std::string key)
{
    return {operation::kind::range, std::move(key), "", "", 0};
}

} // namespace jl::store
