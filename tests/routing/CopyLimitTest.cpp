#include "src/core/routing/CopyLimit.h"

#include <ostream>
#include <set>

#include <gtest/gtest.h>

#include "tests/routing/RoutingFixture.h"

namespace foxtailbarrow {
namespace {

using namespace testing_support;

const CustomerId kCustomer("hydro");

struct LimitCase
{
  int mServing;
  std::int32_t mMaxCopies;
  std::size_t mUsed;

  friend void PrintTo(const LimitCase& aCase, std::ostream* aOut)
  {
    *aOut << aCase.mServing << " serve, " << aCase.mMaxCopies << " allowed";
  }
};

class CopyLimitTable : public testing::TestWithParam<LimitCase>
{};

TEST_P(CopyLimitTable, UsesNoMoreCopiesThanTheContractAllows)
{
  auto directory = DirectoryOf(GetParam().mServing);
  const CopyAllowance allowance{ kCustomer, kService, GetParam().mMaxCopies };
  const auto table = LimitCopies(directory.Table(), std::span(&allowance, 1));
  const ServiceTable* part = table->Find(LimitedService(kService, kCustomer));
  if (part == nullptr) {
    part = table->Find(kService);
  }
  std::set<AgentId> used;
  const Router router(FailureDomainId("elsewhere"));
  std::mt19937_64 random(7);
  for (int turn = 0; turn < 500; ++turn) {
    const Choice choice =
      router.Pick(table, RequestFor(part->mService), kStart, random);
    if (const auto* picked = std::get_if<Picked>(&choice)) {
      used.insert(picked->mAgent->mAgent);
    }
  }
  EXPECT_EQ(used.size(), GetParam().mUsed);
  EXPECT_EQ(table->Find(kService)->mServing.size(),
            static_cast<std::size_t>(GetParam().mServing));
}

INSTANTIATE_TEST_SUITE_P(Table,
                         CopyLimitTable,
                         testing::Values(LimitCase{ 6, 6, 6 },
                                         LimitCase{ 6, 11, 6 },
                                         LimitCase{ 6, 2, 2 },
                                         LimitCase{ 6, 1, 1 },
                                         LimitCase{ 6, 0, 0 }));

TEST(CopyLimit, ChoosesTheSameCopiesInAnyOrder)
{
  const CopyAllowance allowance{ kCustomer, kService, 3 };
  AgentDirectory backward;
  for (int agent = 8; agent >= 0; --agent) {
    backward.Apply(HeartbeatOf(agent), kStart);
  }
  auto forward = DirectoryOf(9);
  const auto name = LimitedService(kService, kCustomer);
  const auto one = LimitCopies(forward.Table(), std::span(&allowance, 1));
  const auto other = LimitCopies(backward.Table(), std::span(&allowance, 1));
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(one->Find(name)->mServing[i]->mAgent,
              other->Find(name)->mServing[i]->mAgent);
  }
}

} // namespace
} // namespace foxtailbarrow
