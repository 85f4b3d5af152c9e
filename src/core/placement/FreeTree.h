#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "foxtailbarrow/Resources.h"

namespace foxtailbarrow {

/// Finds a worker with enough free resources. A segment tree over worker slots
/// whose nodes hold the maximum free amount of each resource below them: Set()
/// and a typical Find() take O(log n). If the maxima come from different
/// workers, Find() has to backtrack, visiting at most kMaxVisits nodes.
class FreeTree
{
public:
  using Slot = std::uint32_t;

  /// Free amounts of a slot that Find() must not return.
  static constexpr Resources kUnavailable{ -1, -1, -1 };

  /// Appends a slot.
  Slot Add(const Resources& aFree);

  void Set(Slot aSlot, const Resources& aFree);

  /// The first slot at or after `aFrom`, wrapping around, where `aNeed` fits.
  std::optional<Slot> Find(const Resources& aNeed, Slot aFrom) const;

  std::size_t Size() const { return mSize; }
  std::size_t MemoryBytes() const { return mNodes.capacity() * sizeof(Node); }

private:
  using Node = Resources;
  static constexpr int kMaxVisits = 512;

  std::optional<Slot> FindIn(std::size_t aNode,
                             std::size_t aLow,
                             std::size_t aHigh,
                             const Resources& aNeed,
                             Slot aFrom,
                             int& aVisits) const;
  void Grow();

  std::size_t mSize = 0;
  std::size_t mLeaves = 0;  ///< Power of two, or 0.
  std::vector<Node> mNodes; ///< Heap order; leaves from mLeaves on.
};

} // namespace foxtailbarrow
