#include <limits>
#include <ostream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "src/core/contract/ContractDocument.h"

namespace foxtailbarrow {
namespace {

using testing::HasSubstr;

Contract Valid()
{
  Contract contract;
  contract.mCustomer = CustomerId("trasowka");
  contract.mTeam = TeamId("ledger");
  contract.mService = ServiceId("mileage-log");
  contract.mMaxCopies = 11;
  contract.mMaxConcurrency = 88;
  contract.mRequestsPerSecond = 0.1;
  contract.mBurst = 50;
  contract.mBatch = { { 4000, 8192, 1 }, 20, 0.3 };
  contract.mWeights = { 3.0, 0.25 };
  contract.mUrgentAllowed = true;
  return contract;
}

TEST(ContractDocument, RoundTripsThroughItsText)
{
  EXPECT_TRUE(CheckContract(Valid()).empty());
  const auto back = ParseContract(FormatContract(Valid()));
  ASSERT_TRUE(back.ok()) << back.status();
  EXPECT_EQ(*back, Valid());
}

struct BadContract
{
  void (*mInvalidate)(Contract&);
  const char* mProblem;

  friend std::ostream& operator<<(std::ostream& aOut, const BadContract& aCase)
  {
    return aOut << aCase.mProblem;
  }
};

class BadContracts : public testing::TestWithParam<BadContract>
{};

TEST_P(BadContracts, AreRefusedByCheckAndParse)
{
  Contract contract = Valid();
  GetParam().mInvalidate(contract);
  const FieldProblems problems = CheckContract(contract);
  ASSERT_EQ(problems.size(), 1u);
  EXPECT_THAT(ToString(problems[0]), HasSubstr(GetParam().mProblem));
  const auto parsed = ParseContract(FormatContract(contract));
  ASSERT_FALSE(parsed.ok());
  EXPECT_THAT(std::string(parsed.status().message()),
              HasSubstr(GetParam().mProblem));
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  BadContracts,
  testing::Values(
    BadContract{ [](Contract& c) { c.mCustomer = CustomerId(); },
                 R"(customer: found "", allowed 1..63 characters of [a-z)" },
    BadContract{ [](Contract& c) { c.mTeam = TeamId("A"); }, R"(team: found)" },
    BadContract{ [](Contract& c) { c.mService = ServiceId("a_b"); },
                 R"(service: found "a_b")" },
    BadContract{
      [](Contract& c) { c.mCustomer = CustomerId(std::string(64, 'x')); },
      "customer: found" },
    BadContract{ [](Contract& c) { c.mMaxCopies = -1; },
                 "maxCopies: found -1, allowed integer 0..10000" },
    BadContract{ [](Contract& c) { c.mMaxCopies = 10'001; }, "found 10001" },
    BadContract{ [](Contract& c) { c.mMaxConcurrency = 1'000'001; },
                 "maxConcurrency: found 1000001" },
    BadContract{ [](Contract& c) { c.mMaxConcurrency = 0; },
                 "maxConcurrency: found 0, allowed at least 1 where" },
    BadContract{ [](Contract& c) { c.mRequestsPerSecond = -0.5; },
                 "requestsPerSecond: found -0.5, allowed number 0..1e+06" },
    BadContract{ [](Contract& c) { c.mBurst = 0; }, "burst: found 0" },
    BadContract{ [](Contract& c) { c.mBurst = -3; }, "burst: found -3" },
    BadContract{ [](Contract& c) { c.mBatch.mSharePerWorker = 1.5; },
                 "batch.sharePerWorker: found 1.5, allowed number 0..1" },
    BadContract{ [](Contract& c) { c.mBatch.mTotal.mMemoryMb = -1; },
                 "batch.total.memoryMb: found -1" },
    BadContract{ [](Contract& c) { c.mBatch.mTotal.mMillicores = 0; },
                 "batch.total.millicores: found 0" },
    BadContract{ [](Contract& c) { c.mWeights.mEvictions = 101; },
                 "weights.evictions: found 101.0, allowed number 0..100" }));

TEST(ContractDocument, RefusesNumbersThatAreNotFinite)
{
  Contract contract = Valid();
  contract.mWeights.mTailLatency = std::numeric_limits<double>::infinity();
  EXPECT_EQ(CheckContract(contract).at(0).mField, "weights.tailLatency");
}

TEST(ContractDocument, ReportsAllProblemsOfATextAtOnce)
{
  const auto parsed = ParseContract(
    R"({"customer":7,"team":"t","service":"s","maxCopies":"many",)"
    R"("maxConcurrency":5,"requestsPerSecond":5,"revision":3})");
  ASSERT_FALSE(parsed.ok());
  EXPECT_EQ(std::string(parsed.status().message()),
            "customer: found 7, allowed 1..63 characters of [a-z0-9-]; "
            "maxCopies: found \"many\", allowed integer 0..10000; "
            "burst: found nothing, allowed a value, required; "
            "revision: found an unknown field, allowed one of the fields "
            "customer team service maxCopies maxConcurrency requestsPerSecond "
            "burst batch weights urgentAllowed");
}

TEST(ContractDocument, RefusesAnOversizeText)
{
  const std::string text = FormatContract(Valid()) + std::string(65'536, ' ');
  EXPECT_THAT(std::string(ParseContract(text).status().message()),
              HasSubstr("allowed at most 65536"));
}

} // namespace
} // namespace foxtailbarrow
