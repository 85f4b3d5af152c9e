#include "foxtailbarrow/Verdict.h"

#include <gtest/gtest.h>

namespace foxtailbarrow {
namespace {

class VerdictText : public testing::TestWithParam<Verdict>
{};

TEST_P(VerdictText, RoundTripsThroughItsText)
{
  EXPECT_EQ(ParseVerdict(ToString(GetParam())), GetParam());
}

TEST_P(VerdictText, StaysAttachedToAnError)
{
  const absl::Status error =
    WithVerdict(absl::UnavailableError("gone"), GetParam());
  EXPECT_EQ(VerdictOf(error), GetParam());
}

INSTANTIATE_TEST_SUITE_P(All,
                         VerdictText,
                         testing::Values(Verdict::NotRun,
                                         Verdict::MayHaveRun,
                                         Verdict::Ran));

TEST(Verdict, IsMayHaveRunWhenUnknown)
{
  EXPECT_EQ(VerdictOf(absl::InternalError("?")), Verdict::MayHaveRun);
  EXPECT_EQ(ParseVerdict("no-idea"), std::nullopt);
}

} // namespace
} // namespace foxtailbarrow
