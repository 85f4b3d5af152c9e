#include "apps/entry/CallerRequest.h"

#include <ostream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "foxtailbarrow/RequestHeaders.h"

namespace foxtailbarrow::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::HasSubstr;

const DeadlineLimits kLimits{ seconds(10), seconds(60) };
const Instant kNow{ std::chrono::hours(1) };

struct Header
{
  std::string_view mName;
  std::string mValue;
};

net::HttpRequest RequestWith(const std::vector<Header>& aHeaders)
{
  net::HttpRequest request;
  request.mMethod = "POST";
  request.mHeaders.Set(kCustomerHeader, "hydro");
  for (const auto& [name, value] : aHeaders) {
    request.mHeaders.Set(name, value);
  }
  return request;
}

struct BadHeader
{
  Header mHeader;
  const char* mAllowed;

  friend void PrintTo(const BadHeader& aCase, std::ostream* aOut)
  {
    *aOut << aCase.mHeader.mName << ": " << aCase.mHeader.mValue.substr(0, 20);
  }
};

class BadCallerRequest : public testing::TestWithParam<BadHeader>
{};

TEST_P(BadCallerRequest, IsRefusedAsNotRunWithTheAllowedValues)
{
  const auto result = ReadCallerRequest(
    RequestWith({ GetParam().mHeader }), kLimits, RequestId("fresh"), kNow);
  ASSERT_TRUE(std::holds_alternative<Refusal>(result));
  const auto& refusal = std::get<Refusal>(result);
  EXPECT_EQ(refusal.mStatus, 400U);
  EXPECT_EQ(refusal.mVerdict, Verdict::NotRun);
  EXPECT_THAT(std::string(refusal.mMessage), HasSubstr(GetParam().mAllowed));
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  BadCallerRequest,
  testing::Values(
    BadHeader{ { kCustomerHeader, "" }, "allowed 1 to 63" },
    BadHeader{ { kCustomerHeader, "Hydro" }, "allowed 1 to 63" },
    BadHeader{ { kCustomerHeader, "a/b" }, "allowed 1 to 63" },
    BadHeader{ { kCustomerHeader, std::string(64, 'a') }, "allowed 1 to 63" },
    BadHeader{ { kRequestIdHeader, "" }, "allowed 1 to 128" },
    BadHeader{ { kRequestIdHeader, "two words" }, "allowed 1 to 128" },
    BadHeader{ { kRequestIdHeader, "a/b" }, "allowed 1 to 128" },
    BadHeader{ { kRequestIdHeader, std::string(129, 'a') }, "allowed 1 to" },
    BadHeader{ { kIdempotencyKeyHeader, "" }, "allowed 1 to 128" },
    BadHeader{ { kIdempotencyKeyHeader, "k\t" }, "allowed 1 to 128" },
    BadHeader{ { kIdempotencyKeyHeader, std::string(129, 'k') }, "1 to 128" },
    BadHeader{ { kIdempotentHeader, "yes" }, "allowed true, false" },
    BadHeader{ { kDeadlineHeader, "0" }, "allowed a whole number" },
    BadHeader{ { kDeadlineHeader, "-5" }, "allowed a whole number" },
    BadHeader{ { kDeadlineHeader, "1.5" }, "allowed a whole number" },
    BadHeader{ { kDeadlineHeader, "soon" }, "allowed a whole number" },
    BadHeader{ { kDeadlineHeader, "60001" }, "allowed a whole number" },
    BadHeader{ { kDeadlineHeader, "99999999999999999999" }, "whole number" }));

TEST(CallerRequest, WithoutACustomerIsRefused)
{
  const auto result =
    ReadCallerRequest(net::HttpRequest(), kLimits, RequestId("fresh"), kNow);
  EXPECT_TRUE(std::holds_alternative<Refusal>(result));
}

TEST(CallerRequest, ReadsIdKeyAndDeadlineFromItsHeaders)
{
  const net::HttpRequest request =
    RequestWith({ { kRequestIdHeader, "call-7" },
                  { kIdempotencyKeyHeader, "trip-7" },
                  { kDeadlineHeader, "1500" } });
  const auto result =
    ReadCallerRequest(request, kLimits, RequestId("fresh"), kNow);
  ASSERT_TRUE(std::holds_alternative<CallerRequest>(result));
  const auto& caller = std::get<CallerRequest>(result);
  EXPECT_EQ(caller.mId, RequestId("call-7"));
  EXPECT_EQ(caller.mIdempotencyKey, "trip-7");
  EXPECT_EQ(caller.mDeadline, kNow + milliseconds(1500));
  EXPECT_FALSE(caller.mIdempotent);
}

struct MethodCase
{
  const char* mMethod;
  const char* mIdempotentHeader; ///< Null: no header.
  bool mIdempotent;

  friend void PrintTo(const MethodCase& aCase, std::ostream* aOut)
  {
    *aOut << aCase.mMethod
          << (aCase.mIdempotentHeader != nullptr ? aCase.mIdempotentHeader
                                                 : "");
  }
};

class Idempotence : public testing::TestWithParam<MethodCase>
{};

TEST_P(Idempotence, FollowsFromMethodAndHeader)
{
  net::HttpRequest request = RequestWith({});
  request.mMethod = GetParam().mMethod;
  if (GetParam().mIdempotentHeader != nullptr) {
    request.mHeaders.Set(kIdempotentHeader, GetParam().mIdempotentHeader);
  }
  const auto result =
    ReadCallerRequest(request, kLimits, RequestId("fresh"), kNow);
  EXPECT_EQ(std::get<CallerRequest>(result).mIdempotent,
            GetParam().mIdempotent);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Idempotence,
                         testing::Values(MethodCase{ "GET", nullptr, true },
                                         MethodCase{ "PUT", nullptr, true },
                                         MethodCase{ "DELETE", nullptr, true },
                                         MethodCase{ "POST", nullptr, false },
                                         MethodCase{ "PATCH", nullptr, false },
                                         MethodCase{ "POST", "true", true },
                                         MethodCase{ "GET", "false", false }));

} // namespace
} // namespace foxtailbarrow::entry
