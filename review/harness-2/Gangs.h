#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace review {

/// What the runners know of gangs: who is present, and whether a member ended.
/// A gang is one run of a step.
class Gangs
{
public:
  struct State
  {
    std::set<std::string> mPresent;
    std::optional<double> mCompleteAt; ///< When the last member came.
    bool mBroken = false;              ///< A member ended before its time.
  };

  void Join(const std::string& aGang,
            const std::string& aTask,
            std::size_t aSize,
            double aNow)
  {
    const std::lock_guard lock(mMutex);
    State& state = mGangs[aGang];
    state.mPresent.insert(aTask);
    if (state.mPresent.size() == aSize && !state.mCompleteAt) {
      state.mCompleteAt = aNow;
    }
  }

  void Break(const std::string& aGang)
  {
    const std::lock_guard lock(mMutex);
    mGangs[aGang].mBroken = true;
  }

  State Of(const std::string& aGang)
  {
    const std::lock_guard lock(mMutex);
    return mGangs[aGang];
  }

private:
  std::mutex mMutex;
  std::map<std::string, State> mGangs;
};

} // namespace review
