#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Runner.h"

namespace review {

/// What the runners have seen, and the rule TWICE on it.
class Runs
{
public:
  explicit Runs(Record& aRecord)
    : mRecord(aRecord)
  {
  }

  void OnEvent(const RunEvent& aEvent)
  {
    static const char* const kNames[] = {
      "started", "ended", "acked", "lapsed", "crashed"
    };
    const std::lock_guard lock(mMutex);
    mRecord.Line("runner " + aEvent.mRunner + " " +
                 kNames[static_cast<int>(aEvent.mKind)] + " " + aEvent.mTask +
                 " run " + std::to_string(aEvent.mRun) + " " + aEvent.mHow);
    mEvents.push_back(aEvent);
  }

  std::vector<RunEvent> Events()
  {
    const std::lock_guard lock(mMutex);
    return mEvents;
  }

  /// The most tasks that are at work at one moment from `aFrom` on.
  std::size_t MostAtWork(TimePoint aFrom)
  {
    std::size_t most = 0;
    std::size_t atWork = 0;
    bool begun = false;
    for (const RunEvent& event : Events()) {
      if (!begun && event.mAt >= aFrom) {
        begun = true;
        most = atWork;
      }
      if (event.mKind == RunEvent::Kind::Started) {
        ++atWork;
      } else if (event.mKind == RunEvent::Kind::Ended ||
                 event.mKind == RunEvent::Kind::Crashed) {
        --atWork;
      }
      most = begun ? std::max(most, atWork) : most;
    }
    return begun ? most : atWork;
  }

  /// True if a task of the job is at work at some moment from `aFrom` on.
  bool AnyAtWork(const std::string& aJob, TimePoint aFrom)
  {
    std::size_t atWork = 0;
    bool any = false;
    for (const RunEvent& event : Events()) {
      if (!event.mTask.starts_with(aJob)) {
        continue;
      }
      any = any || (event.mAt >= aFrom && atWork > 0);
      if (event.mKind == RunEvent::Kind::Started) {
        ++atWork;
        any = any || event.mAt >= aFrom;
      } else if (event.mKind == RunEvent::Kind::Ended ||
                 event.mKind == RunEvent::Kind::Crashed) {
        --atWork;
      }
    }
    return any || atWork > 0;
  }

  std::size_t Starts(const std::string& aJob)
  {
    std::size_t starts = 0;
    for (const RunEvent& event : Events()) {
      starts +=
        event.mKind == RunEvent::Kind::Started && event.mTask.starts_with(aJob);
    }
    return starts;
  }

  /// Breaches of TWICE for steps without `Speculative`.
  std::vector<std::string> Twice()
  {
    using Kind = RunEvent::Kind;
    using Key = std::pair<std::string, std::int64_t>;
    const std::vector<RunEvent> events = Events();
    // The done ends that are taken note of: acked, and without a lapse of the
    // runner's lease between the two.
    std::map<Key, TimePoint> ended;
    std::map<std::string, TimePoint> lapsed;
    std::map<std::string, TimePoint> done;
    for (const RunEvent& event : events) {
      const Key key(event.mTask, event.mRun);
      if (event.mKind == Kind::Ended && event.mHow == "done") {
        ended[key] = event.mAt;
      } else if (event.mKind == Kind::Lapsed) {
        lapsed[event.mRunner] = event.mAt;
      } else if (event.mKind == Kind::Acked && event.mHow == "done") {
        const TimePoint at = ended.at(key);
        const auto lapse = lapsed.find(event.mRunner);
        if (lapse == lapsed.end() || lapse->second < at) {
          const auto [first, inserted] = done.try_emplace(event.mTask, at);
          first->second = std::min(first->second, at);
        }
      }
    }
    std::vector<std::string> breaches;
    std::map<std::string, std::set<std::int64_t>> running;
    for (const RunEvent& event : events) {
      std::set<std::int64_t>& runs = running[event.mTask];
      if (event.mKind == Kind::Ended || event.mKind == Kind::Crashed) {
        runs.erase(event.mRun);
      }
      if (event.mKind != Kind::Started) {
        continue;
      }
      const std::string start = event.mTask + " run " +
                                std::to_string(event.mRun) + " starts at " +
                                std::to_string(mRecord.Seconds(event.mAt));
      if (!runs.empty()) {
        breaches.push_back(start + " while run " +
                           std::to_string(*runs.begin()) + " is at work");
      }
      if (const auto at = done.find(event.mTask);
          at != done.end() && event.mAt > at->second) {
        breaches.push_back(start + " after a run has ended done at " +
                           std::to_string(mRecord.Seconds(at->second)));
      }
      runs.insert(event.mRun);
    }
    return breaches;
  }

private:
  Record& mRecord;
  std::mutex mMutex;
  std::vector<RunEvent> mEvents;
};

} // namespace review
