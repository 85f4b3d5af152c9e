#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include <json/value.h>

namespace foxtailbarrow {

/// State and decisions of the process, for operators. Each part of the process
/// registers a named function that returns its state. Callable from any thread
/// or fiber; the functions run in the calling fiber without a lock held.
class StateDump
{
public:
  using Source = std::function<Json::Value()>;

  /// A second source of the same name replaces the first.
  void Add(std::string aName, Source aSource);

  /// One JSON object with a member for each part.
  Json::Value Collect() const;

private:
  mutable std::mutex mMutex; ///< Guards mSources.
  std::map<std::string, Source> mSources;
};

} // namespace foxtailbarrow
