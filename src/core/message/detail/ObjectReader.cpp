#include "src/core/message/detail/ObjectReader.h"

namespace foxtailbarrow::detail {

const Json::Value* ObjectReader::Find(std::string_view aName)
{
  mRequested.push_back(aName);
  const Json::Value* value =
    mObject.find(aName.data(), aName.data() + aName.size());
  mPresent += value == nullptr ? 0 : 1;
  return value;
}

void ObjectReader::Finish()
{
  if (mPresent == mObject.size()) {
    return;
  }
  std::string allowed = "one of the fields";
  for (const std::string_view name : mRequested) {
    allowed += " " + std::string(name);
  }
  for (const std::string& name : mObject.getMemberNames()) {
    if (std::find(mRequested.begin(), mRequested.end(), name) ==
        mRequested.end()) {
      mProblems.push_back(
        { FieldPath(mPath, name.c_str()).Text(), "an unknown field", allowed });
    }
  }
}

} // namespace foxtailbarrow::detail
