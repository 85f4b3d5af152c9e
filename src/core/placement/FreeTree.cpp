#include "src/core/placement/FreeTree.h"

#include <algorithm>

namespace foxtailbarrow {

namespace {

Resources ElementwiseMax(const Resources& aLeft, const Resources& aRight)
{
  return { std::max(aLeft.mMillicores, aRight.mMillicores),
           std::max(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::max(aLeft.mAccelerators, aRight.mAccelerators) };
}

} // namespace

FreeTree::Slot FreeTree::Add(const Resources& aFree)
{
  if (mSize == mLeaves) {
    Grow();
  }
  const Slot slot = static_cast<Slot>(mSize++);
  Set(slot, aFree);
  return slot;
}

void FreeTree::Grow()
{
  const std::size_t leaves = std::max<std::size_t>(16, mLeaves * 2);
  std::vector<Node> nodes(leaves * 2, kUnavailable);
  std::copy_n(mNodes.begin() + static_cast<std::ptrdiff_t>(mLeaves),
              mSize,
              nodes.begin() + static_cast<std::ptrdiff_t>(leaves));
  for (std::size_t i = leaves - 1; i > 0; --i) {
    nodes[i] = ElementwiseMax(nodes[2 * i], nodes[2 * i + 1]);
  }
  mNodes = std::move(nodes);
  mLeaves = leaves;
}

void FreeTree::Set(Slot aSlot, const Resources& aFree)
{
  std::size_t node = mLeaves + aSlot;
  mNodes[node] = aFree;
  for (node /= 2; node > 0; node /= 2) {
    const Resources maximum =
      ElementwiseMax(mNodes[2 * node], mNodes[2 * node + 1]);
    if (maximum == mNodes[node]) {
      return;
    }
    mNodes[node] = maximum;
  }
}

std::optional<FreeTree::Slot> FreeTree::Find(const Resources& aNeed,
                                             Slot aFrom) const
{
  if (mSize == 0) {
    return std::nullopt;
  }
  int visits = kMaxVisits;
  auto found = FindIn(1, 0, mLeaves, aNeed, aFrom, visits);
  if (!found && aFrom > 0) {
    found = FindIn(1, 0, mLeaves, aNeed, 0, visits);
  }
  return found;
}

// NOLINTNEXTLINE(misc-no-recursion): depth is the height of the tree.
std::optional<FreeTree::Slot> FreeTree::FindIn(std::size_t aNode,
                                               std::size_t aLow,
                                               std::size_t aHigh,
                                               const Resources& aNeed,
                                               Slot aFrom,
                                               int& aVisits) const
{
  if (aHigh <= aFrom || --aVisits < 0 || !aNeed.FitsIn(mNodes[aNode])) {
    return std::nullopt;
  }
  if (aNode >= mLeaves) {
    return static_cast<Slot>(aLow);
  }
  const std::size_t middle = (aLow + aHigh) / 2;
  auto found = FindIn(2 * aNode, aLow, middle, aNeed, aFrom, aVisits);
  if (!found) {
    found = FindIn(2 * aNode + 1, middle, aHigh, aNeed, aFrom, aVisits);
  }
  return found;
}

} // namespace foxtailbarrow
