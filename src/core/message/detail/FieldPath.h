#pragma once

#include <cstddef>
#include <string>

namespace foxtailbarrow::detail {

/// Path of a value in a document. Links to its parent on the stack, so that the
/// text is only built to report a problem.
class FieldPath
{
public:
  FieldPath() = default;
  FieldPath(const FieldPath& aParent, const char* aName)
    : mParent(&aParent)
    , mName(aName)
  {
  }
  FieldPath(const FieldPath& aParent, std::size_t aIndex)
    : mParent(&aParent)
    , mIndex(aIndex)
  {
  }

  /// "tasks[3].status"; "document" for the root.
  std::string Text() const;

private:
  std::string Prefix() const;

  const FieldPath* mParent = nullptr;
  const char* mName = nullptr;
  std::size_t mIndex = 0;
};

} // namespace foxtailbarrow::detail
