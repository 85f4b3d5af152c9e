#pragma once

#include <compare>
#include <cstdint>

namespace foxtailbarrow {

/// Amount of a worker's resources. All fields are >= 0 after validation.
struct Resources
{
  std::int64_t mMillicores = 0;   ///< Processors, in thousandths of a core.
  std::int64_t mMemoryMb = 0;     ///< Memory, in MiB.
  std::int64_t mAccelerators = 0; ///< Whole accelerators.

  bool operator==(const Resources&) const = default;

  Resources& operator+=(const Resources& aOther)
  {
    mMillicores += aOther.mMillicores;
    mMemoryMb += aOther.mMemoryMb;
    mAccelerators += aOther.mAccelerators;
    return *this;
  }

  Resources& operator-=(const Resources& aOther)
  {
    mMillicores -= aOther.mMillicores;
    mMemoryMb -= aOther.mMemoryMb;
    mAccelerators -= aOther.mAccelerators;
    return *this;
  }

  /// True if every field is at most that of `aLimit`.
  bool FitsIn(const Resources& aLimit) const
  {
    return mMillicores <= aLimit.mMillicores && mMemoryMb <= aLimit.mMemoryMb &&
           mAccelerators <= aLimit.mAccelerators;
  }
};

inline Resources operator+(Resources aLeft, const Resources& aRight)
{
  return aLeft += aRight;
}

inline Resources operator-(Resources aLeft, const Resources& aRight)
{
  return aLeft -= aRight;
}

} // namespace foxtailbarrow
