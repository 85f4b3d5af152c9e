#include "src/net/detail/StackPool.h"

#include <new>

#include <sys/mman.h>

namespace foxtailbarrow::net::detail {

namespace {

constexpr std::size_t kGuardBytes = 4096;
/// Sufficient for jsoncpp's recursion to its limit of 1,000 levels, for which
/// 256 KiB is too small and 512 KiB is enough. Unused pages take no memory.
constexpr std::size_t kStackBytes = 1024UL * 1024;
constexpr std::size_t kMappedBytes = kGuardBytes + kStackBytes;
constexpr std::size_t kMaxFree = 1024;

void* MapStack()
{
  void* base = ::mmap(nullptr,
                      kMappedBytes,
                      PROT_READ | PROT_WRITE,
                      MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE,
                      -1,
                      0);
  if (base == MAP_FAILED) {
    throw std::bad_alloc();
  }
  if (::mprotect(base, kGuardBytes, PROT_NONE) != 0) {
    ::munmap(base, kMappedBytes);
    throw std::bad_alloc();
  }
  return base;
}

} // namespace

StackPool::~StackPool()
{
  for (void* base : mFree) {
    ::munmap(base, kMappedBytes);
  }
}

boost::context::stack_context StackPool::Allocate()
{
  void* base = nullptr;
  if (mFree.empty()) {
    base = MapStack();
  } else {
    base = mFree.back();
    mFree.pop_back();
  }
  boost::context::stack_context stack;
  stack.size = kMappedBytes;
  stack.sp = static_cast<char*>(base) + kMappedBytes;
  return stack;
}

void StackPool::Deallocate(boost::context::stack_context& aStack) noexcept
{
  void* base = static_cast<char*>(aStack.sp) - kMappedBytes;
  if (mFree.size() >= kMaxFree) {
    ::munmap(base, kMappedBytes);
    return;
  }
  try {
    mFree.push_back(base);
  } catch (const std::bad_alloc&) {
    ::munmap(base, kMappedBytes);
  }
}

} // namespace foxtailbarrow::net::detail
