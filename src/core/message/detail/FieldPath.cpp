#include "src/core/message/detail/FieldPath.h"

namespace foxtailbarrow::detail {

std::string FieldPath::Prefix() const
{
  if (mParent == nullptr) {
    return {};
  }
  const std::string prefix = mParent->Prefix();
  if (mName == nullptr) {
    return prefix + "[" + std::to_string(mIndex) + "]";
  }
  return prefix.empty() ? mName : prefix + "." + mName;
}

std::string FieldPath::Text() const
{
  return mParent == nullptr ? "document" : Prefix();
}

} // namespace foxtailbarrow::detail
