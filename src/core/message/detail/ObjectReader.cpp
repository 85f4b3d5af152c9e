#include "src/core/message/detail/ObjectReader.h"

namespace foxtailbarrow::detail {

bool ObjectReader::Present(const char* aName)
{
  mKnown.emplace_back(aName);
  const bool present = mObject.isMember(aName);
  mPresent += present ? 1 : 0;
  return present;
}

void ObjectReader::Finish()
{
  if (mPresent == mObject.size()) {
    return;
  }
  std::string allowed = "one of the fields";
  for (const std::string_view name : mKnown) {
    allowed += " " + std::string(name);
  }
  for (const std::string& name : mObject.getMemberNames()) {
    if (std::find(mKnown.begin(), mKnown.end(), name) == mKnown.end()) {
      mProblems.push_back(
        { FieldPath(mPath, name.c_str()).Text(), "an unknown field", allowed });
    }
  }
}

} // namespace foxtailbarrow::detail
