#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jl::operators {

enum class operator_role {
    reader,        // may read everything and change nothing
    team,          // may also change what the team owns
    administrator, // may change everything
};

struct operator_account {
    std::string name;
    operator_role role = operator_role::reader;
    std::string team;
    int iterations = 0;
    std::string salt; // hexadecimal
    std::string hash; // hexadecimal

    // Whether the operator may change something owned by this team (empty: by nobody).
    bool may_change(const std::string& owner_team) const;
};

// The operators who may use the administration API.
//
// A bearer token is "<operator>.<secret>". The settings hold one line for each operator, with the
// secret as a salted PBKDF2 hash with HMAC-SHA-256:
//   "<operator> administrator|reader|team:<team> <iterations>$<salt>$<hash>"
// Immutable, so safe to use from any thread.
class operator_registry {
public:
    // Appends every fault of the lines to `errors`.
    static operator_registry from_lines(const std::vector<std::string>& lines,
                                        std::vector<std::string>& errors);

    // Finds the operator of an Authorization header with a valid bearer token.
    std::optional<operator_account> authenticate(std::string_view authorization) const;

private:
    std::vector<operator_account> accounts_;
};

// Hash of a secret as the settings hold it, in hexadecimal.
std::string hash_secret(const std::string& secret, const std::string& salt, int iterations);

// The settings line of an operator. `role` is as in the settings.
std::string account_line(const std::string& name, const std::string& role,
                         const std::string& secret, const std::string& salt);

} // namespace jl::operators
