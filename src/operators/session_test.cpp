#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>

#include <gtest/gtest.h>

#include "objects/fields.h"
#include "operators/admin_settings.h"
#include "operators/ctl.h"
#include "operators/report.h"
#include "operators/test_support.h"

// Whole operator sessions, compared with the files in tests/golden/. After a deliberate change,
// JL_UPDATE_GOLDEN=1 writes the files anew; the difference is then reviewed like code.
namespace jl::operators {
namespace {

using testing::make_document;

std::string read_source(const std::string& path)
{
    const std::ifstream file(std::string(JL_SOURCE_DIR) + "/" + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void compare_with_file(const std::string& path, const std::string& content)
{
    if (std::getenv("JL_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(std::string(JL_SOURCE_DIR) + "/" + path) << content;
    }
    EXPECT_EQ(read_source(path), content) << path;
}

// A connection to an administration API in the same process.
class local_transport final : public admin_transport {
public:
    local_transport(admin_api& api, int& lost_answers) : api_(api), lost_answers_(lost_answers) {}

    std::optional<http::response> exchange(const http::request& request) override
    {
        auto answer = api_.handle(request);
        if (lost_answers_ > 0) {
            --lost_answers_;
            return std::nullopt;
        }
        return answer;
    }
    transport_error last_error() const override
    {
        return {transport_error_code::outcome_unknown, "connection lost"};
    }

private:
    admin_api& api_;
    int& lost_answers_;
};

class session : public ::testing::Test {
protected:
    session()
    {
        for (int index = 1; index <= 4; ++index) {
            const auto number = std::to_string(index);
            observer.snapshot.vms.push_back(testing::make_vm(
                "vm-" + number, "rounds", "rack-" + std::to_string((index + 1) / 2), "dc-1"));
        }
        files["new.json"] = make_document();
    }

    ctl_exit run(const std::string& user, const std::vector<std::string>& arguments)
    {
        std::ostringstream output;
        std::ostringstream errors;
        const ctl_environment environment{
            output,
            errors,
            [&](const std::vector<endpoint>&, std::chrono::milliseconds) {
                return std::make_unique<local_transport>(api, lost_answers);
            },
            [&](const std::string& path) -> std::optional<std::string> {
                const auto found = files.find(path);
                return path == "token"        ? user + ".secret\n"
                       : found == files.end() ? std::nullopt
                                              : std::optional(found->second);
            },
            [&](const std::string& path, const std::string& content) {
                files[path] = content;
                return true;
            },
            [](const std::string& name) { return name == "JLCTL_TOKEN_FILE" ? "token" : ""; },
            [&] { return "write-" + std::to_string(++ids); },
            [] { return std::string("00112233445566778899aabbccddeeff"); },
            [&](std::chrono::milliseconds time) {
                clock.advance(time);
                deliver();
            },
            [&](const endpoint&) { return std::optional(metrics_text); }};
        const auto code = run_ctl(arguments, environment);
        transcript << user << "$ jlctl";
        for (const auto& argument : arguments) {
            transcript << " " << argument;
        }
        transcript << "\n" << output.str();
        if (!errors.str().empty()) {
            transcript << "[stderr]\n" << errors.str();
        }
        transcript << "[exit " << static_cast<int>(code) << "]\n\n";
        clock.advance(std::chrono::seconds(1));
        return code;
    }

    void publish(const std::string& user, const std::string& document, int expected)
    {
        files["new.json"] = document;
        EXPECT_EQ(
            run(user, {"apply", "new.json", "--expected-generation", std::to_string(expected)}),
            ctl_exit::done);
    }

    // Brings the configuration in the store into force at both entries.
    void deliver()
    {
        configuration_service service(store, clock, testing::fast_configuration());
        const auto current = service.current();
        std::vector<objects::object_error> faults;
        observer.set = std::make_shared<const objects::object_set>(
            objects::parse_objects(current->document, faults).value_or(objects::object_set{}));
        observer.statuses = {testing::make_member("entry-1", current->generation),
                             testing::make_member("entry-2", current->generation)};
    }

    void put(const std::string& key, const std::string& value)
    {
        store.commit({{}, {store::put(key, value)}, {}},
                     clock.steady_now() + std::chrono::seconds(1));
    }

    void expect_golden(const std::string& name)
    {
        compare_with_file("tests/golden/" + name + ".txt", transcript.str());
    }

    testing::manual_clock clock;
    testing::losing_store store{clock};
    testing::fake_observer observer;
    jl::metrics metrics;
    admin_api api{store,   observer,
                  clock,   testing::make_registry(),
                  metrics, {testing::fast_configuration(), testing::fast_control()}};
    std::map<std::string, std::string> files;
    std::string metrics_text;
    std::ostringstream transcript;
    int ids = 0;
    int lost_answers = 0;
};

// Guards against a change in what operators see when all goes well.
TEST_F(session, publish)
{
    run("ann", {"check", "new.json"});
    run("ann", {"plan", "new.json"});
    publish("ann", files["new.json"], 0);
    run("ann", {"status"});
    files["new.json"] = make_document(6, 2);
    run("bob", {"diff", "new.json"});
    run("bob", {"apply", "new.json", "--expected-generation", "1", "--wait-s", "5"});
    run("bob", {"status"});
    run("bob", {"status", "--output", "json"});
    run("bob", {"diff", "--from", "2", "--to", "1"});
    run("bob", {"history"});
    run("bob", {"history", "1"});
    expect_golden("publish");
}

// Guards against parts of a refused document taking effect, and against unclear refusals.
TEST_F(session, refusal)
{
    publish("ann", make_document(), 0);
    deliver();
    files["bad.json"] = make_document(1, 0);
    run("ann", {"check", "bad.json"});
    run("ann", {"apply", "bad.json", "--expected-generation", "1"});
    run("ann", {"apply", "bad.json", "--expected-generation", "1", "--output", "json"});
    files["new.json"] = make_document(6);
    run("sian", {"apply", "new.json", "--expected-generation", "1"});
    run("rhys", {"pause", "monthly"});
    run("ghost", {"status"});
    run("ann", {"apply", "new.json"});
    run("ann", {"apply", "missing.json", "--expected-generation", "1"});
    run("ann", {"history", "--limit", "many"});
    run("ann", {"history", "--color"});
    run("ann", {"explain", "wave", "weekly"});
    run("ann", {"history"});
    expect_golden("refusal");
}

// Guards against the second of two operators overwriting the first one's change.
TEST_F(session, race)
{
    publish("ann", make_document(), 0);
    publish("bob", make_document(6), 1);
    files["ann.json"] = make_document(4, 2);
    EXPECT_EQ(run("ann", {"apply", "ann.json", "--expected-generation", "1"}), ctl_exit::conflict);
    files["ann.json"] = make_document(6, 2);
    run("ann", {"diff", "ann.json"});
    EXPECT_EQ(run("ann", {"apply", "ann.json", "--expected-generation", "2"}), ctl_exit::done);
    expect_golden("race");
}

// Guards against a lost answer leading to a doubled or a forgotten change.
TEST_F(session, lost_answer)
{
    store.lose_answers(1);
    publish("ann", make_document(), 0);
    lost_answers = 1; // between jlctl and jl-admin
    publish("ann", make_document(6), 1);
    deliver();
    lost_answers = 1;
    run("ann", {"pause", "monthly"});
    store.drop_requests(1000);
    files["new.json"] = make_document(8);
    run("ann", {"apply", "new.json", "--expected-generation", "2"});
    store.drop_requests(0);
    run("ann", {"apply", "new.json", "--expected-generation", "2", "--write-id", "write-4"});
    run("ann", {"apply", "new.json", "--expected-generation", "2", "--write-id", "write-4"});
    store.memory().inject(standins::store_fault::unavailable);
    run("ann", {"apply", "new.json", "--expected-generation", "3"});
    run("ann", {"resume", "monthly"});
    store.memory().inject(standins::store_fault::none);
    run("ann", {"history"});
    expect_golden("lost_answer");
}

// Guards against operators not being told why a wave or a VM stands still.
TEST_F(session, wave)
{
    publish("ann", make_document(), 0);
    deliver();
    records::vm_record record;
    record.vm = "vm-1";
    record.pool = "rounds";
    record.phase = records::vm_phase::leaving;
    record.reason = "wave monthly";
    record.operation_id = "operation-1";
    put("/jl/vms/vm-1", records::to_json(record));
    run("ann", {"pause", "monthly"});
    run("ann", {"explain", "wave", "monthly"});
    run("ann", {"resume", "monthly"});
    run("ann", {"explain", "wave", "monthly"});
    run("ann", {"explain", "vm", "vm-1"});
    run("bob", {"drain", "vm-2"});
    run("bob", {"explain", "vm", "vm-2"});
    run("bob", {"drain", "vm-2", "--withdraw"});
    run("sian", {"drain", "vm-2"});
    run("ann", {"cancel", "monthly"});
    run("ann", {"status"});
    run("ann", {"history"});
    expect_golden("wave");
}

// Guards against queues that grow without operators being able to see them.
TEST_F(session, queues)
{
    publish("ann", make_document(), 0);
    deliver();
    observer.statuses[0].loads = {{"rounds", 40, 8, 120.5, 0}};
    observer.statuses[1].loads = {{"rounds", 2, 4, 30, 5000}};
    records::request_record record;
    record.id = "r-1";
    record.service = "rounds";
    record.team = "planning";
    record.request_class = "deferred";
    record.accepted_at = to_unix(clock.wall_now());
    put("/jl/deferred/rounds/r-1", records::to_json(record));
    run("ann", {"backlog"});
    run("ann", {"explain", "request", "r-1"});
    run("ann", {"explain", "request", "r-2"});
    run("ann", {"top", "--count", "1", "--output", "json"});
    expect_golden("queues");
}

// Guards against usage texts that miss a command, and exit codes that change unnoticed.
TEST_F(session, usage)
{
    run("ann", {"--help"});
    run("ann", {"apply", "--help"});
    run("ann", {"destroy"});
    run("ann", {"pause"});
    run("ann", {"status", "--output", "xml"});
    run("ann", {"status", "--server", "somewhere"});
    run("ann", {"--server", "127.0.0.1:1", "--output=json", "check", "new.json"});
    run("ann", {"--server", "127.0.0.1:1"});
    run("ann", {"token", "mair", "team:booking"});
    run("ann", {"token", "mair", "reader", "--secret", "s3cret"});
    run("ann", {"token", "mair", "king"});
    expect_golden("usage");
}

// Guards against a report that loads anything from elsewhere, runs scripts, or hides missing data.
TEST_F(session, report)
{
    publish("ann", make_document(), 0);
    deliver();
    metrics_text = "# HELP jl_start_seconds Time until start\n"
                   "jl_start_seconds_bucket{class=\"urgent\",le=\"0.5\"} 90\n"
                   "jl_start_seconds_bucket{class=\"urgent\",le=\"4.4\"} 99\n"
                   "jl_start_seconds_bucket{class=\"urgent\",le=\"+Inf\"} 100\n"
                   "jl_queue_length{class=\"<b>\",service=\"rounds\"} 7\n";
    EXPECT_EQ(run("ann", {"report", "report.html", "--samples", "2"}), ctl_exit::done);
    const auto& page = files["report.html"];
    for (const char* external : {"http:", "https:", "src=", "<script", "url(", "@import"}) {
        EXPECT_EQ(page.find(external), std::string::npos) << external;
    }
    EXPECT_NE(page.find("within 4.4 s"), std::string::npos);
    EXPECT_NE(page.find("99%"), std::string::npos);
    EXPECT_EQ(page.find("<b>"), std::string::npos);
    EXPECT_NE(page.find("No data: no jl_planner_steps_total"), std::string::npos);
}

// Guards against metrics being misread, e.g. label values with braces or commas.
TEST(parse_metrics, reads_labels_and_values)
{
    const auto samples = parse_metrics("# TYPE a gauge\na 1\nb{x=\"1,}\",y=\"z\"} 2.5\nbroken{\n\n"
                                       "c{} 3 1700000000\nword\n");
    ASSERT_EQ(samples.size(), 3U);
    EXPECT_EQ(samples[1].labels.at("x"), "1,}");
    EXPECT_EQ(samples[1].labels.at("y"), "z");
    EXPECT_EQ(samples[1].value, 2.5);
    EXPECT_EQ(samples[2].value, 3);
}

// Guards against reference pages that differ from what the checker does.
TEST(reference_pages, equal_the_tables)
{
    compare_with_file("docs/reference/objects.md", objects::describe_objects());
    compare_with_file("docs/reference/jlctl.md", describe_commands());
    compare_with_file("docs/reference/admin-api.md", admin_api::describe());
    compare_with_file("docs/reference/admin-settings.md", describe_admin_settings());
}

// Guards against alerts that can never fire because no process exports their metric.
TEST(alert_rules, name_metrics_that_exist)
{
    std::string sources;
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(std::string(JL_SOURCE_DIR) + "/src")) {
        const auto path = entry.path().string();
        if (entry.path().extension() == ".cpp" && path.find("_test") == std::string::npos) {
            const std::ifstream file(path);
            std::ostringstream text;
            text << file.rdbuf();
            sources += text.str();
        }
    }
    const auto rules = read_source("docs/operations/alerts.yml");
    const std::regex metric("jl_[a-z_]+");
    int found = 0;
    for (std::sregex_iterator match(rules.begin(), rules.end(), metric), end; match != end;
         ++match) {
        // Histograms export series with these endings.
        const auto name = std::regex_replace(match->str(), std::regex("_(bucket|count|sum)$"), "");
        EXPECT_NE(sources.find('"' + name + '"'), std::string::npos) << name;
        ++found;
    }
    EXPECT_GT(found, 20);
}

// Guards against examples that the checker refuses.
TEST(examples, are_valid)
{
    for (const char* path : {"examples/co-op/objects.json", "examples/head-office/objects.json"}) {
        std::vector<objects::object_error> faults;
        const auto set = objects::parse_objects(read_source(path), faults);
        ASSERT_TRUE(set) << path << ": " << (faults.empty() ? "" : faults.front().to_string());
        EXPECT_EQ(set->services.size(), 5U);
    }
}

} // namespace
} // namespace jl::operators
