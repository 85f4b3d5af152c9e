#include "src/telemetry/StateDump.h"

#include <utility>

namespace foxtailbarrow {

void StateDump::Add(std::string aName, Source aSource)
{
  const std::lock_guard lock(mMutex);
  mSources.insert_or_assign(std::move(aName), std::move(aSource));
}

Json::Value StateDump::Collect() const
{
  std::map<std::string, Source> sources;
  {
    // A source may suspend its fiber, so no lock may be held during the call.
    const std::lock_guard lock(mMutex);
    sources = mSources;
  }
  Json::Value state(Json::objectValue);
  for (const auto& [name, source] : sources) {
    state[name] = source();
  }
  return state;
}

} // namespace foxtailbarrow
