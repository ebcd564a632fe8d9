#include <gtest/gtest.h>

#include "decisions/team_admission.h"

namespace jl::decisions {
namespace {

using namespace std::chrono_literals;

// Load pattern: a team beyond its rate submits while its pool has little to do. Guards against
// work that is refused with capacity free.
TEST(team_admission, jobs_beyond_the_rate_are_accepted_while_they_can_be_on_time)
{
    admission_request request;
    request.within_rate = false;
    request.backlog = 300ms;
    request.slack = 600ms;
    EXPECT_EQ(admit(request), admission::accepted);
    request.backlog = 700ms;
    EXPECT_EQ(admit(request), admission::beyond_rate);
}

// Guards against a team that keeps to its rate and is refused because of the others.
TEST(team_admission, jobs_within_the_rate_are_accepted_whatever_the_backlog)
{
    admission_request request;
    request.backlog = 60s;
    EXPECT_EQ(admit(request), admission::accepted);
}

TEST(team_admission, gang_beyond_the_quota_is_refused)
{
    admission_request request;
    request.fits_quota = false;
    EXPECT_EQ(admit(request), admission::beyond_quota);
    EXPECT_GE(admission_retry_after(request, admission::beyond_quota, 0.0), 30s);
}

// Guards against callers that are asked back before they can be served, or all at the same time.
TEST(team_admission, retry_after_follows_the_rate_and_the_backlog)
{
    admission_request request;
    request.within_rate = false;
    request.rate_delay = 200ms;
    request.backlog = 3200ms;
    EXPECT_EQ(admission_retry_after(request, admission::beyond_rate, 0.0), 4s);
    EXPECT_EQ(admission_retry_after(request, admission::beyond_rate, 1.0), 7s);
    request.backlog = 0ms;
    EXPECT_EQ(admission_retry_after(request, admission::beyond_rate, 0.0), 1s);
    EXPECT_EQ(admission_retry_after(request, admission::beyond_rate, 1.0), 2s);
    request.backlog = 1h;
    EXPECT_EQ(admission_retry_after(request, admission::beyond_rate, 0.0), 30s);
    EXPECT_EQ(admission_retry_after(request, admission::beyond_rate, 1.0), 60s);
}

// Guards against a job without any slack that is refused at an idle pool.
TEST(team_admission, job_is_accepted_at_an_idle_pool_whatever_its_slack)
{
    admission_request request;
    request.within_rate = false;
    request.slack = -1s;
    EXPECT_EQ(admit(request), admission::accepted);
}

} // namespace
} // namespace jl::decisions
