#include <malloc.h>

#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {
namespace {

/// Guards against an owner that outgrows its process on loading one job: it was
/// killed and restarted with the same job for good.
class OwnerMemoryUseTest : public CellFixture
{
protected:
  static std::size_t AllocatedBytes()
  {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
  }
};

TEST_F(OwnerMemoryUseTest, AJobThatRepeatsForAWeekTakesLittle)
{
  constexpr std::size_t kMaxBytes = std::size_t{ 2 } << 20U;
  JobGraph graph = Graph("job", { Step(36), Step(36), Step(36) });
  graph.mRecurrence = { 10'000, mUnixMs, 60'000 };
  const std::size_t before = AllocatedBytes();
  AddSavedJob(graph);
  AttachAndGrant("agent");
  Orders("agent");
  EXPECT_LT(AllocatedBytes(), before + kMaxBytes);
}

} // namespace
} // namespace foxtailbarrow::cell::test
