#include <gtest/gtest.h>

#include "operators/operator_registry.h"
#include "operators/test_support.h"

namespace jl::operators {
namespace {

// Test vector of RFC 7914, section 11 (first 32 bytes). Guards against a hash that other tools
// cannot reproduce.
TEST(operator_registry, hashes_with_pbkdf2_hmac_sha256)
{
    EXPECT_EQ(hash_secret("passwd", "salt", 1),
              "55ac046e56e3089fec1691c22544b605f94185216dde0465e68b9d57c20dacbc");
}

// Guards against accepting a wrong secret, another operator's name, or no token at all.
TEST(operator_registry, accepts_only_valid_tokens)
{
    const auto registry = testing::make_registry();
    const auto account = registry.authenticate("Bearer sian.secret");
    ASSERT_TRUE(account);
    EXPECT_EQ(account->role, operator_role::team);
    EXPECT_EQ(account->team, "planning");
    for (const char* header : {"", "Bearer ", "Bearer sian", "Bearer sian.", "Bearer sian.Secret",
                               "Bearer ghost.secret", "Basic sian.secret", "sian.secret"}) {
        EXPECT_FALSE(registry.authenticate(header)) << header;
    }
}

// Guards against a team or reader changing objects that nobody or another team owns.
TEST(operator_account, may_change_by_role)
{
    operator_account account;
    EXPECT_FALSE(account.may_change("planning"));
    account.role = operator_role::team;
    account.team = "planning";
    EXPECT_TRUE(account.may_change("planning"));
    EXPECT_FALSE(account.may_change("booking"));
    EXPECT_FALSE(account.may_change(""));
    account.role = operator_role::administrator;
    EXPECT_TRUE(account.may_change(""));
}

// Guards against starting with an account that nobody can use, or that is defined twice.
TEST(operator_registry, reports_every_faulty_line)
{
    const auto good = account_line("ann", "administrator", "secret", "01");
    std::vector<std::string> errors;
    operator_registry::from_lines({good, good, "", "ann", "bob king 1000$01$ab", good + " more",
                                   account_line("x.y", "reader", "s", "01"),
                                   account_line("z", "team:", "s", "01")},
                                  errors);
    EXPECT_EQ(errors.size(), 7U);
    for (const auto& error : errors) {
        EXPECT_EQ(error.find("$01$"), std::string::npos) << "a hash is quoted: " << error;
    }
}

} // namespace
} // namespace jl::operators
