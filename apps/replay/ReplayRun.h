#pragma once

#include "absl/status/statusor.h"

#include "apps/replay/JobTracker.h"
#include "apps/replay/ReplayContext.h"
#include "apps/replay/ReplaySettings.h"
#include "apps/replay/RequestTracker.h"
#include "foxtailbarrow/Store.h"
#include "src/core/trace/ReplayTotals.h"
#include "src/core/trace/Trace.h"
#include "src/net/FiberRuntime.h"

namespace foxtailbarrow::replay {

/// A replay: applies the contracts of time 0, waits until every customer is
/// served, sends each line when it is due, waits for outstanding work and
/// queries the stand-ins for what really ran. Run() must be called in a fiber
/// of the runtime. All arguments must outlive the replay.
class ReplayRun
{
public:
  /// `aStore` may be null only if the trace has no contract lines.
  ReplayRun(net::FiberRuntime& aRuntime,
            const RunSettings& aSettings,
            const Trace& aTrace,
            Store* aStore);

  /// Returns an error when the replay could not be completed.
  absl::StatusOr<ReplayTotals> Run();

private:
  absl::Status Prepare();
  void SendAll(Instant aStart);
  void Dispatch(const TraceEvent& aEvent, std::size_t aIndex, Instant aDue);
  void Spawn(std::size_t aIndex, std::function<void()> aBody);
  absl::Status ApplyContract(const TraceContract& aLine);
  void WaitForAll(Instant aUntil);
  absl::Status Audit(ReplayTotals& aTotals);
  ReplayTotals Totals() const;
  void PrintProgress(Instant aStart);
  void PrintOpenJobs() const;

  net::FiberRuntime& mRuntime;
  const RunSettings& mSettings;
  const Trace& mTrace;
  Store* mStore;
  net::HttpClient mClient;
  ReplayContext mContext;
  RequestTracker mRequests;
  JobTracker mJobs;
  std::atomic<std::int64_t> mContracts{ 0 };
  std::atomic<std::int64_t> mFailedContracts{ 0 };
  std::atomic<std::int64_t> mActiveFibers{ 0 }; ///< Spawned and not yet ended.
  Instant mNextProgress;
};

} // namespace foxtailbarrow::replay
