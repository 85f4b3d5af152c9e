#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include <json/value.h>

namespace foxtailbarrow {

/// What the process knows and why it decided so, for operators. Each part of
/// the process registers a named function that returns its view. Callable from
/// any thread or fiber; the functions run without a lock held, in the fiber
/// that asks.
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
