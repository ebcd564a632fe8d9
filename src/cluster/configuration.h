#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "objects/objects.h"

namespace jl::cluster {

enum class offer_result {
    accepted,
    not_newer, // its generation is not higher than the one in force
    refused,   // it cannot be parsed or is inconsistent
};

// The configuration in force: the highest generation offered so far. Thread-safe.
class configuration_holder {
public:
    // Takes a document in its stored form (objects::published_configuration) into force if its
    // generation is higher and the whole document is valid. Writes the reason of a refusal to
    // `reason`.
    offer_result offer(const std::string& published, std::string& reason);

    objects::object_set_ptr current() const;
    std::int64_t generation() const;
    // Stored form of the configuration in force, for peers; null if there is none.
    std::shared_ptr<const std::string> published() const;

private:
    mutable std::mutex mutex_;
    objects::object_set_ptr current_;
    std::shared_ptr<const std::string> published_;
};

} // namespace jl::cluster
