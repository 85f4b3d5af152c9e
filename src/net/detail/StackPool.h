#pragma once

#include <cstddef>
#include <vector>

#include <boost/context/stack_context.hpp>

namespace foxtailbarrow::net::detail {

/// Fiber stacks of one thread, each above a guard page, so that an overflow
/// crashes the process instead of corrupting memory. Pages are committed on
/// first use. A limited number of freed stacks is kept for reuse.
class StackPool
{
public:
  StackPool() = default;
  ~StackPool();

  StackPool(const StackPool&) = delete;
  StackPool& operator=(const StackPool&) = delete;

  /// Throws std::bad_alloc when the stack cannot be mapped.
  boost::context::stack_context Allocate();
  void Deallocate(boost::context::stack_context& aStack) noexcept;

private:
  std::vector<void*> mFree;
};

/// Adapts a StackPool to Boost.Context's stack allocator concept.
class StackAllocator
{
public:
  explicit StackAllocator(StackPool& aPool)
    : mPool(&aPool)
  {
  }

  // NOLINTBEGIN(readability-identifier-naming): names required by the concept.
  boost::context::stack_context allocate() { return mPool->Allocate(); }
  void deallocate(boost::context::stack_context& aStack) noexcept
  {
    mPool->Deallocate(aStack);
  }
  // NOLINTEND(readability-identifier-naming)

private:
  StackPool* mPool;
};

} // namespace foxtailbarrow::net::detail
