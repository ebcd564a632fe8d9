#include "operators/operator_registry.h"

#include <algorithm>
#include <sstream>

#include <Poco/DigestEngine.h>
#include <Poco/HMACEngine.h>
#include <Poco/PBKDF2Engine.h>
#include <Poco/SHA2Engine.h>

#include "objects/fields.h"

namespace jl::operators {

namespace {

// Secrets are random, so the number of iterations is not their main protection. A higher one would
// let requests with wrong secrets use up the 1% of a core that control may take.
constexpr int default_iterations = 1000;
constexpr int max_iterations = 100000;
constexpr std::size_t hash_bytes = 32;
constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view team_prefix = "team:";

// HMACEngine expects the sizes as constants of the digest class.
class sha256_engine : public Poco::SHA2Engine {
public:
    enum { BLOCK_SIZE = 64, DIGEST_SIZE = hash_bytes }; // NOLINT(readability-identifier-naming)
};

// Compares in constant time, so that the time of an answer does not tell a matching prefix.
bool equal_constant_time(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t index = 0; index < left.size(); ++index) {
        difference |= static_cast<unsigned char>(left[index]) ^
                      static_cast<unsigned>(static_cast<unsigned char>(right[index]));
    }
    return difference == 0;
}

bool parse_role(const std::string& text, operator_account& account)
{
    if (text == "administrator") {
        account.role = operator_role::administrator;
        return true;
    }
    if (text == "reader") {
        account.role = operator_role::reader;
        return true;
    }
    account.role = operator_role::team;
    account.team = text.substr(std::min(team_prefix.size(), text.size()));
    return text.compare(0, team_prefix.size(), team_prefix) == 0 &&
           objects::valid_name(account.team);
}

std::optional<operator_account> parse_account(const std::string& line)
{
    operator_account account;
    std::istringstream words(line);
    std::string role;
    std::string credentials;
    std::string rest;
    if (!(words >> account.name >> role >> credentials) || words >> rest ||
        !objects::valid_name(account.name) || !parse_role(role, account)) {
        return std::nullopt;
    }
    // The name ends at the first dot of a token.
    const auto first = credentials.find('$');
    const auto second = credentials.find('$', first + 1);
    if (account.name.find('.') != std::string::npos || first == std::string::npos ||
        second == std::string::npos) {
        return std::nullopt;
    }
    const auto iterations = credentials.substr(0, first);
    if (iterations.empty() || iterations.size() > 6 ||
        iterations.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    account.iterations = std::stoi(iterations);
    account.salt = credentials.substr(first + 1, second - first - 1);
    account.hash = credentials.substr(second + 1);
    if (account.iterations < 1 || account.iterations > max_iterations || account.salt.empty() ||
        account.hash.size() != 2 * hash_bytes) {
        return std::nullopt;
    }
    return account;
}

} // namespace

bool operator_account::may_change(const std::string& owner_team) const
{
    return role == operator_role::administrator ||
           (role == operator_role::team && !owner_team.empty() && owner_team == team);
}

std::string hash_secret(const std::string& secret, const std::string& salt, int iterations)
{
    Poco::PBKDF2Engine<Poco::HMACEngine<sha256_engine>> engine(
        salt, static_cast<unsigned>(iterations), hash_bytes);
    engine.update(secret);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

std::string account_line(const std::string& name, const std::string& role,
                         const std::string& secret, const std::string& salt)
{
    return name + " " + role + " " + std::to_string(default_iterations) + "$" + salt + "$" +
           hash_secret(secret, salt, default_iterations);
}

operator_registry operator_registry::from_lines(const std::vector<std::string>& lines,
                                                std::vector<std::string>& errors)
{
    operator_registry registry;
    for (std::size_t index = 0; index < lines.size(); ++index) {
        auto account = parse_account(lines[index]);
        // The line is not quoted: it holds a hash.
        const std::string position = "operators, entry " + std::to_string(index + 1) + ": ";
        if (!account) {
            errors.push_back(position + "expected \"NAME administrator|reader|team:TEAM "
                                        "ITERATIONS$SALT$HASH\", as printed by `jlctl token`");
            continue;
        }
        const auto same_name = [&](const operator_account& other) {
            return other.name == account->name;
        };
        if (std::any_of(registry.accounts_.begin(), registry.accounts_.end(), same_name)) {
            errors.push_back(position + "operator " + account->name + " is defined twice");
            continue;
        }
        registry.accounts_.push_back(std::move(*account));
    }
    return registry;
}

std::optional<operator_account>
operator_registry::authenticate(std::string_view authorization) const
{
    if (authorization.substr(0, bearer.size()) != bearer) {
        return std::nullopt;
    }
    const auto token = authorization.substr(bearer.size());
    const auto dot = token.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto name = token.substr(0, dot);
    const std::string secret(token.substr(dot + 1));
    for (const auto& account : accounts_) {
        if (account.name != name) {
            continue;
        }
        if (equal_constant_time(hash_secret(secret, account.salt, account.iterations),
                                account.hash)) {
            return account;
        }
    }
    return std::nullopt;
}

} // namespace jl::operators
