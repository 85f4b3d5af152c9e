#include "src/core/cell/SubmissionGate.h"

#include <gtest/gtest.h>

namespace foxtailbarrow::cell {
namespace {

constexpr std::size_t kMegabyte = std::size_t{ 1 } << 20U;

/// Guards against schedulers that store jobs without bound while the owner,
/// which has no memory for them, is away.
TEST(SubmissionGateTest, AsksOnceTooMuchIsUnreported)
{
  SubmissionGate gate;
  for (int i = 0; i < 4; ++i) {
    EXPECT_FALSE(gate.MustAsk());
    gate.OnStored(kMegabyte);
  }
  EXPECT_TRUE(gate.MustAsk());
  gate.OnReported(kMegabyte, false);
  EXPECT_FALSE(gate.MustAsk());
}

TEST(SubmissionGateTest, AsksWhileTheOwnerIsFull)
{
  SubmissionGate gate;
  gate.OnStored(kMegabyte);
  gate.OnReported(kMegabyte, true);
  EXPECT_TRUE(gate.MustAsk());
  gate.OnOwnerAnswer(false);
  EXPECT_TRUE(gate.MustAsk());
  gate.OnOwnerAnswer(true);
  EXPECT_FALSE(gate.MustAsk());
}

} // namespace
} // namespace foxtailbarrow::cell
