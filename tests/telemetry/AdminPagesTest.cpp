#include "src/telemetry/AdminPages.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "src/telemetry/ProcessMetrics.h"

namespace foxtailbarrow {
namespace {

using testing::HasSubstr;

struct PageCase
{
  std::string mMethod;
  std::string mTarget;
  unsigned mStatus = 0; ///< 0 = not one of these pages.
  std::string mBodyPart;

  friend void PrintTo(const PageCase& aCase, std::ostream* aOut)
  {
    *aOut << aCase.mMethod << " " << aCase.mTarget;
  }
};

class AdminPage : public testing::TestWithParam<PageCase>
{
protected:
  absl::Status mHealth = absl::OkStatus();
  Metrics mMetrics;
  StateDump mState;
  AdminPages mPages{ mMetrics, mState, [this] { return mHealth; } };
};

TEST_P(AdminPage, IsAnswered)
{
  mMetrics.Counter("requests_total", "Requests.", { { "outcome", "ok" } })
    .Increment(3);
  mMetrics.SampledGauge("fibers", "Fibers.", [] { return 7.0; });
  mState.Add("members", [] { return Json::Value("eleven"); });
  const auto& [method, target, status, bodyPart] = GetParam();
  net::HttpRequest request;
  request.mMethod = method;
  request.mTarget = target;
  const std::optional<net::HttpResponse> response = mPages.Answer(request);
  ASSERT_EQ(response.has_value(), status != 0);
  if (response) {
    EXPECT_EQ(response->mStatus, status);
    EXPECT_THAT(response->mBody, HasSubstr(bodyPart));
  }
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  AdminPage,
  testing::Values(
    PageCase{ "GET", "/metrics", 200, "foxtailbarrow_requests_total{" },
    PageCase{ "GET", "/metrics?x=1", 200, "foxtailbarrow_fibers 7" },
    PageCase{ "GET", "/healthz", 200, "ok" },
    PageCase{ "GET", "/state", 200, "\"members\"" },
    PageCase{ "GET", "/state/members", 200, "\"eleven\"" },
    PageCase{ "GET", "/state/nobody", 404, "nobody" },
    PageCase{ "POST", "/state", 405, "GET" },
    PageCase{ "GET", "/statement", 0, "" },
    PageCase{ "GET", "/", 0, "" }));

TEST_F(AdminPage, ReportsWhyTheProcessIsNotHealthy)
{
  mHealth = absl::UnavailableError("store is silent");
  net::HttpRequest request;
  request.mTarget = "/healthz";
  const std::optional<net::HttpResponse> response = mPages.Answer(request);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->mStatus, 503U);
  EXPECT_THAT(response->mBody, HasSubstr("store is silent"));
}

TEST(Metrics, ReportTheUsageOfTheProcess)
{
  Metrics metrics;
  AddProcessMetrics(metrics);
  const std::string text = metrics.Text();
  EXPECT_THAT(text, testing::ContainsRegex("_process_cpu_seconds [0-9.e-]+"));
  EXPECT_THAT(text, testing::ContainsRegex("_process_resident_bytes [1-9]"));
}

TEST(Metrics, ReturnsTheSameSeriesForTheSameLabels)
{
  Metrics metrics;
  metrics.Counter("a_total", "A.", { { "x", "1" } }).Increment();
  metrics.Counter("a_total", "A.", { { "x", "1" } }).Increment();
  EXPECT_THAT(metrics.Text(), HasSubstr("foxtailbarrow_a_total{x=\"1\"} 2"));
}

} // namespace
} // namespace foxtailbarrow
