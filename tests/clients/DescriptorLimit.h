#pragma once

#include <sys/resource.h>

namespace foxtailbarrow::clients {

/// Lowers the descriptor limit that processes started meanwhile inherit.
class DescriptorLimit
{
public:
  explicit DescriptorLimit(rlim_t aDescriptors)
  {
    ::getrlimit(RLIMIT_NOFILE, &mBefore);
    const rlimit lowered{ aDescriptors, mBefore.rlim_max };
    ::setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &mBefore); }

  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

private:
  rlimit mBefore{};
};

} // namespace foxtailbarrow::clients
