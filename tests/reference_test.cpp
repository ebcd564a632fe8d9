// Reference pages and start-up checks of the programs.

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "tests/harness/child_process.h"

namespace jl::harness {
namespace {

using testing::EndsWith;
using testing::HasSubstr;

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

struct program_output {
    int exit_code = 0;
    std::string text;
};

program_output run_program(const std::string& program, const std::vector<std::string>& arguments)
{
    const std::string log = testing::TempDir() + program + "-" + std::to_string(getpid()) + ".txt";
    std::remove(log.c_str());
    child_process process(std::string(JL_BIN_DIR) + "/" + program, arguments, log);
    program_output output;
    output.exit_code = process.wait_for_exit();
    output.text = read_file(log);
    return output;
}

// Guards against pages that describe settings which the program does not have, or the reverse.
TEST(reference, settings_pages_match_the_programs)
{
    for (const std::string name : {"entry", "planner"}) {
        const auto page =
            read_file(std::string(JL_SOURCE_DIR) + "/docs/reference/" + name + "-settings.md");
        const auto output = run_program("jl-" + name, {"--help-settings"});
        EXPECT_EQ(output.exit_code, 0);
        EXPECT_FALSE(output.text.empty());
        EXPECT_THAT(page, EndsWith(output.text)) << name;
    }
}

// Guards against a program that starts with part of its settings wrong, or reports one fault only.
TEST(reference, programs_refuse_wrong_settings_with_all_faults)
{
    const std::string path = testing::TempDir() + "wrong-" + std::to_string(getpid()) + ".json";
    std::ofstream(path) << R"({"member": {"id": 7}, "caller": {"lisen": "127.0.0.1:1"}})";
    const auto output = run_program("jl-entry", {"--settings", path});
    EXPECT_EQ(output.exit_code, 2);
    EXPECT_THAT(output.text, HasSubstr("unknown key \"caller.lisen\""));
    EXPECT_THAT(output.text, HasSubstr("key \"member.id\": expected string, found 7"));
    EXPECT_THAT(output.text, HasSubstr("missing key \"store.endpoints\""));
    EXPECT_THAT(output.text, HasSubstr(path));
}

} // namespace
} // namespace jl::harness
